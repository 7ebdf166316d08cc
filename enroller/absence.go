package enroller

import (
	"net/netip"
	"time"

	"basildale.example/basildale/marker"
)

// unlisted is how long a run may be missing from the platform's list that was
// never seen there. The list lags by seconds, and a fresh run isn't in it yet.
const unlisted = 30 * time.Second

// absence finds the runs that the platform no longer lists. Its zero value works.
type absence struct {
	seen    map[marker.Run]bool      // was listed since it is known
	missing map[marker.Run]time.Time // since when it has not been listed
}

// ended returns the addresses of the runs in the roster that have ended: they
// were listed and are so no more, or have been missing for long.
func (a *absence) ended(runs []marker.Run, listed []netip.AddrPort, now time.Time) []netip.AddrPort {
	present := make(map[netip.AddrPort]bool, len(listed))
	for _, addr := range listed {
		present[addr] = true
	}
	seen := make(map[marker.Run]bool, len(runs))
	missing := make(map[marker.Run]time.Time)
	var over []netip.AddrPort
	for _, run := range runs {
		if present[run.Address] {
			seen[run] = true
			continue
		}
		seen[run] = a.seen[run]
		since, ok := a.missing[run]
		if !ok {
			since = now
		}
		missing[run] = since
		if seen[run] || now.Sub(since) >= unlisted {
			over = append(over, run.Address)
		}
	}
	a.seen, a.missing = seen, missing
	return over
}
