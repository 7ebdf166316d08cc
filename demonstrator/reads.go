package demonstrator

import (
	"strings"
	"sync/atomic"

	"basildale.example/basildale/internal/faker/upstream"
	"basildale.example/basildale/tracker"
)

// reads counts reads by the role of the upstream that got them.
type reads struct{ all, replica atomic.Int64 }

// watch counts the reads of u from its first connection on.
func (r *reads) watch(u *upstream.Upstream) {
	u.Observe = func(_ uint32, sql string) {
		if !strings.HasPrefix(sql, "SELECT id") {
			return
		}
		r.all.Add(1)
		if u.State().Role == tracker.Replica {
			r.replica.Add(1)
		}
	}
}
