package membership

import (
	"math/rand/v2"
	"net/netip"
	"time"
)

// View is what one process believes of the fleet. Set the exported fields before
// the first Handle. It is not safe for concurrent use.
type View struct {
	// Self is this process: address, start and availability zone. Start must be
	// higher than that of the process before it at this address; milliseconds
	// since 1970 with some random bits below them will do. The View raises it,
	// and Inc, where others know better.
	Self Member
	// Settings bound the work.
	Settings Settings
	// Seed makes the random choices repeatable.
	Seed uint64

	rng    *rand.Rand
	set    Settings // with defaults
	next   time.Time
	tick   time.Time
	heard  time.Time // last answer to a question of this process
	score  int       // how slow this process seems to be, 0 to maxScore
	nonce  uint64
	all    []*entry   // the same, in an order that doesn't depend on chance
	live   int        // members that are not dead, without self
	digest uint64     // of the members that are not dead, without self
	listed []Instance // sorted by address
	news   queue

	subjects   []netip.AddrPort // watched by this process
	turn       int              // index of the subject that is next
	stale      bool             // subjects must be chosen anew
	observers  []observer
	probes     []probe
	suspicions []suspicion
	lost       []netip.AddrPort             // listed or dead addresses to be tried
	graves     map[netip.AddrPort]time.Time // when the dead are dropped
	contact    time.Time                    // when the next of them is tried
	sweep      time.Time                    // when the dead are looked through
	compare    comparison
	served     int    // buckets handed out in this interval
	fleet      *Fleet // nil after a change

	out []Command
}

// entry is a member and what is computed from its address once.
type entry struct {
	Member
	hash uint64           // of the address
	dist [maxRings]uint64 // from self, on each ring
}

// Handle takes an event at the time now, which must not fall, and returns what
// is to be done.
func (v *View) Handle(ev Event, now time.Time) []Command {
	if v.graves == nil {
		v.start(now)
	}
	v.wake(now)
	v.take(ev, now)
	v.expire(now)
	if !now.Before(v.tick) {
		v.step(now)
	}
	v.next = v.earliest()
	out := v.out
	v.out = nil
	return out
}

// Next returns when Handle wants a Tick. It is zero before the first Handle.
func (v *View) Next() time.Time { return v.next }

func (v *View) start(now time.Time) {
	v.set = v.Settings.withDefaults()
	v.rng = rand.New(rand.NewPCG(v.Seed, v.Self.Start))
	v.graves = make(map[netip.AddrPort]time.Time)
	v.heard = now
	v.tick = now.Add(time.Duration(v.rng.Int64N(int64(v.interval()))))
	v.next = v.tick
	v.contact, v.sweep = now, now.Add(sweepPeriod)
	v.compare.mismatch = now
}

// interval is the time between two pings.
func (v *View) interval() time.Duration { return v.set.Period / time.Duration(v.set.Rings) }

// wake notices that the process didn't run for a while. All its deadlines have
// then passed although the answers may lie unread in its buffers. Judged by
// them, a process that was paused would declare dead whomever it watches. So
// what was under way is dropped and own suspicions begin anew.
func (v *View) wake(now time.Time) {
	if now.Sub(v.next) <= v.set.Pause {
		return
	}
	v.probes = v.probes[:0]
	for i := range v.suspicions {
		v.suspicions[i].deadline = now.Add(v.patience(v.set.Suspicion))
	}
	v.compare.active = false
	v.heard = now
	v.worse()
}

// patience stretches d while this process seems slow itself.
func (v *View) patience(d time.Duration) time.Duration {
	return d * time.Duration(1+v.score)
}

func (v *View) worse()  { v.score = min(v.score+1, maxScore) }
func (v *View) better() { v.score = max(v.score-1, 0) }

func (v *View) take(ev Event, now time.Time) {
	switch ev := ev.(type) {
	case Tick:
	case Listed:
		v.list(ev)
	case Pinged:
		v.pinged(ev, now)
	case Acked:
		v.acked(ev, now)
	case Failed:
		v.failed(ev.Nonce, now)
	case Asked:
		v.asked(ev, now)
	case Relayed:
		v.relayed(ev, now)
	case SyncAsked:
		v.answerSync(ev)
	case Synced:
		v.synced(ev, now)
	case Announced:
		v.merge(ev.From, now, true)
	case Leave:
		v.leave(Alive)
	case Stop:
		v.leave(Dead)
	}
}

// step does what is due once in an interval.
func (v *View) step(now time.Time) {
	v.tick = v.tick.Add(v.interval())
	if v.tick.Before(now) {
		v.tick = now.Add(v.interval())
	}
	v.served = 0
	if v.stale {
		v.choose()
	}
	v.watch(now)
	v.pursue(now)
	v.seek(now)
	v.compareSome(now)
	if !now.Before(v.sweep) {
		v.drop(now)
	}
}

// earliest returns the first of all deadlines.
func (v *View) earliest() time.Time {
	first := v.tick
	for _, p := range v.probes {
		if p.deadline.Before(first) {
			first = p.deadline
		}
	}
	for _, d := range v.suspicions {
		if d.deadline.Before(first) {
			first = d.deadline
		}
	}
	return first
}

// leave tells those who know this process best that it stops or has ended.
func (v *View) leave(health Health) {
	v.Self.Leaving, v.fleet = true, nil
	v.Self.Inc++
	said := v.Self
	said.Health = health
	for _, to := range v.neighbours() {
		v.out = append(v.out, SendAnnounce{To: to, From: said})
	}
}
