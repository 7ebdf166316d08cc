package tracker

import (
	"cmp"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrSyntax reports a term or mark that is not in its text form.
var ErrSyntax = errors.New("tracker: not a term or mark")

// Term numbers the periods in which one upstream of a group may be primary.
// Epoch is granted by the platform's object of the group, Seq is chosen by the
// proxy that holds the grant, so two proxies never use the same term. The zero
// Term comes before all others.
type Term struct {
	Epoch uint32
	Seq   uint32
}

// Compare returns -1, 0 or +1 as t comes before, equals or comes after o.
func (t Term) Compare(o Term) int {
	if c := cmp.Compare(t.Epoch, o.Epoch); c != 0 {
		return c
	}
	return cmp.Compare(t.Seq, o.Seq)
}

// Less reports whether t comes before o.
func (t Term) Less(o Term) bool { return t.Compare(o) < 0 }

// String returns the text form "epoch.seq".
func (t Term) String() string {
	return strconv.FormatUint(uint64(t.Epoch), 10) + "." + strconv.FormatUint(uint64(t.Seq), 10)
}

// ParseTerm reads the text form "epoch.seq".
func ParseTerm(s string) (Term, error) {
	epoch, seq, ok := strings.Cut(s, ".")
	if !ok {
		return Term{}, errors.Wrapf(ErrSyntax, "term %q", s)
	}
	e, err := strconv.ParseUint(epoch, 10, 32)
	if err != nil {
		return Term{}, errors.Wrapf(ErrSyntax, "term %q", s)
	}
	q, err := strconv.ParseUint(seq, 10, 32)
	if err != nil {
		return Term{}, errors.Wrapf(ErrSyntax, "term %q", s)
	}
	return Term{Epoch: uint32(e), Seq: uint32(q)}, nil
}

// Position is a place in the log of a group: the number of entries before the
// next one. It only rises within a term.
type Position uint64

// Mark is a point in a group's history: the last log entry at Pos was written in
// Term. A copy of the log at or past a mark holds the write that made the mark,
// provided that write was acknowledged. Marks of different terms are comparable:
// the later term wins, because its log begins with all that was acknowledged in
// the earlier ones. The zero Mark comes before every write.
type Mark struct {
	Term Term
	Pos  Position
}

// Compare returns -1, 0 or +1 as m comes before, equals or comes after o.
func (m Mark) Compare(o Mark) int {
	if c := m.Term.Compare(o.Term); c != 0 {
		return c
	}
	return cmp.Compare(m.Pos, o.Pos)
}

// Less reports whether m comes before o.
func (m Mark) Less(o Mark) bool { return m.Compare(o) < 0 }

// IsZero reports whether m is the mark before every write.
func (m Mark) IsZero() bool { return m == Mark{} }

// String returns the text form "epoch.seq/position".
func (m Mark) String() string {
	return m.Term.String() + "/" + strconv.FormatUint(uint64(m.Pos), 10)
}

// ParseMark reads the text form "epoch.seq/position".
func ParseMark(s string) (Mark, error) {
	term, pos, ok := strings.Cut(s, "/")
	if !ok {
		return Mark{}, errors.Wrapf(ErrSyntax, "mark %q", s)
	}
	t, err := ParseTerm(term)
	if err != nil {
		return Mark{}, err
	}
	p, err := strconv.ParseUint(pos, 10, 64)
	if err != nil {
		return Mark{}, errors.Wrapf(ErrSyntax, "mark %q", s)
	}
	return Mark{Term: t, Pos: Position(p)}, nil
}

// Role is what an upstream says it is.
type Role uint8

// The roles of an upstream. A fenced upstream takes no writes and follows
// nobody until it is promoted or told whom to follow.
const (
	Unknown Role = iota
	Primary
	Replica
	Fenced
)

// String returns the role in lower case.
func (r Role) String() string {
	switch r {
	case Primary:
		return "primary"
	case Replica:
		return "replica"
	case Fenced:
		return "fenced"
	default:
		return "unknown"
	}
}

// ParseRole reads what String returns; anything else is Unknown.
func ParseRole(s string) Role {
	switch s {
	case "primary":
		return Primary
	case "replica":
		return Replica
	case "fenced":
		return Fenced
	default:
		return Unknown
	}
}

// State is one upstream's answer about itself. Term is the highest term it has
// accepted (by fence, promote or follow); Mark is the end of its log.
type State struct {
	Role Role
	Term Term
	Mark Mark
}
