package sharer

import (
	"net/netip"
	"slices"
	"time"

	"basildale.example/basildale/limiter"
)

// Newcomers is how many control connections of proxies that are not members yet,
// or no more, a view leaves room for. It covers the moment between closing a
// connection and the upstream's noticing it, too.
const Newcomers = 2

// group is one group's division.
type group struct {
	name    string
	shares  limiter.Shares
	record  limiter.Record
	version uint64
	seq     uint64                    // this process keeps to it
	told    map[limiter.Member]uint64 // what each peer has taken from us
	since   time.Time                 // since when another view is wanted
	refused int                       // members for which there is no room, as logged
	putting bool
}

// see takes the platform's object.
func (g *group) see(o Object) {
	if o.Deleted {
		// Somebody has removed it. The views hold, and the next change writes
		// them anew.
		g.version = 0
		return
	}
	if o.Version < g.version {
		return
	}
	g.version = o.Version
	if o.Record.LastSeq() >= g.record.LastSeq() && len(o.Record.Views) > 0 {
		g.record = o.Record
		g.shares.ReceiveRecord(o.Record)
	}
}

// others returns the members of all views that may be in use, but for self.
func (g *group) others(self limiter.Member) []limiter.Member {
	var list []limiter.Member
	for _, v := range g.record.Views {
		for _, m := range v.Members {
			if m != self && !slices.Contains(list, m) {
				list = append(list, m)
			}
		}
	}
	return list
}

// members returns those of the newest view.
func (g *group) members() []limiter.Member {
	if n := len(g.record.Views); n > 0 {
		return g.record.Views[n-1].Members
	}
	return nil
}

// settled reports whether this process is a member and all keep to the view.
func (g *group) settled() bool {
	return g.shares.Converged() && slices.Contains(g.members(), g.shares.Self)
}

// keep brings the connections to what is allowed, and notes what can be
// confirmed. The order matters: counted after the bound was set, connections
// can't come to be more than was counted and than the bound.
func (g *group) keep(s *Sharer) {
	allowed := func(a netip.AddrPort) int { return g.shares.Allowed(a.String()) }
	s.Set(g.name, allowed)
	if g.shares.Converged() && g.seq == g.record.LastSeq() {
		return
	}
	open := make(map[string]int)
	for a, n := range s.Open(g.name) {
		open[a.String()] = n
	}
	g.seq = g.shares.Confirm(open)
	s.Set(g.name, allowed)
}

// wanted returns the members of the next view: those alive, and those of the
// last view that are not proven to have ended. A view without somebody who may
// still have connections would only be one more to keep to.
func (g *group) wanted(live []limiter.Member, ended func(limiter.Member) bool) []limiter.Member {
	var list []limiter.Member
	for _, m := range slices.Concat(live, g.members()) {
		if !ended(m) && !slices.Contains(list, m) {
			list = append(list, m)
		}
	}
	return list
}

// propose returns the record that should replace the present one.
func (g *group) propose(conf Group, members []limiter.Member) (r limiter.Record, changed, room bool) {
	limit := Shared(conf, len(members))
	if limit <= 0 {
		return r, false, false
	}
	r, changed = g.shares.Propose(limit, members)
	return r, changed, true
}

// trimmed returns the record without the views that nobody goes by any more. It
// would be as safe with them. But a proxy that starts later would first have to
// find the proof that each of their members has ended, which takes it
// [unlisted] for those that it never saw in the list.
func (g *group) trimmed() (limiter.Record, bool) {
	n := len(g.record.Views)
	if n < 2 || !g.settled() {
		return limiter.Record{}, false
	}
	return limiter.Record{Views: g.record.Views[n-1:]}, true
}

// Shared returns how many connections to each upstream n proxies share for data;
// zero or less when there is no room for so many proxies.
func Shared(g Group, n int) int { return g.Connections - max(g.Reserved, n+Newcomers) }
