package auditor

import (
	"bufio"
	"cmp"
	"io"
	"maps"
	"regexp"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// Span is the time that one row of a report covers.
	Span = 2 * time.Second
	// leastGap is the shortest time without an acknowledged write that is reported. A
	// planned change of leader takes some tenths of a second away, in a group that is
	// asked for a write each 40 ms.
	leastGap = 300 * time.Millisecond
	// longestLine bounds a log line; those of the processes have up to a kilobyte.
	longestLine = 1 << 20
)

// numbers are what causes differ in that are the same: how long to wait, positions.
var numbers = regexp.MustCompile(`[0-9][0-9.]*(ms|µs|s)?`)

// Row is what became of a group's requests in one span.
type Row struct {
	From    time.Time      `json:"from"`
	Group   string         `json:"group"`
	Asked   int            `json:"asked"`
	Met     int            `json:"met"`  // answered within the objective
	Late    int            `json:"late"` // answered after it
	Doubt   int            `json:"doubt"`
	Refused map[string]int `json:"refused"` // by cause
	// Reads are those that were answered, and Replicas those that replicas ran.
	Reads    int `json:"reads"`
	Replicas int `json:"replicas"`
}

// Gap is a time in which a group acknowledged no write, though some were asked for.
type Gap struct {
	Group string    `json:"group"`
	From  time.Time `json:"from"`
	To    time.Time `json:"to"`
	// Noticing, Deciding, Promoting and Hearing divide it: until a change of leader
	// began, until the order for it, until the first process knew the new leader, until
	// a write was acknowledged. All are zero where no change of leader ended the gap.
	Noticing  time.Duration `json:"noticing"`
	Deciding  time.Duration `json:"deciding"`
	Promoting time.Duration `json:"promoting"`
	Hearing   time.Duration `json:"hearing"`
}

// Report is the outcome of an audit.
type Report struct {
	Rows []Row `json:"rows"`
	Gaps []Gap `json:"gaps"`
	// Share is the part of all answered reads that replicas ran, from 0 to 1.
	Share float64 `json:"share"`
	// Skipped counts lines that can't be read.
	Skipped int `json:"skipped"`
}

// Audit collects lines of any number of processes, in any order. Its zero value is ready
// for use.
type Audit struct {
	lines   []line
	skipped int
}

// Read takes in the lines of one log.
func (a *Audit) Read(r io.Reader) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, longestLine)
	for s.Scan() {
		l, ok := parse(s.Bytes())
		switch {
		case !ok:
			a.skipped++
		case relevant(l.Message):
			a.lines = append(a.lines, l)
		}
	}
	return errors.Wrap(s.Err(), "auditor: read a log")
}

func relevant(message string) bool {
	switch message {
	case ended, changed, verify, guard, halt, promote:
		return true
	default:
		return false
	}
}

// Report returns what the lines tell.
func (a *Audit) Report() Report {
	slices.SortStableFunc(a.lines, func(x, y line) int { return x.At.Compare(y.At) })
	out := Report{Rows: a.rows(), Gaps: a.gaps(), Skipped: a.skipped}
	reads, replicas := 0, 0
	for _, r := range out.Rows {
		reads += r.Reads
		replicas += r.Replicas
	}
	if reads > 0 {
		out.Share = float64(replicas) / float64(reads)
	}
	return out
}

func (a *Audit) rows() []Row {
	type key struct {
		span  int64
		group string
	}
	rows := map[key]*Row{}
	for _, l := range a.lines {
		if l.Message != ended {
			continue
		}
		k := key{l.At.UnixNano() / int64(Span), l.Group}
		r := rows[k]
		if r == nil {
			r = &Row{From: time.Unix(0, k.span*int64(Span)).UTC(), Group: l.Group, Refused: map[string]int{}}
			rows[k] = r
		}
		r.count(l)
	}
	order := slices.SortedFunc(maps.Keys(rows), func(x, y key) int {
		return cmp.Or(cmp.Compare(x.span, y.span), cmp.Compare(x.group, y.group))
	})
	out := make([]Row, 0, len(order))
	for _, k := range order {
		out = append(out, *rows[k])
	}
	return out
}

// count takes in how one request ended.
func (r *Row) count(l line) {
	r.Asked++
	switch {
	case l.Code == codeOK && l.Took <= l.Objective:
		r.Met++
	case l.Code == codeOK:
		r.Late++
	case l.Code == inDoubt:
		r.Doubt++
	default:
		r.Refused[l.Code+": "+numbers.ReplaceAllString(l.Cause, "N")]++
	}
	if l.Code == codeOK && !l.Writes {
		r.Reads++
		if !l.Led {
			r.Replicas++
		}
	}
}
