package upstream

import (
	"slices"

	"basildale.example/basildale/tracker"
)

type rowID struct {
	table string
	key   string
}

// pending is a row that a transaction has written or locked, with the committed
// row it saw then.
type pending struct {
	base     *row
	row      *row // nil: deleted
	inserted bool
	written  bool
}

// tx is an open transaction: its own writes, not yet in the tables.
type tx struct {
	rows    map[rowID]*pending
	order   []rowID
	columns map[string][]column // tables it made or widened
}

func newTx() *tx {
	return &tx{rows: make(map[rowID]*pending), columns: make(map[string][]column)}
}

func (t *tx) wrote() bool {
	if len(t.columns) > 0 {
		return true
	}
	for _, p := range t.rows {
		if p.written {
			return true
		}
	}
	return false
}

// touch returns the transaction's own version of a row, made at first use.
func (t *tx) touch(id rowID, base *row) *pending {
	p := t.rows[id]
	if p == nil {
		p = &pending{base: base, row: base}
		t.rows[id] = p
		t.order = append(t.order, id)
	}
	return p
}

// conflict looks whether another transaction has changed a row in between.
func (t *tx) conflict(s *store) error {
	for _, id := range t.order {
		p := t.rows[id]
		var now *row
		if tab := s.tables[id.table]; tab != nil {
			now = tab.rows[id.key]
		}
		switch {
		case now == p.base:
		case p.inserted && now != nil:
			return fail(codeUnique, "duplicate key value violates unique constraint of "+id.table)
		default:
			return fail(codeConflict, "could not serialize access due to concurrent update")
		}
	}
	return nil
}

func (t *tx) effects(s *store) []effect {
	var list []effect
	for name, columns := range t.columns {
		list = append(list, effect{table: name, columns: columns})
	}
	for _, id := range t.order {
		p := t.rows[id]
		if !p.written || (p.row == nil && p.base == nil) {
			continue
		}
		columns := t.columns[id.table]
		if tab := s.tables[id.table]; columns == nil && tab != nil {
			columns = tab.columns
		}
		list = append(list, effect{table: id.table, columns: columns, key: id.key, row: p.row, drop: p.row == nil})
	}
	return list
}

// commit makes the transaction's writes one entry of the log. The term and the
// request are looked at again here: the upstream may have been fenced, or the
// request settled, since the statement ran.
func (s *store) commit(t *tx, term *tracker.Term, request string) (tracker.Mark, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.writable(term); err != nil {
		return tracker.Mark{}, err
	}
	if _, settled := s.requests[request]; settled && request != "" {
		return tracker.Mark{}, fail(codeSettled, "request "+request+" is settled")
	}
	if err := t.conflict(s); err != nil {
		return tracker.Mark{}, err
	}
	return s.append(entry{request: request, effects: t.effects(s)}), nil
}

// columnsOf returns a table's columns as the transaction sees them.
func (t *tx) columnsOf(s *store, name string) []column {
	if c := t.columns[name]; c != nil {
		return c
	}
	if tab := s.tables[name]; tab != nil {
		return tab.columns
	}
	return nil
}

// widen adds the columns that the table doesn't have yet.
func (t *tx) widen(s *store, name string, more []column) []column {
	have := t.columnsOf(s, name)
	for _, c := range more {
		if slices.ContainsFunc(have, func(h column) bool { return h.name == c.name }) {
			continue
		}
		have = append(slices.Clip(have), c)
		t.columns[name] = have
	}
	return have
}

// get returns the row that the transaction sees.
func (t *tx) get(s *store, id rowID) *row {
	if p := t.rows[id]; p != nil {
		return p.row
	}
	if tab := s.tables[id.table]; tab != nil {
		return tab.rows[id.key]
	}
	return nil
}

// keys returns the keys of the rows to look at: one when the first column is
// given, else all in order.
func (t *tx) keys(s *store, name string, match []match) []string {
	for _, m := range match {
		if m.index == 0 {
			return []string{m.value.text}
		}
	}
	var list []string
	if tab := s.tables[name]; tab != nil {
		for k := range tab.rows {
			list = append(list, k)
		}
	}
	for _, id := range t.order {
		if id.table == name && t.rows[id].base == nil {
			list = append(list, id.key)
		}
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// match is a condition with its column and value found.
type match struct {
	index int
	value value
}

func matches(r *row, list []match) bool {
	for _, m := range list {
		if !r.at(m.index).equal(m.value) {
			return false
		}
	}
	return true
}
