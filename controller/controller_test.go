package controller

import (
	"net/netip"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"basildale.example/basildale/membership"
	"basildale.example/basildale/promoter"
	"basildale.example/basildale/tracker"
)

var (
	start = time.Date(2026, 12, 24, 16, 0, 0, 0, time.UTC)
	one   = netip.MustParseAddrPort("127.0.0.1:6001")
	two   = netip.MustParseAddrPort("127.0.0.1:6002")
	three = netip.MustParseAddrPort("127.0.0.1:6003")
)

func standalone(t *testing.T) (*Controller, []Command) {
	t.Helper()
	c := &Controller{
		Self:       membership.Member{Addr: netip.MustParseAddrPort("127.0.0.1:7001"), Start: 7, Zone: "vejle-hal"},
		Standalone: true,
	}
	groups := []Group{{Name: "billet-db-1", Upstreams: []Upstream{{one, "vejle-hal"}, {two, "aarhus-hal"}, {three, "skjern-hal"}}}}
	return c, c.Handle(Start{Groups: groups}, start)
}

// published returns the last view among the commands.
func published(cmds []Command) *Published {
	var last *Published
	for _, cmd := range cmds {
		if p, ok := cmd.(Publish); ok {
			last = p.Group
		}
	}
	return last
}

func asked(cmds []Command) []netip.AddrPort {
	var list []netip.AddrPort
	for _, cmd := range cmds {
		if a, ok := cmd.(Ask); ok {
			list = append(list, a.Upstream)
		}
	}
	return list
}

func leading(seq uint32, pos tracker.Position) tracker.State {
	term := tracker.Term{Epoch: 1, Seq: seq}
	return tracker.State{Role: tracker.Primary, Term: term, Mark: tracker.Mark{Term: term, Pos: pos}}
}

func TestStartAsksEveryUpstreamAndPublishesNoPrimary(t *testing.T) {
	is := is.New(t)
	c, cmds := standalone(t)
	is.Equal(asked(cmds), []netip.AddrPort{one, two, three})
	p := published(cmds)
	is.Equal(p.Snapshot.Primary, tracker.None)
	is.Equal(p.Index(two), 1)
	is.Equal(p.Index(netip.MustParseAddrPort("127.0.0.1:1")), tracker.None)
	is.True(c.Ready())
}

// Symptom: traffic goes on to the replaced primary until the next sample.
// Sequence: another proxy announces the new primary; nobody asks that upstream.
// Cause: the announcement reached the promoter and not the tracker.
func TestAnnouncedPrimaryIsAskedAtOnce(t *testing.T) {
	is := is.New(t)
	c, _ := standalone(t)
	now := start.Add(time.Millisecond)
	cmds := c.Handle(Stated{Group: "billet-db-1", Upstream: one, State: leading(1, 10), Sent: start, Received: now}, now)
	is.Equal(published(cmds).Snapshot.Primary, 0)
	is.Equal(published(cmds).Primary, one)

	now = now.Add(time.Second)
	cmds = c.Handle(Promotion{Group: "billet-db-1", Event: promoter.Announced{
		From: "127.0.0.1:7002/8", Primary: two, Term: tracker.Term{Epoch: 1, Seq: 5},
	}}, now)
	is.Equal(published(cmds).Primary, two)
	is.Equal(asked(cmds), []netip.AddrPort{two})

	sent := now
	now = now.Add(time.Millisecond)
	cmds = c.Handle(Stated{Group: "billet-db-1", Upstream: two, State: leading(5, 10), Sent: sent, Received: now}, now)
	is.Equal(published(cmds).Snapshot.Primary, 1)
	is.Equal(published(cmds).Snapshot.Term, tracker.Term{Epoch: 1, Seq: 5})
}

// Symptom: an upstream that is leaving is given new work for as long as it
// answers. Sequence: the platform's list marks it, traffic goes by states only.
// Cause: the list reached nobody who decides where statements go.
func TestLeavingUpstreamIsBarred(t *testing.T) {
	is := is.New(t)
	c, _ := standalone(t)
	cmds := c.Handle(Listed{Leaving: []netip.AddrPort{three}}, start.Add(time.Second))
	is.Equal(published(cmds).Leaving, []bool{false, false, true})
	is.Equal(len(c.Ring.Last(three.String(), 0)), 1)
	cmds = c.Handle(Listed{Leaving: []netip.AddrPort{three}}, start.Add(2*time.Second))
	is.Equal(published(cmds), nil) // nothing new
	live := []netip.AddrPort{one, two, three}
	// Lists from different readers differ in age: one that has it as live again
	// doesn't bring its work back, five seconds of them do.
	is.Equal(published(c.Handle(Listed{Live: live}, start.Add(3*time.Second))), nil)
	is.Equal(published(c.Handle(Listed{Leaving: []netip.AddrPort{three}}, start.Add(4*time.Second))), nil)
	is.Equal(published(c.Handle(Listed{Live: live}, start.Add(5*time.Second))), nil)
	is.Equal(published(c.Handle(Listed{Live: live}, start.Add(9*time.Second))), nil)
	cmds = c.Handle(Listed{Live: live}, start.Add(10*time.Second))
	is.Equal(published(cmds).Leaving, []bool{false, false, false})
	is.Equal(c.Ring.Last(three.String(), 0)[1].Action, "readmit")
	// One that has left the list altogether gets no work.
	c.Handle(Listed{Live: live[:2], Leaving: live[2:]}, start.Add(11*time.Second))
	for at := 12 * time.Second; at < time.Minute; at += time.Second {
		is.Equal(published(c.Handle(Listed{Live: live[:2]}, start.Add(at))), nil)
	}
}

// Symptom: writes go on to an upstream that is about to be switched off.
// Sequence: the platform's list marks the primary as leaving. Cause: the router
// keeps only reads away from it, and nobody asked for a planned change.
func TestLeavingPrimaryIsMovedAway(t *testing.T) {
	is := is.New(t)
	c, _ := standalone(t)
	now := start.Add(time.Millisecond)
	replica := leading(1, 10)
	replica.Role = tracker.Replica
	c.Handle(Stated{Group: "billet-db-1", Upstream: one, State: leading(1, 10), Sent: start, Received: now}, now)
	c.Handle(Stated{Group: "billet-db-1", Upstream: two, State: replica, Following: one, Sent: start, Received: now}, now)
	led := func(c *Controller) {
		record := promoter.Record{Epoch: 1, Leader: MemberID(c.Self.Addr, c.Self.Start), Primary: one, Term: tracker.Term{Epoch: 1, Seq: 1}}
		c.Handle(Promotion{Group: "billet-db-1", Event: promoter.Recorded{Record: record, Version: 1}}, now)
	}
	led(c)
	now = start.Add(time.Second)
	cmds := c.Handle(Listed{Leaving: []netip.AddrPort{one, three}}, now)
	is.Equal(published(cmds).Hold, now.Add(moveWithin)) // writes wait for it
	is.Equal(c.groups["billet-db-1"].successor(now), 1)
	cmds = c.Handle(Listed{Leaving: []netip.AddrPort{one, three}}, now.Add(moveWithin/2))
	is.Equal(published(cmds), nil) // it is under way
	c, _ = standalone(t)
	c.Handle(Stated{Group: "billet-db-1", Upstream: one, State: leading(1, 10), Sent: start, Received: now}, now)
	led(c)
	cmds = c.Handle(Listed{Leaving: []netip.AddrPort{one, two, three}}, now)
	is.Equal(published(cmds).Hold, time.Time{}) // there is nowhere to go
}

// Symptom: writes of a group are held for a second again and again, and its primary, which
// leaves, isn't replaced. Sequence: the replica with the longest log goes dark, without a
// reset. Cause: the change goes to what was last heard, however long ago; while writes are
// held no other log gets longer.
func TestLeavingPrimaryIsNotMovedToOneThatIsDark(t *testing.T) {
	is := is.New(t)
	c, _ := standalone(t)
	state := func(upstream netip.AddrPort, pos tracker.Position, now time.Time) {
		s := leading(1, pos)
		s.Role = tracker.Replica
		c.Handle(Stated{Group: "billet-db-1", Upstream: upstream, State: s, Following: one, Sent: now, Received: now}, now)
	}
	now := start.Add(time.Millisecond)
	state(two, 10, now)
	state(three, 9, now)
	g := c.groups["billet-db-1"]
	is.Equal(g.successor(now), 1) // the longest log
	now = now.Add(5 * time.Second)
	c.Handle(Failed{Group: "billet-db-1", Upstream: two, Trouble: promoter.Quiet}, now)
	state(three, 9, now)
	is.Equal(g.successor(now), 2)
	is.Equal(g.successor(now.Add(time.Minute)), -1) // nobody answers
}

func TestEventsOfUnknownGroupsAndUpstreamsChangeNothing(t *testing.T) {
	is := is.New(t)
	c, _ := standalone(t)
	now := start.Add(time.Second)
	stranger := netip.MustParseAddrPort("127.0.0.1:9")
	for _, ev := range []Event{
		Stated{Group: "gone", Upstream: one, State: leading(9, 9), Sent: start, Received: now},
		Stated{Group: "billet-db-1", Upstream: stranger, State: leading(9, 9), Sent: start, Received: now},
		Failed{Group: "gone", Upstream: one, Trouble: promoter.Refused},
		Failed{Group: "billet-db-1", Upstream: stranger, Trouble: promoter.Refused},
		Promotion{Group: "gone", Event: promoter.Tick{}},
	} {
		is.Equal(published(c.Handle(ev, now)), nil)
	}
}

func TestMemberIDHoldsTheAddress(t *testing.T) {
	is := is.New(t)
	addr, ok := MemberAddress(MemberID(one, 1234567))
	is.True(ok)
	is.Equal(addr, one)
	_, ok = MemberAddress("127.0.0.1:6001")
	is.True(!ok)
	_, ok = MemberAddress("nowhere/1")
	is.True(!ok)
}

// Symptom: explanations of a failover show nothing but one repeated step.
// Sequence: an upstream is down, an order to it is repeated every 50 ms. Cause:
// each repetition took a place in the ring and pushed the reasons out.
func TestRingKeepsReasonsDespiteRepetition(t *testing.T) {
	is := is.New(t)
	r := Ring{Size: 4}
	is.True(r.Add(Decision{At: start, Part: "promoter", Action: "fence", Reason: "suspected", Group: "g", Upstream: "a"}))
	for i := range 20 {
		at := start.Add(time.Duration(i) * 50 * time.Millisecond)
		is.Equal(r.Add(Decision{At: at, Part: "promoter", Action: "follow", Reason: "behind", Group: "g", Upstream: "b"}), i == 0)
	}
	is.Equal(len(r.Last("g", 0)), 2)
	is.Equal(r.Last("a", 0)[0].Action, "fence")

	for i := range 6 {
		is.True(r.Add(Decision{At: start, Part: "p", Action: strconv.Itoa(i)}))
	}
	last := r.Last("", 0)
	is.Equal(len(last), 4)
	is.Equal(last[0].Action, "2")
	is.Equal(last[3].Action, "5")
	is.Equal(r.Last("", 2)[0].Action, "4")
	is.True(r.Add(Decision{At: start, Part: "promoter", Action: "fence", Reason: "suspected", Group: "g", Upstream: "a"})) // was pushed out
}
