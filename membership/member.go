package membership

import (
	"net/netip"

	"github.com/cockroachdb/errors"
)

// ErrHealth reports a health that is none of the known words.
var ErrHealth = errors.New("membership: unknown health")

// Health is what the fleet believes about one member.
type Health uint8

// The healths of a member, in the order in which one outweighs another that was
// stated at the same start and incarnation.
const (
	Alive Health = iota
	Suspect
	Dead
)

// String returns the health in lower case.
func (h Health) String() string {
	switch h {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	default:
		return "unknown"
	}
}

// MarshalText returns what String returns.
func (h Health) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// UnmarshalText reads what MarshalText writes. Its error wraps ErrHealth.
func (h *Health) UnmarshalText(b []byte) error {
	switch string(b) {
	case "alive":
		*h = Alive
	case "suspect":
		*h = Suspect
	case "dead":
		*h = Dead
	default:
		return errors.Wrapf(ErrHealth, "%q", b)
	}
	return nil
}

// Member is one statement about one member. Addr, Start and Inc say whom and
// which moment of it: Start is chosen anew by each process and is higher than
// that of the process before it at the same address, so a restarted process is
// a new member; Inc is raised by the member itself to contradict a statement
// about it that is no longer true.
type Member struct {
	Addr    netip.AddrPort `json:"addr"`
	Start   uint64         `json:"start"`
	Inc     uint32         `json:"inc,omitempty"`
	Health  Health         `json:"health,omitzero"`
	Leaving bool           `json:"leaving,omitempty"`
	Zone    string         `json:"zone,omitempty"`
}

// Newer reports whether m speaks of a later moment than o: a later process at
// the same address, or a later incarnation of the same process.
func (m Member) Newer(o Member) bool {
	if m.Start != o.Start {
		return m.Start > o.Start
	}
	return m.Inc > o.Inc
}

// Join returns what is known when both statements, about the same address, have
// been heard, in whichever order. Of two moments the later counts. Of the same
// moment the worse health counts, and a member that leaves stays so.
func (m Member) Join(o Member) Member {
	switch {
	case m.Newer(o):
		return m
	case o.Newer(m):
		return o
	}
	m.Health = max(m.Health, o.Health)
	m.Leaving = m.Leaving || o.Leaving
	return m
}
