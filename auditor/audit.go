package auditor

import (
	"cmp"
	"maps"
	"regexp"
	"slices"
	"time"
)

const (
	// Span is the time that one row of a report covers.
	Span = 2 * time.Second
	// leastGap is the shortest time without an acknowledged write that is reported. A
	// planned change of leader takes some tenths of a second away, in a group that is
	// asked for a write each 40 ms.
	leastGap = 300 * time.Millisecond
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

// Audit counts what lines of any number of processes tell, read in any order. Its zero value is
// ready for use. It keeps one row for each group and span, and 16 bytes for each write; lines
// are not kept. It must be used by one goroutine.
type Audit struct {
	// By, when set before the first Read, has requests counted by it, for Shares. Nothing is
	// kept for Report then.
	By Dimension

	rows    map[rowKey]*Row
	groups  map[string]*groupLog
	shares  map[string]*Share
	skipped int
}

// rowKey identifies a row by the number of its span and its group.
type rowKey struct {
	span  int64
	group string
}

// add takes in a line.
func (a *Audit) add(l *line) {
	switch {
	case a.By != "":
		a.addShare(l)
	case l.Message == ended:
		a.addRow(l)
		a.group(l.Group).addRequest(l)
	default:
		a.group(l.Group).addStep(l)
	}
}

func (a *Audit) addRow(l *line) {
	k := rowKey{l.At.UnixNano() / int64(Span), l.Group}
	r := a.rows[k]
	if r == nil {
		if a.rows == nil {
			a.rows = map[rowKey]*Row{}
		}
		r = &Row{From: time.Unix(0, k.span*int64(Span)).UTC(), Group: l.Group, Refused: map[string]int{}}
		a.rows[k] = r
	}
	r.count(l)
}

// Report returns what the lines tell.
func (a *Audit) Report() Report {
	out := Report{Rows: a.sortedRows(), Gaps: a.gaps(), Skipped: a.skipped}
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

func (a *Audit) sortedRows() []Row {
	order := slices.SortedFunc(maps.Keys(a.rows), func(x, y rowKey) int {
		return cmp.Or(cmp.Compare(x.span, y.span), cmp.Compare(x.group, y.group))
	})
	out := make([]Row, 0, len(order))
	for _, k := range order {
		out = append(out, *a.rows[k])
	}
	return out
}

// count takes in how one request ended.
func (r *Row) count(l *line) {
	r.Asked++
	switch {
	case l.Code == codeOK && l.Took <= l.Objective:
		r.Met++
	case l.Code == codeOK:
		r.Late++
	case l.Code == inDoubt:
		r.Doubt++
	default:
		r.Refused[l.refusal()]++
	}
	if l.Code == codeOK && !l.Writes {
		r.Reads++
		if !l.Led {
			r.Replicas++
		}
	}
}
