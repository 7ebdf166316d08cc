package promoter

import (
	"net/netip"
	"time"

	"basildale.example/basildale/tracker"
)

// stall is how many probe intervals late a call may be before the proxy takes
// itself to have stood still.
const stall = 2

// Group decides for one database group. Set the exported fields before the first
// event. Its methods belong to one goroutine.
type Group struct {
	Name     string
	Self     string
	Zone     string
	Settings Settings

	set  Settings
	now  time.Time
	next time.Time
	out  []Command

	upstreams []upstream
	live      []Member

	// primary and term are the newest this proxy knows; adopted is since when.
	primary netip.AddrPort
	term    tracker.Term
	adopted time.Time
	// highest is the highest term heard of by any way.
	highest tracker.Term

	suspicion suspicion
	grant     grant
	attempt   *Attempt
	move      *move
	// waitUntil keeps this holder from acting: another one claimed, or the own
	// try was refused.
	waitUntil time.Time
	check     check
	vacant    time.Time
	hold      time.Time
	announce  repeat
}

// upstream is what the group knows of one copy.
type upstream struct {
	addr      netip.AddrPort
	state     tracker.State
	following netip.AddrPort
	seen      time.Time
	// asked is when the question was sent that state answers; zero: unknown.
	asked    time.Time
	probed   time.Time
	followAt time.Time
	follows  int
	// fresh says that state is newer than the last Follow sent.
	fresh bool
}

// repeat sends an announcement again, because a lost one leaves a proxy with the
// replaced primary until its next write is refused.
type repeat struct {
	at   time.Time
	left int
}

// Handle takes one event at now and returns the commands that follow from it.
// The slice is valid until the next call. Time must not go back.
func (g *Group) Handle(ev Event, now time.Time) []Command {
	g.begin(now)
	switch ev := ev.(type) {
	case Tick:
	case Members:
		g.live = ev.Live
		g.grant.changed = true
	case Upstreams:
		g.setUpstreams(ev.List)
	case Answered:
		g.heard(ev.Upstream, time.Time{})
	case Failed:
		g.failed(ev)
	case Stated:
		g.stated(ev)
	case Reported:
		g.reported(ev)
	case Announced:
		g.announced(ev)
	case Stepped:
		g.stepped(ev)
	case Recorded:
		g.takeRecord(ev.Record, ev.Version)
	case Loaded:
		g.loaded(ev)
	case Saved:
		g.saved(ev)
	case Move:
		g.startMove(ev)
	}
	g.advance()
	return g.out
}

// Next returns when Handle wants to be called with a [Tick] at the latest; zero:
// not before another event.
func (g *Group) Next() time.Time { return g.next }

// Primary returns the primary and its term as this proxy knows them.
func (g *Group) Primary() (netip.AddrPort, tracker.Term) { return g.primary, g.term }

// Record returns the group's record and its version as this proxy knows them;
// version 0: it knows none.
func (g *Group) Record() (Record, uint64) { return g.grant.record, g.grant.version }

// Leads reports whether this proxy is the first live holder.
func (g *Group) Leads() bool { return g.rank() == 0 }

func (g *Group) begin(now time.Time) {
	if g.set.Holders == 0 {
		g.set = g.Settings.or(Defaults())
	}
	g.out = g.out[:0]
	late := now.Sub(g.next)
	g.now = now
	// A proxy that stood still finds old questions without an answer, though the
	// answers wait unread. It would suspect a healthy primary; so it asks again.
	if !g.next.IsZero() && late > stall*g.set.Probe {
		g.suspicion.forget()
		g.vacant = time.Time{}
	}
	g.next = time.Time{}
}

// advance does what is due. Each part calls wake with its next deadline.
func (g *Group) advance() {
	g.judge()
	g.judgeVacancy()
	g.probe()
	g.advanceMove()
	g.act()
	g.drive()
	g.repair()
	g.claim()
}

func (g *Group) emit(c Command) { g.out = append(g.out, c) }

// wake makes Next at most t. A time that has come needs none: what was due is
// done, or waits for an event.
func (g *Group) wake(t time.Time) {
	if t.IsZero() || !t.After(g.now) {
		return
	}
	if g.next.IsZero() || t.Before(g.next) {
		g.next = t
	}
}

func (g *Group) setUpstreams(list []netip.AddrPort) {
	old := g.upstreams
	g.upstreams = make([]upstream, 0, len(list))
	for _, addr := range list {
		u := upstream{addr: addr}
		for _, o := range old {
			if o.addr == addr {
				u = o
			}
		}
		g.upstreams = append(g.upstreams, u)
	}
}

func (g *Group) upstream(addr netip.AddrPort) *upstream {
	for i := range g.upstreams {
		if g.upstreams[i].addr == addr {
			return &g.upstreams[i]
		}
	}
	return nil
}

func (g *Group) addrs() []netip.AddrPort {
	list := make([]netip.AddrPort, len(g.upstreams))
	for i, u := range g.upstreams {
		list[i] = u.addr
	}
	return list
}

// see notes a term that exists somewhere.
func (g *Group) see(t tracker.Term) {
	if g.highest.Less(t) {
		g.highest = t
		g.grant.changed = true
	}
}

// heard notes an answer of the upstream.
func (g *Group) heard(addr netip.AddrPort, sent time.Time) {
	if addr == g.primary {
		g.suspicion.detector.answer(sent, g.now)
		g.suspicion.trouble = false
	}
}

// stated takes an upstream's account of itself. The highest term with a primary
// wins, whoever promoted it.
func (g *Group) stated(ev Stated) {
	g.heard(ev.Upstream, ev.Sent)
	g.note(ev)
	if ev.State.Role == tracker.Primary {
		g.adopt(ev.Upstream, ev.State.Term, "it says that it is primary")
	}
}

// note keeps an upstream's state. An answer of an older term came late.
func (g *Group) note(ev Stated) {
	g.see(ev.State.Term)
	u := g.upstream(ev.Upstream)
	if u == nil || ev.State.Term.Less(u.state.Term) {
		return
	}
	u.state = ev.State
	u.following = ev.Following
	u.seen = g.now
	u.asked = ev.Sent
	u.fresh = true
	if g.term.Less(ev.State.Term) && g.attempt == nil {
		// Somebody replaces the primary, and the announcement may be lost.
		g.probeStale(g.set.Probe, "an upstream is at a later term")
	}
}

// adopt takes a primary of a later term.
func (g *Group) adopt(primary netip.AddrPort, term tracker.Term, reason string) {
	if !primary.IsValid() || g.primary.IsValid() && !g.term.Less(term) {
		return
	}
	g.see(term)
	if g.attempt != nil && !term.Less(g.attempt.Term) {
		g.attempt = nil
	}
	g.suspicion.reset(g.now, primary == g.primary)
	g.primary = primary
	g.term = term
	g.adopted = g.now
	g.grant.changed = true
	g.vacant = time.Time{}
	g.hold = time.Time{}
	for i := range g.upstreams {
		g.upstreams[i].followAt = time.Time{}
		g.upstreams[i].follows = 0
	}
	g.emit(Adopt{Primary: primary, Term: term, Reason: reason})
}

// announced takes another proxy's word for the primary and the record.
func (g *Group) announced(ev Announced) {
	g.takeRecord(ev.Record, ev.Version)
	if ev.Term.Less(g.term) {
		g.tell(ev.From, "it announced an older term")
		return
	}
	g.adopt(ev.Primary, ev.Term, "announced by "+ev.From)
	switch {
	case ev.Hold.After(g.now):
		g.hold = ev.Hold
		g.emit(Hold{Until: ev.Hold, Reason: "planned change announced by " + ev.From})
	case !g.hold.IsZero():
		g.hold = time.Time{}
		g.emit(Adopt{Primary: g.primary, Term: g.term, Reason: "planned change ended by " + ev.From})
	}
}

// tell announces the known primary to one proxy, or to all if to is empty.
func (g *Group) tell(to, reason string) {
	a := Announce{
		Primary: g.primary, Term: g.term, Hold: g.hold,
		Record: g.grant.record, Version: g.grant.version, Reason: reason,
	}
	if to != "" {
		a.To = []string{to}
	}
	g.emit(a)
}
