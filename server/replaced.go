package server

import (
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"basildale.example/basildale/relayer"
	"basildale.example/basildale/tracker"
)

// lastWords is how long a replaced primary may still answer what was sent to it.
// One that lives refuses at once, since it has been fenced; one that is cut off
// says nothing at all.
const lastWords = 100 * time.Millisecond

// held knows which connections are in use with a primary.
type held struct {
	mu  sync.Mutex
	all map[*relayer.Upstream]relayer.Target
}

func (h *held) add(u *relayer.Upstream, t relayer.Target) {
	if !t.Primary {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.all == nil {
		h.all = make(map[*relayer.Upstream]relayer.Target)
	}
	h.all[u] = t
}

func (h *held) remove(u *relayer.Upstream) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.all, u)
}

// close closes the connections with a group's primaries of terms before term,
// but for those at the address keep, and returns how many there were. They are
// closed under the lock: a connection that has been given back in the meantime
// belongs to somebody else.
func (h *held) close(group string, term tracker.Term, keep netip.AddrPort) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	closed := 0
	for u, t := range h.all {
		if t.Group == group && t.Address != keep && t.Term.Less(term) {
			u.Close()
			closed++
		}
	}
	return closed
}

// Replaced says that primary leads a group in term. What still waits for an
// answer of an earlier primary a moment later has lost its connection.
//
// Without it, symptom: after a primary is cut off, a new one leads within half a
// second, yet the requests that were under way are answered only when their own
// deadline is over, as unknown. With the connection closed, each is settled with
// the new primary while there is time.
func (s *Server) Replaced(group string, term tracker.Term, primary netip.AddrPort) {
	time.AfterFunc(lastWords, func() {
		if n := s.held.close(group, term, primary); n > 0 {
			s.Log.Info("server: connections to a replaced primary closed", zap.String("group", group), zap.Int("connections", n))
		}
	})
}
