package checker_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/matryer/is"

	"basildale.example/basildale/checker"
)

// sold is a ledger and rows in which every promise is kept.
func sold() (*checker.Ledger, []checker.Row) {
	l := &checker.Ledger{}
	var rows []checker.Row
	for _, b := range []checker.Booking{
		{ID: "a", Group: "g", Seat: "1", Session: "s"},
		{ID: "b", Group: "g", Seat: "2", Session: "t"},
		{ID: "c", Group: "g", Seat: "3", Session: "t", Tx: "x"},
		{ID: "d", Group: "g", Seat: "4", Session: "t", Tx: "x"},
	} {
		l.Begin(b)
		l.End(b.ID, checker.Done)
		rows = append(rows, checker.Row{Group: b.Group, ID: b.ID, Seat: b.Seat, Session: b.Session})
	}
	l.Begin(checker.Booking{ID: "unknown", Group: "g", Session: "s"})
	l.Begin(checker.Booking{ID: "refused", Group: "g", Seat: "1", Session: "s"})
	l.End("refused", checker.NotRun)
	l.Seen(l.Expect("s", "a"), true)
	l.Seen(l.Expect("s", "unknown"), false)
	l.Seen(l.Expect("s", "b"), false) // another session's write may lag
	l.Answered("a", rows[0])
	l.Cut("killed")
	l.Excuse("killed")
	return l, append(rows, checker.Row{Group: "g", ID: "of another run"})
}

// Each case breaks one rule on purpose and names the only count that may rise.
func TestEachBrokenPromiseIsCounted(t *testing.T) {
	for _, c := range []struct {
		name     string
		sabotage func(l *checker.Ledger, rows []checker.Row) []checker.Row
		want     checker.Counts
	}{
		{"nothing", func(_ *checker.Ledger, r []checker.Row) []checker.Row { return r }, checker.Counts{}},
		{"an acknowledged booking is gone", func(_ *checker.Ledger, r []checker.Row) []checker.Row { return r[1:] }, checker.Counts{Lost: 1}},
		{"a transaction is gone", func(_ *checker.Ledger, r []checker.Row) []checker.Row { return r[:2] }, checker.Counts{Lost: 2}},
		{"a row is there twice", func(_ *checker.Ledger, r []checker.Row) []checker.Row { return append(r, r[0]) }, checker.Counts{Doubled: 1}},
		{"not run, and there", func(_ *checker.Ledger, r []checker.Row) []checker.Row {
			return append(r, checker.Row{Group: "g", ID: "refused", Seat: "1", Session: "s"})
		}, checker.Counts{Doubled: 1}},
		{"a fresh ID is there already", func(l *checker.Ledger, r []checker.Row) []checker.Row {
			l.End("unknown", checker.Repeated)
			return append(r, checker.Row{Group: "g", ID: "unknown", Session: "s"})
		}, checker.Counts{Doubled: 1}},
		{"a seat is sold twice", func(l *checker.Ledger, r []checker.Row) []checker.Row {
			l.Begin(checker.Booking{ID: "e", Group: "g", Seat: "1", Session: "t"})
			l.End("e", checker.Done)
			return append(r, checker.Row{Group: "g", ID: "e", Seat: "1", Session: "t"})
		}, checker.Counts{Doubled: 1}},
		{"an own write isn't seen", func(l *checker.Ledger, r []checker.Row) []checker.Row {
			l.Seen(l.Expect("s", "a"), false)
			return r
		}, checker.Counts{Stale: 1}},
		{"a request is cut", func(l *checker.Ledger, r []checker.Row) []checker.Row {
			l.Cut("stopped")
			return r
		}, checker.Counts{Cut: 1}},
		{"another's row is answered", func(l *checker.Ledger, r []checker.Row) []checker.Row {
			l.Answered("a", r[1])
			return r
		}, checker.Counts{Mixed: 1}},
		{"an answer has another form", func(l *checker.Ledger, r []checker.Row) []checker.Row {
			l.Garbled("two rows for one")
			return r
		}, checker.Counts{Mixed: 1}},
		{"a row has another's session", func(_ *checker.Ledger, r []checker.Row) []checker.Row {
			r[0].Session = "t"
			return r
		}, checker.Counts{Mixed: 1}},
		{"a row is in another group", func(_ *checker.Ledger, r []checker.Row) []checker.Row {
			r[0].Group = "h"
			return r
		}, checker.Counts{Mixed: 1}},
		{"half an unknown transaction is there", func(l *checker.Ledger, r []checker.Row) []checker.Row {
			l.Begin(checker.Booking{ID: "e", Group: "g", Session: "s", Tx: "y"})
			l.Begin(checker.Booking{ID: "f", Group: "g", Session: "s", Tx: "y"})
			return append(r, checker.Row{Group: "g", ID: "e", Session: "s"})
		}, checker.Counts{Mixed: 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l, rows := sold()
			rows = c.sabotage(l, rows)
			report := l.Audit(rows)
			is.Equal(cmp.Diff(c.want, report.Counts), "")
			is.Equal(report.Counts.Zero(), c.want == checker.Counts{})
			is.Equal(len(report.Findings) == 0, c.want == checker.Counts{})
			is.Equal(l.Audit(rows), report) // an audit changes nothing
		})
	}
}

func TestReportTellsWhatCallersKnow(t *testing.T) {
	is := is.New(t)
	l, rows := sold()
	rows = append(rows, checker.Row{Group: "g", ID: "unknown", Session: "s"})
	is.Equal(l.Audit(rows), checker.Report{Acknowledged: 4, Refused: 1, Unknown: 1, Present: 1})
	is.Equal(checker.Counts{Lost: 1, Mixed: 2}.String(), "lost 1 doubled 0 stale 0 cut 0 mixed 2")
}
