package server

import (
	"context"
	"sync/atomic"

	"basildale.example/basildale/relayer"
	"basildale.example/basildale/retrier"
)

// fixed serves groups as the settings give them, without control: the first
// upstream of a group is its primary, reads go to the others in turn.
type fixed struct {
	groups map[string]*Group
	turn   atomic.Uint64
}

func (f *fixed) set(groups []Group) {
	f.groups = make(map[string]*Group, len(groups))
	for i := range groups {
		f.groups[groups[i].Name] = &groups[i]
	}
}

// login lets any user work on the group that has the database's name.
func (f *fixed) login(user, database string) (relayer.Account, bool) {
	_, ok := f.groups[database]
	return relayer.Account{Tenant: user, Caller: user, Group: database}, ok
}

func (f *fixed) route(_ context.Context, r *relayer.Request) (relayer.Target, *relayer.Refusal) {
	g := f.groups[r.Account.Group]
	if g == nil || len(g.Upstreams) == 0 {
		return relayer.Target{}, &relayer.Refusal{
			Outcome: retrier.Outcome{Kind: retrier.NotRun, Cause: retrier.Forbidden},
			Message: "the group has no upstream",
		}
	}
	t := relayer.Target{Group: g.Name, Address: g.Upstreams[0], Primary: true}
	if replicas := g.Upstreams[1:]; r.Read() && len(replicas) > 0 {
		t.Address = replicas[f.turn.Add(1)%uint64(len(replicas))]
		t.Primary = false
	}
	return t, nil
}
