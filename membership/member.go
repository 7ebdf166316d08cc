package membership

import (
	"net/netip"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrSyntax reports a member that is not in its text form.
var ErrSyntax = errors.New("membership: not a member")

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

// Member is one statement about one member. Addr, Start and Inc say whom and
// which moment of it: Start is chosen anew by each process and is higher than
// that of the process before it at the same address, so a restarted process is
// a new member; Inc is raised by the member itself to contradict a statement
// about it that is no longer true.
type Member struct {
	Addr    netip.AddrPort
	Start   uint64
	Inc     uint32
	Health  Health
	Leaving bool // it has announced that it stops
	Zone    string
}

// The letters of the text form.
const (
	letterAlive   = "a"
	letterSuspect = "s"
	letterDead    = "d"
	letterLeaving = "l"
)

// String returns the text form "address start incarnation state zone", with the
// start in base 36 and the state as one letter for the health (a, s, d) and an l
// if it leaves. It is short because most of the traffic between idle peers
// consists of it.
func (m Member) String() string { return string(m.append(nil)) }

func (m Member) append(b []byte) []byte {
	b = m.Addr.AppendTo(b)
	b = append(b, ' ')
	b = strconv.AppendUint(b, m.Start, 36)
	b = append(b, ' ')
	b = strconv.AppendUint(b, uint64(m.Inc), 10)
	b = append(b, ' ')
	switch m.Health {
	case Alive:
		b = append(b, letterAlive...)
	case Suspect:
		b = append(b, letterSuspect...)
	default:
		b = append(b, letterDead...)
	}
	if m.Leaving {
		b = append(b, letterLeaving...)
	}
	b = append(b, ' ')
	return append(b, m.Zone...)
}

// ParseMember reads what String returns. Its error wraps ErrSyntax.
func ParseMember(s string) (Member, error) {
	const fields = 5
	f := strings.SplitN(s, " ", fields)
	if len(f) != fields {
		return Member{}, errors.Wrapf(ErrSyntax, "%q", s)
	}
	addr, err := netip.ParseAddrPort(f[0])
	if err != nil {
		return Member{}, errors.Wrapf(ErrSyntax, "address in %q", s)
	}
	start, err := strconv.ParseUint(f[1], 36, 64)
	if err != nil {
		return Member{}, errors.Wrapf(ErrSyntax, "start in %q", s)
	}
	inc, err := strconv.ParseUint(f[2], 10, 32)
	if err != nil {
		return Member{}, errors.Wrapf(ErrSyntax, "incarnation in %q", s)
	}
	m := Member{Addr: addr, Start: start, Inc: uint32(inc), Zone: f[4]}
	health, leaving := strings.CutSuffix(f[3], letterLeaving)
	m.Leaving = leaving
	switch health {
	case letterAlive:
		m.Health = Alive
	case letterSuspect:
		m.Health = Suspect
	case letterDead:
		m.Health = Dead
	default:
		return Member{}, errors.Wrapf(ErrSyntax, "state in %q", s)
	}
	return m, nil
}

// MarshalText returns what String returns.
func (m Member) MarshalText() ([]byte, error) { return m.append(nil), nil }

// UnmarshalText reads what MarshalText returns. Its error wraps ErrSyntax.
func (m *Member) UnmarshalText(b []byte) error {
	parsed, err := ParseMember(string(b))
	if err != nil {
		return err
	}
	*m = parsed
	return nil
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
