package membership

import (
	"net/netip"
	"slices"
	"time"
)

// probe is a question under way. It is asked directly first, then through
// relays.
type probe struct {
	nonce    uint64
	kind     kind
	target   netip.AddrPort
	start    uint64 // of the target as it was believed to be
	ticket   uint64 // of the Asked that this answers, for a forwarded one
	turn     int    // of a fetch in its comparison
	relays   int    // requests to relays without an answer yet
	deadline time.Time
}

// kind says why a question was asked, which decides what its failure means.
type kind uint8

const (
	direct  kind = iota // to a watched member; its failure asks relays
	relayed             // through relays; its failure raises a suspicion
	again               // to a suspect; its failure means nothing new
	forward             // for another process, which gets the answer
	attempt             // to a lost address; its failure means nothing new
	fetch               // one bucket of a comparison
)

// suspicion is one that this process raised itself.
type suspicion struct {
	addr     netip.AddrPort
	deadline time.Time
}

// observer is a process that watches this one.
type observer struct {
	addr netip.AddrPort
	at   time.Time // of its last ping
}

// watch pings the subject whose turn it is.
func (v *View) watch(now time.Time) {
	if len(v.subjects) == 0 {
		return
	}
	v.turn = (v.turn + 1) % len(v.subjects)
	to := v.subjects[v.turn]
	if slices.ContainsFunc(v.probes, func(p probe) bool { return p.target == to && p.kind <= again }) {
		return // the one before hasn't been judged yet
	}
	if v.suspicious(to) < 0 {
		v.ping(to, direct, 0, now)
	}
}

// pursue pings those that this process suspects, in each interval, so that they
// hear of it and can contradict before the deadline.
func (v *View) pursue(now time.Time) {
	for _, s := range v.suspicions {
		v.ping(s.addr, again, 0, now)
	}
}

// suspicious returns the index of the own suspicion against addr, or -1.
func (v *View) suspicious(addr netip.AddrPort) int {
	return slices.IndexFunc(v.suspicions, func(s suspicion) bool { return s.addr == addr })
}

func (v *View) ping(to netip.AddrPort, k kind, ticket uint64, now time.Time) {
	v.nonce++
	p := probe{nonce: v.nonce, kind: k, target: to, ticket: ticket}
	p.deadline = now.Add(v.patience(v.set.Timeout))
	if e := v.member(to); e != nil {
		p.start = e.Start
	}
	v.probes = append(v.probes, p)
	v.out = append(v.out, SendPing{
		To: to, Nonce: p.nonce, Deadline: p.deadline,
		From: v.Self, Digest: v.sum(), Updates: v.updates(to),
	})
}

// finish removes the probe with this nonce and returns it.
func (v *View) finish(nonce uint64) (probe, bool) {
	i := slices.IndexFunc(v.probes, func(p probe) bool { return p.nonce == nonce })
	if i < 0 {
		return probe{}, false
	}
	p := v.probes[i]
	v.probes = slices.Delete(v.probes, i, i+1)
	return p, true
}

func (v *View) pinged(ev Pinged, now time.Time) {
	v.observe(ev.From.Addr, now)
	updates := v.updates(ev.From.Addr) // before its own word changes what is told to it
	v.merge(ev.From, now, true)
	v.mergeAll(ev.Updates, now)
	v.out = append(v.out, AnswerPing{Ticket: ev.Ticket, From: v.Self, Digest: v.sum(), Updates: updates})
	v.matched(ev.From.Addr, ev.Digest, now)
}

func (v *View) acked(ev Acked, now time.Time) {
	v.heard = now
	p, ok := v.finish(ev.Nonce)
	v.merge(ev.From, now, true)
	v.mergeAll(ev.Updates, now)
	if !ok {
		return
	}
	v.better()
	switch {
	case p.kind == forward:
		v.out = append(v.out, AnswerProbe{Ticket: p.ticket, OK: true, Target: ev.From})
	case p.kind == attempt && ev.Digest != v.sum():
		v.begin(ev.From.Addr) // the other half of a partition, or the first contact
	default:
		v.matched(ev.From.Addr, ev.Digest, now)
	}
}

// asked pings a target for another process.
func (v *View) asked(ev Asked, now time.Time) {
	v.merge(ev.From, now, true)
	v.merge(ev.Target, now, false)
	v.ping(ev.Target.Addr, forward, ev.Ticket, now)
}

func (v *View) relayed(ev Relayed, now time.Time) {
	v.heard = now
	if !ev.OK {
		v.failed(ev.Nonce, now)
		return
	}
	v.finish(ev.Nonce)
	v.merge(ev.Target, now, true)
}

// failed takes note that a question, or one relay of it, gets no answer.
func (v *View) failed(nonce uint64, now time.Time) {
	i := slices.IndexFunc(v.probes, func(p probe) bool { return p.nonce == nonce })
	if i < 0 {
		return
	}
	if v.probes[i].relays > 1 {
		v.probes[i].relays--
		return
	}
	p, _ := v.finish(nonce)
	v.judge(p, now)
}

// expire ends the questions and suspicions whose deadline has come.
func (v *View) expire(now time.Time) {
	for i := 0; i < len(v.probes); {
		p := v.probes[i]
		if p.deadline.After(now) {
			i++
			continue
		}
		v.probes = slices.Delete(v.probes, i, i+1)
		v.judge(p, now)
	}
	for i := 0; i < len(v.suspicions); {
		s := v.suspicions[i]
		switch {
		case s.deadline.After(now):
			i++
		case v.isolated(now):
			v.suspicions[i].deadline = now.Add(v.set.Suspicion)
			i++
		default:
			v.suspicions = slices.Delete(v.suspicions, i, i+1)
			v.state(s.addr, Dead, now, Expired)
		}
	}
}

// judge draws the conclusion from a question without an answer.
func (v *View) judge(p probe, now time.Time) {
	switch p.kind {
	case direct:
		v.indirect(p, now)
	case relayed:
		v.suspect(p, now)
	case forward:
		v.out = append(v.out, AnswerProbe{Ticket: p.ticket})
	case fetch:
		v.refetch(p)
	case again, attempt:
	}
}

// indirect asks others to ping the target. If only the way from here to there is
// cut, they hear it, and it isn't suspected.
func (v *View) indirect(p probe, now time.Time) {
	e := v.member(p.target)
	if e == nil || e.Health == Dead {
		return
	}
	relays := v.neighbours()
	relays = slices.DeleteFunc(relays, func(a netip.AddrPort) bool { return a == p.target })
	v.rng.Shuffle(len(relays), func(i, j int) { relays[i], relays[j] = relays[j], relays[i] })
	relays = relays[:min(len(relays), v.set.Relays)]
	p.kind, p.relays = relayed, len(relays)
	if len(relays) == 0 {
		v.suspect(p, now)
		return
	}
	v.nonce++
	p.nonce = v.nonce
	// A relay needs its own timeout before it can say that it heard nothing.
	p.deadline = now.Add(v.patience(2 * v.set.Timeout))
	v.probes = append(v.probes, p)
	for _, to := range relays {
		v.out = append(v.out, SendProbe{To: to, Nonce: p.nonce, Deadline: p.deadline, From: v.Self, Target: e.Member})
	}
}

// suspect raises an own suspicion against the target of p.
func (v *View) suspect(p probe, now time.Time) {
	patience := v.patience(v.set.Suspicion)
	v.worse() // makes the next suspicion slower, if this failure isn't the only one
	e := v.member(p.target)
	if e == nil || e.Health == Dead || e.Start != p.start || v.isolated(now) {
		return
	}
	if v.suspicious(p.target) < 0 {
		s := suspicion{addr: p.target, deadline: now.Add(patience)}
		v.suspicions = append(v.suspicions, s)
	}
	v.state(p.target, Suspect, now, Silent)
}

// isolated reports whether this process seems to be cut off itself, because none
// of its questions has been answered for a while. Pings of others don't count:
// it may be that they come in but nothing goes out. Then it would find everybody
// silent; its accusations would reach the others when the
// cut ends, and each of them would have to be contradicted. A small fleet whose
// other members have really died is told apart by time only.
func (v *View) isolated(now time.Time) bool {
	silence := now.Sub(v.heard)
	return silence > 2*v.set.Period && silence < v.set.Isolation
}

// observe remembers who pings this process.
func (v *View) observe(addr netip.AddrPort, now time.Time) {
	fresh := now.Add(-2 * v.set.Period)
	v.observers = slices.DeleteFunc(v.observers, func(o observer) bool {
		return o.addr == addr || o.at.Before(fresh)
	})
	v.observers = append(v.observers, observer{addr: addr, at: now})
}

// neighbours are the members with which this process has connections anyway.
func (v *View) neighbours() []netip.AddrPort {
	out := slices.Clone(v.subjects)
	for _, o := range v.observers {
		if !slices.Contains(out, o.addr) {
			out = append(out, o.addr)
		}
	}
	return slices.DeleteFunc(out, func(a netip.AddrPort) bool {
		e := v.member(a)
		return e == nil || e.Health != Alive
	})
}

// choose picks the successor of this process on each ring, or the next one after
// it that isn't watched already.
func (v *View) choose() {
	v.stale = false
	v.subjects = v.subjects[:0]
	for ring := range v.set.Rings {
		var best *entry
		for _, e := range v.all {
			if e.Health == Dead || slices.Contains(v.subjects, e.Addr) {
				continue
			}
			if best == nil || e.dist[ring] < best.dist[ring] {
				best = e
			}
		}
		if best != nil {
			v.subjects = append(v.subjects, best.Addr)
		}
	}
	v.suspicions = slices.DeleteFunc(v.suspicions, func(s suspicion) bool {
		return !slices.Contains(v.subjects, s.addr)
	})
}
