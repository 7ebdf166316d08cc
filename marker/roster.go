package marker

import (
	"net/netip"
	"slices"
	"strconv"
)

// Run is one run of a proxy process.
type Run struct {
	Address netip.AddrPort `json:"address"`
	// Start rises from each run at an address to the next.
	Start uint64 `json:"start"`
}

// Name returns the name of the run in a view.
func (r Run) Name() string {
	return r.Address.String() + "#" + strconv.FormatUint(r.Start, 10)
}

// Roster is the list of runs that may be under way. It is one object of the
// platform, changed only by conditional update: its version there is that of the
// view, and a version can't stand for two lists. It costs the platform a write
// for each start and each end of a process, and is watched like the
// configuration.
//
// The platform's own list of instances can't take its place. It has no version
// and lags differently for each reader, so two proxies could at the same time go
// by lists of which each lacks the other's newcomer, and both would find
// everybody of their list in agreement.
type Roster struct {
	Runs []Run `json:"runs"`
}

// Names returns the names of the runs, for [Viewed].
func (r *Roster) Names() []string {
	names := make([]string, len(r.Runs))
	for i, run := range r.Runs {
		names[i] = run.Name()
	}
	return names
}

// Next returns the roster as it should be, with self in it and without the runs
// that have ended, and whether that differs from r. ended are addresses at which
// no process of the fleet is any more: the platform had listed them and has
// stopped doing so. Silence is no proof: a silent run may acknowledge writes. An
// earlier run at the address of a later one has ended too.
func (r *Roster) Next(self Run, ended []netip.AddrPort) (Roster, bool) {
	latest := map[netip.AddrPort]uint64{self.Address: self.Start}
	for _, run := range r.Runs {
		latest[run.Address] = max(latest[run.Address], run.Start)
	}
	var next Roster
	for _, run := range r.Runs {
		over := run.Start < latest[run.Address] || run != self && slices.Contains(ended, run.Address)
		if !over {
			next.Runs = append(next.Runs, run)
		}
	}
	if !slices.Contains(next.Runs, self) && self.Start == latest[self.Address] {
		next.Runs = append(next.Runs, self)
	}
	return next, !slices.Equal(next.Runs, r.Runs)
}
