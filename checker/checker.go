package checker

import (
	"fmt"
	"slices"
	"sync"
)

// Outcome is what a booking's caller knows about it.
type Outcome uint8

// The outcomes. A booking that has begun and not ended is Unknown. Repeated is
// the answer that a fresh ID exists already, which only an earlier run of the
// same booking can cause.
const (
	Unknown Outcome = iota
	Done
	NotRun
	Repeated
)

// Booking is one row that a caller wants to be there exactly once.
type Booking struct {
	// ID is unique among all bookings of the ledger.
	ID string
	// Group is the database group it goes to.
	Group string
	// Seat, when set, may be held by one acknowledged booking of the group.
	Seat string
	// Session is the caller's session.
	Session string
	// Tx, when set, names the transaction that holds this and other bookings:
	// all of them are there in the end, or none.
	Tx string
}

// Row is a booking as a group holds it in the end.
type Row struct {
	Group   string
	ID      string
	Seat    string
	Session string
}

// Expectation is what a read must show. Make it with Expect before the read.
type Expectation struct {
	session string
	id      string
	must    bool
}

// Kind is a kind of broken promise.
type Kind uint8

// The kinds, in the order in which Counts prints them.
const (
	Lost Kind = iota
	Doubled
	Stale
	Cut
	Mixed
)

// String returns the kind in lower case.
func (k Kind) String() string {
	switch k {
	case Lost:
		return "lost"
	case Doubled:
		return "doubled"
	case Stale:
		return "stale"
	case Cut:
		return "cut"
	case Mixed:
		return "mixed"
	default:
		return "?"
	}
}

// MarshalText returns the kind in lower case.
func (k Kind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// Finding is one broken promise.
type Finding struct {
	Kind Kind   `json:"kind"`
	Text string `json:"text"`
}

// Counts are the numbers of broken promises.
type Counts struct {
	Lost    int `json:"lost"`
	Doubled int `json:"doubled"`
	Stale   int `json:"stale"`
	Cut     int `json:"cut"`
	Mixed   int `json:"mixed"`
}

// Zero reports whether no promise was broken.
func (c Counts) Zero() bool { return c == Counts{} }

// String returns "lost 0 doubled 0 stale 0 cut 0 mixed 0" with the numbers.
func (c Counts) String() string {
	return fmt.Sprintf("lost %d doubled %d stale %d cut %d mixed %d", c.Lost, c.Doubled, c.Stale, c.Cut, c.Mixed)
}

// Report is the result of an audit.
type Report struct {
	Counts Counts `json:"counts"`
	// Acknowledged, Refused and Unknown are bookings by what their callers know.
	// Present is how many of the unknown ones are there; none of these is wrong.
	Acknowledged int `json:"acknowledged"`
	Refused      int `json:"refused"`
	Unknown      int `json:"unknown"`
	Present      int `json:"present"`
	// Findings holds the first broken promises, at most MaxFindings.
	Findings []Finding `json:"findings,omitempty"`
}

// MaxFindings bounds the findings that are kept as text. All are counted.
const MaxFindings = 100

type entry struct {
	Booking
	outcome Outcome
}

// Ledger is the record of acknowledged work. The zero Ledger is empty and ready.
// Its methods may be called from any goroutine.
type Ledger struct {
	mu       sync.Mutex
	bookings map[string]*entry
	order    []*entry
	excused  map[string]bool
	cuts     map[string]int // by proxy
	counts   Counts
	findings []Finding
}

// Begin records a booking before it is sent. An ID is used once.
func (l *Ledger) Begin(b Booking) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.bookings == nil {
		l.bookings = make(map[string]*entry)
	}
	if l.bookings[b.ID] != nil {
		panic("checker: booking " + b.ID + " begun twice")
	}
	e := &entry{Booking: b}
	l.bookings[b.ID] = e
	l.order = append(l.order, e)
}

// End records what the caller was told about its booking.
func (l *Ledger) End(id string, o Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.bookings[id]
	if e == nil {
		panic("checker: booking " + id + " never begun")
	}
	e.outcome = o
	if o == Repeated {
		l.find(Doubled, "booking %s ran before its only request was answered", id)
	}
}

// Expect says what a read by the session that begins now must show: its own
// booking, if that has been acknowledged.
func (l *Ledger) Expect(session, id string) Expectation {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.bookings[id]
	must := e != nil && e.Session == session && e.outcome == Done
	return Expectation{session: session, id: id, must: must}
}

// Seen records whether the read found the booking.
func (l *Ledger) Seen(e Expectation, found bool) {
	if found || !e.must {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.find(Stale, "session %s did not see its own booking %s", e.session, e.id)
}

// Answered records what an answer was about: a row with the ID that was asked
// for and the session that has booked it. Anything else is somebody else's.
func (l *Ledger) Answered(asked string, r Row) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.bookings[asked]
	if r.ID == asked && (e == nil || e.Session == r.Session && e.Seat == r.Seat) {
		return
	}
	l.find(Mixed, "asked for booking %s, got %s of session %s seat %s", asked, r.ID, r.Session, r.Seat)
}

// Garbled records an answer that doesn't have the form of its request's.
func (l *Ledger) Garbled(text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.find(Mixed, "%s", text)
}

// Cut records a request that ended without an answer: its connection to the
// proxy did.
func (l *Ledger) Cut(proxy string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cuts == nil {
		l.cuts = make(map[string]int)
	}
	l.cuts[proxy]++
}

// Excuse has the cuts at a proxy not counted: it was killed, not stopped.
func (l *Ledger) Excuse(proxy string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.excused == nil {
		l.excused = make(map[string]bool)
	}
	l.excused[proxy] = true
}

func (l *Ledger) find(k Kind, format string, args ...any) {
	switch k {
	case Lost:
		l.counts.Lost++
	case Doubled:
		l.counts.Doubled++
	case Stale:
		l.counts.Stale++
	case Cut:
		l.counts.Cut++
	case Mixed:
		l.counts.Mixed++
	}
	if len(l.findings) < MaxFindings {
		l.findings = append(l.findings, Finding{Kind: k, Text: fmt.Sprintf(format, args...)})
	}
}

// Audit compares the ledger with the rows that the groups hold in the end, when
// no request is in flight any more. Rows that the ledger doesn't know are
// somebody else's and ignored. The ledger itself is not changed, so more work
// and another audit may follow.
func (l *Ledger) Audit(rows []Row) Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := audit{
		ledger: &Ledger{
			bookings: l.bookings,
			order:    l.order,
			counts:   l.counts,
			findings: slices.Clone(l.findings),
		},
		rows: make(map[string][]Row, len(rows)),
	}
	for _, r := range rows {
		a.rows[r.ID] = append(a.rows[r.ID], r)
	}
	a.run()
	for _, proxy := range sortedKeys(l.cuts) {
		for range l.cuts[proxy] {
			if !l.excused[proxy] {
				a.ledger.find(Cut, "a request at %s ended without an answer", proxy)
			}
		}
	}
	a.report.Counts, a.report.Findings = a.ledger.counts, a.ledger.findings
	return a.report
}

func sortedKeys(m map[string]int) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
