package commander

import (
	"net/netip"

	"github.com/cockroachdb/errors"

	"basildale.example/basildale/tracker"
)

// The columns of the two kinds of rows, in order.
const (
	columnRole = iota
	columnTerm
	columnMark
	columnPrimary
	stateColumns
)

const (
	columnOutcome = iota
	columnAt
	settleColumns
)

const (
	outcomeDone   = "done"
	outcomeNotRun = "not run"
)

func parseAnswer(row [][]byte) (Answer, error) {
	if len(row) != stateColumns {
		return Answer{}, errors.Wrapf(ErrAnswer, "%d columns", len(row))
	}
	a := Answer{}
	var err error
	if a.Role = tracker.ParseRole(string(row[columnRole])); a.Role == tracker.Unknown {
		return Answer{}, errors.Wrapf(ErrAnswer, "role %q", row[columnRole])
	}
	if a.Term, err = tracker.ParseTerm(string(row[columnTerm])); err != nil {
		return Answer{}, errors.Mark(err, ErrAnswer)
	}
	if a.Mark, err = tracker.ParseMark(string(row[columnMark])); err != nil {
		return Answer{}, errors.Mark(err, ErrAnswer)
	}
	if text := string(row[columnPrimary]); text != "" {
		if a.Primary, err = netip.ParseAddrPort(text); err != nil {
			return Answer{}, errors.Mark(errors.Wrap(err, "commander: primary"), ErrAnswer)
		}
	}
	return a, nil
}

func parseSettlement(row [][]byte) (Settlement, error) {
	if len(row) != settleColumns {
		return Settlement{}, errors.Wrapf(ErrAnswer, "%d columns", len(row))
	}
	s := Settlement{}
	switch string(row[columnOutcome]) {
	case outcomeDone:
		s.Done = true
	case outcomeNotRun:
	default:
		return Settlement{}, errors.Wrapf(ErrAnswer, "outcome %q", row[columnOutcome])
	}
	var err error
	if s.Mark, err = tracker.ParseMark(string(row[columnAt])); err != nil {
		return Settlement{}, errors.Mark(err, ErrAnswer)
	}
	return s, nil
}

// quote makes a string literal of any text without NUL.
func quote(s string) string {
	out := make([]byte, 0, len(s)+2)
	out = append(out, '\'')
	for i := range len(s) {
		if s[i] == '\'' {
			out = append(out, '\'')
		}
		out = append(out, s[i])
	}
	return string(append(out, '\''))
}
