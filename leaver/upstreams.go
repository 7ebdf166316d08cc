package leaver

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// The defaults of Upstreams.
const (
	DefaultEvery  = time.Second
	DefaultReturn = 5 * time.Second
	DefaultForget = 10 * time.Minute
)

// Upstream is one entry of the platform's list.
type Upstream struct {
	Addr    netip.AddrPort
	Group   string
	Leaving bool
}

// Upstreams decides which upstreams get no new work because they leave. Its zero
// value is ready. It is not safe for concurrent use.
type Upstreams struct {
	Every  time.Duration // between two readings of the list
	Return time.Duration // an upstream is listed as live this long before it gets work again
	Forget time.Duration // an upstream that leaves and isn't listed any more is forgotten then

	leaving map[netip.AddrPort]*departure
	read    time.Time // when the list is read again
}

// departure is an upstream that leaves.
type departure struct {
	group  string
	moving bool
	live   time.Time // since when it is listed as live again; zero if it isn't
	seen   time.Time // when it was listed last
}

// UpstreamEvent is something that happened to Upstreams.
type UpstreamEvent interface{ upstreamEvent() }

// ListRead is the platform's list of upstreams.
type ListRead struct{ Upstreams []Upstream }

// ListFailed says that the list couldn't be read.
type ListFailed struct{}

// PrimaryIs says which upstream is primary of a group.
type PrimaryIs struct {
	Group string
	Addr  netip.AddrPort
}

// MoveFailed says that the group's primary couldn't be moved.
type MoveFailed struct{ Group string }

func (ListRead) upstreamEvent()   {}
func (ListFailed) upstreamEvent() {}
func (PrimaryIs) upstreamEvent()  {}
func (MoveFailed) upstreamEvent() {}
func (Tick) upstreamEvent()       {}

// UpstreamCommand is something that the owner of Upstreams has to do.
type UpstreamCommand interface{ upstreamCommand() }

// ReadList asks for the platform's list, or the one that a peer read. Its outcome
// is ListRead or ListFailed.
type ReadList struct{}

// Withdraw says that an upstream gets no new work. What is under way goes on.
type Withdraw struct {
	Addr  netip.AddrPort
	Group string
}

// Readmit says that an upstream may get work again.
type Readmit struct {
	Addr  netip.AddrPort
	Group string
}

// MovePrimary asks for a planned change of the group's primary away from From.
// Writes are held meanwhile.
type MovePrimary struct {
	Group string
	From  netip.AddrPort
}

func (ReadList) upstreamCommand()    {}
func (Withdraw) upstreamCommand()    {}
func (Readmit) upstreamCommand()     {}
func (MovePrimary) upstreamCommand() {}

// Next returns when Handle wants a Tick. It is zero before the first Handle.
func (u *Upstreams) Next() time.Time { return u.read }

// Withdrawn reports whether an upstream gets no new work.
func (u *Upstreams) Withdrawn(addr netip.AddrPort) bool { return u.leaving[addr] != nil }

// Handle takes an event at the time now and returns what is to be done.
func (u *Upstreams) Handle(ev UpstreamEvent, now time.Time) []UpstreamCommand {
	var out []UpstreamCommand
	switch ev := ev.(type) {
	case ListRead:
		out = u.listRead(ev, now)
	case PrimaryIs:
		out = u.primaryIs(ev)
	case MoveFailed:
		u.moveFailed(ev)
	case ListFailed, Tick:
	}
	if !now.Before(u.read) {
		u.read = now.Add(cmp.Or(u.Every, DefaultEvery))
		out = append(out, ReadList{})
	}
	return out
}

func (u *Upstreams) listRead(ev ListRead, now time.Time) []UpstreamCommand {
	if u.leaving == nil {
		u.leaving = make(map[netip.AddrPort]*departure)
	}
	var out []UpstreamCommand
	for _, up := range ev.Upstreams {
		out = u.listed(out, up, now)
	}
	for addr, d := range u.leaving {
		// It has left. Should another upstream get its address later, that
		// one is not to be held for the one that left.
		if now.Sub(d.seen) > cmp.Or(u.Forget, DefaultForget) {
			delete(u.leaving, addr)
		}
	}
	return out
}

func (u *Upstreams) listed(out []UpstreamCommand, up Upstream, now time.Time) []UpstreamCommand {
	d := u.leaving[up.Addr]
	switch {
	case d == nil && !up.Leaving:
		return out
	case d == nil:
		u.leaving[up.Addr] = &departure{group: up.Group, seen: now}
		return append(out, Withdraw{Addr: up.Addr, Group: up.Group})
	}
	d.seen = now
	switch {
	case up.Leaving:
		d.live = time.Time{}
	case d.live.IsZero():
		d.live = now
	case now.Sub(d.live) >= cmp.Or(u.Return, DefaultReturn):
		delete(u.leaving, up.Addr)
		out = append(out, Readmit{Addr: up.Addr, Group: up.Group})
	}
	return out
}

// primaryIs asks for a move if the primary leaves. It comes again and again with
// the tracker's view, so a move that was asked for isn't asked for twice.
func (u *Upstreams) primaryIs(ev PrimaryIs) []UpstreamCommand {
	for addr, d := range u.leaving {
		if d.group == ev.Group && addr != ev.Addr {
			d.moving = false // it isn't primary now; should it become so again, it is moved again
		}
	}
	d := u.leaving[ev.Addr]
	if d == nil || d.moving {
		return nil
	}
	d.moving = true
	return []UpstreamCommand{MovePrimary{Group: ev.Group, From: ev.Addr}}
}

func (u *Upstreams) moveFailed(ev MoveFailed) {
	for _, d := range u.leaving {
		if d.group == ev.Group {
			d.moving = false
		}
	}
}

// Leaving returns the upstreams that leave, sorted.
func (u *Upstreams) Leaving() []netip.AddrPort {
	out := make([]netip.AddrPort, 0, len(u.leaving))
	for addr := range u.leaving {
		out = append(out, addr)
	}
	slices.SortFunc(out, netip.AddrPort.Compare)
	return out
}
