package leaver

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// The defaults of Upstreams.
const (
	DefaultListInterval = time.Second
	DefaultReadmitDelay = 5 * time.Second
	DefaultForgetDelay  = 10 * time.Minute
)

// Upstream is one entry of the platform's list.
type Upstream struct {
	Addr    netip.AddrPort
	Group   string
	Leaving bool
}

// Upstreams decides which upstreams get no new work because they are leaving. Its zero
// value is ready for use. It is not safe for concurrent use.
type Upstreams struct {
	ListInterval time.Duration // between two reads of the list
	ReadmitDelay time.Duration // how long an upstream must be listed as live before it gets work again
	ForgetDelay  time.Duration // after which a leaving upstream that is no longer listed is forgotten

	leaving  map[netip.AddrPort]*leavingUpstream
	nextRead time.Time // when the list is read again
}

// leavingUpstream is the state of an upstream that is leaving.
type leavingUpstream struct {
	group      string
	moving     bool
	liveSince  time.Time // since when it is listed as live again; zero if it is not
	lastListed time.Time
}

// UpstreamEvent is an input of Upstreams.
type UpstreamEvent interface{ upstreamEvent() }

// ListRead is the platform's list of upstreams.
type ListRead struct{ Upstreams []Upstream }

// ListFailed says that the list could not be read.
type ListFailed struct{}

// PrimaryReported says which upstream is the primary of a group.
type PrimaryReported struct {
	Group string
	Addr  netip.AddrPort
}

// MoveFailed says that the group's primary could not be moved.
type MoveFailed struct{ Group string }

func (ListRead) upstreamEvent()        {}
func (ListFailed) upstreamEvent()      {}
func (PrimaryReported) upstreamEvent() {}
func (MoveFailed) upstreamEvent()      {}
func (Tick) upstreamEvent()            {}

// UpstreamCommand is something that the owner of Upstreams has to do.
type UpstreamCommand interface{ upstreamCommand() }

// ReadList requests the platform's list, or one that a peer has read. Its outcome is
// ListRead or ListFailed.
type ReadList struct{}

// Withdraw says that an upstream gets no new work. Work in progress continues.
type Withdraw struct {
	Addr  netip.AddrPort
	Group string
}

// Readmit says that an upstream may get work again.
type Readmit struct {
	Addr  netip.AddrPort
	Group string
}

// MovePrimary requests a planned change of the group's primary away from From. Writes are
// held meanwhile.
type MovePrimary struct {
	Group string
	From  netip.AddrPort
}

func (ReadList) upstreamCommand()    {}
func (Withdraw) upstreamCommand()    {}
func (Readmit) upstreamCommand()     {}
func (MovePrimary) upstreamCommand() {}

// Next returns when Handle needs a Tick. It is zero before the first Handle.
func (u *Upstreams) Next() time.Time { return u.nextRead }

// Withdrawn reports whether an upstream gets no new work.
func (u *Upstreams) Withdrawn(addr netip.AddrPort) bool { return u.leaving[addr] != nil }

// Handle takes an event at the time now and returns the commands to carry out.
func (u *Upstreams) Handle(ev UpstreamEvent, now time.Time) []UpstreamCommand {
	var out []UpstreamCommand
	switch ev := ev.(type) {
	case ListRead:
		out = u.listRead(ev, now)
	case PrimaryReported:
		out = u.primaryReported(ev)
	case MoveFailed:
		u.moveFailed(ev)
	case ListFailed, Tick:
	}
	if !now.Before(u.nextRead) {
		u.nextRead = now.Add(cmp.Or(u.ListInterval, DefaultListInterval))
		out = append(out, ReadList{})
	}
	return out
}

func (u *Upstreams) listRead(ev ListRead, now time.Time) []UpstreamCommand {
	if u.leaving == nil {
		u.leaving = make(map[netip.AddrPort]*leavingUpstream)
	}
	var out []UpstreamCommand
	for _, up := range ev.Upstreams {
		out = u.listed(out, up, now)
	}
	for addr, d := range u.leaving {
		// The upstream has left. Another one that gets its address later must not
		// be treated as leaving.
		if now.Sub(d.lastListed) > cmp.Or(u.ForgetDelay, DefaultForgetDelay) {
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
		u.leaving[up.Addr] = &leavingUpstream{group: up.Group, lastListed: now}
		return append(out, Withdraw{Addr: up.Addr, Group: up.Group})
	}
	d.lastListed = now
	switch {
	case up.Leaving:
		d.liveSince = time.Time{}
	case d.liveSince.IsZero():
		d.liveSince = now
	case now.Sub(d.liveSince) >= cmp.Or(u.ReadmitDelay, DefaultReadmitDelay):
		delete(u.leaving, up.Addr)
		out = append(out, Readmit{Addr: up.Addr, Group: up.Group})
	}
	return out
}

// primaryReported requests a move if the primary is leaving. It is called again with
// every update of the tracker, so it does not repeat a request that is pending.
func (u *Upstreams) primaryReported(ev PrimaryReported) []UpstreamCommand {
	for addr, d := range u.leaving {
		if d.group == ev.Group && addr != ev.Addr {
			d.moving = false // not the primary now; if it becomes the primary again, another move is requested
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

// Leaving returns the addresses of the leaving upstreams, sorted.
func (u *Upstreams) Leaving() []netip.AddrPort {
	out := make([]netip.AddrPort, 0, len(u.leaving))
	for addr := range u.leaving {
		out = append(out, addr)
	}
	slices.SortFunc(out, netip.AddrPort.Compare)
	return out
}
