package upstream

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"basildale.example/basildale/tracker"
)

// effect sets (or with a nil row deletes) one row. It names the columns, so that
// a log can be replayed from nothing.
type effect struct {
	table   string
	columns []column
	key     string
	row     *row // nil with an empty key: only the table is made
	drop    bool
}

// entry is one committed transaction, or the refusal of a request for good.
type entry struct {
	mark    tracker.Mark
	request string
	refused bool
	effects []effect
	at      time.Time
}

// settlement is what became of a request that has an ID.
type settlement struct {
	mark    tracker.Mark
	refused bool
}

// store is the durable part of an upstream: tables, log, term and role.
type store struct {
	mu       sync.Mutex
	tables   map[string]*table
	log      []entry
	requests map[string]settlement
	role     tracker.Role
	term     tracker.Term
	primary  netip.AddrPort
	changed  chan struct{} // closed and replaced at each change
}

func newStore() *store {
	return &store{
		tables:   make(map[string]*table),
		requests: make(map[string]settlement),
		changed:  make(chan struct{}),
	}
}

func (s *store) mark() tracker.Mark {
	if len(s.log) == 0 {
		return tracker.Mark{}
	}
	return s.log[len(s.log)-1].mark
}

func (s *store) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// status is a consistent copy of what the functions answer, with the channel
// that is closed at the next change.
type status struct {
	state   tracker.State
	primary netip.AddrPort
	changed <-chan struct{}
}

func (s *store) statusLocked() status {
	return status{
		state:   tracker.State{Role: s.role, Term: s.term, Mark: s.mark()},
		primary: s.primary,
		changed: s.changed,
	}
}

func (s *store) status() status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.statusLocked()
}

// append puts a transaction of this primary at the end of the log.
func (s *store) append(e entry) tracker.Mark {
	e.mark = tracker.Mark{Term: s.term, Pos: s.mark().Pos + 1}
	e.at = time.Now()
	s.apply(e)
	s.signal()
	return e.mark
}

// extend applies entries of another log.
func (s *store) extend(log []entry) {
	for _, e := range log {
		s.apply(e)
	}
}

func (s *store) apply(e entry) {
	s.log = append(s.log, e)
	s.effect(e)
}

func (s *store) effect(e entry) {
	if e.request != "" {
		s.requests[e.request] = settlement{mark: e.mark, refused: e.refused}
	}
	for _, f := range e.effects {
		t := s.tables[f.table]
		if t == nil {
			t = &table{rows: make(map[string]*row)}
			s.tables[f.table] = t
		}
		if len(f.columns) > len(t.columns) {
			t.columns = f.columns
		}
		switch {
		case f.drop:
			delete(t.rows, f.key)
		case f.row != nil:
			t.rows[f.key] = f.row
		}
	}
}

// truncate drops the log after its first n entries and rebuilds the tables.
func (s *store) truncate(n int) {
	s.log = slices.Clip(s.log[:n])
	s.tables = make(map[string]*table)
	s.requests = make(map[string]settlement)
	for _, e := range s.log {
		s.effect(e)
	}
}

// common counts the leading entries that both logs hold. Two entries with the
// same mark are the same entry, and so are all before them, because a term has
// one primary.
func common(a, b []entry) int {
	n := min(len(a), len(b))
	for n > 0 && a[n-1].mark != b[n-1].mark {
		n--
	}
	return n
}

// writable returns why a write with the given term can't run here.
func (s *store) writable(term *tracker.Term) error {
	switch {
	case s.role == tracker.Replica:
		return fail(codeReadOnly, "cannot execute a write in a read-only transaction")
	case s.role != tracker.Primary:
		return fail(codeWrongTerm, "fenced at term "+s.term.String())
	case term != nil && *term != s.term:
		return fail(codeWrongTerm, "term "+term.String()+" is not this primary's "+s.term.String())
	default:
		return nil
	}
}
