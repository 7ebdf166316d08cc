package upstream

import (
	"slices"

	"github.com/jackc/pgx/v5/pgtype"
)

// typing finds the types of a statement's parameters from the columns that they
// are stored in or compared with; any other is a text.
type typing struct {
	oids    []uint32
	columns []column
}

func (t *typing) see(e expr, name string) {
	if e.param > 0 {
		for len(t.oids) < e.param {
			t.oids = append(t.oids, pgtype.TextOID)
		}
		if i := slices.IndexFunc(t.columns, func(c column) bool { return c.name == name }); i >= 0 {
			t.oids[e.param-1] = t.columns[i].oid()
		}
	}
	if e.plus != nil {
		t.see(*e.plus, name)
	}
	for _, a := range e.args {
		t.see(a, "")
	}
}

func (t *typing) where(list []condition) {
	for _, c := range list {
		t.see(c.value, c.column)
	}
}

func (s *session) columnsOf(name string) []column {
	st := s.up.store
	st.mu.Lock()
	defer st.mu.Unlock()
	if s.tx != nil {
		return s.tx.columnsOf(st, name)
	}
	return newTx().columnsOf(st, name)
}

func (s *session) paramTypes(st statement) []uint32 {
	t := &typing{}
	switch st := st.(type) {
	case insertStmt:
		t.columns = s.columnsOf(st.table)
		names := st.columns
		if names == nil {
			for _, c := range t.columns {
				names = append(names, c.name)
			}
		}
		for _, r := range st.rows {
			for i, e := range r {
				if i < len(names) {
					t.see(e, names[i])
				}
			}
		}
	case selectStmt:
		t.columns = s.columnsOf(st.table)
		t.where(st.where)
	case updateStmt:
		t.columns = s.columnsOf(st.table)
		for _, a := range st.set {
			t.see(a.value, a.column)
		}
		t.where(st.where)
	case deleteStmt:
		t.columns = s.columnsOf(st.table)
		t.where(st.where)
	case valuesStmt:
		for _, e := range st.exprs {
			t.see(e, "")
		}
	case controlStmt:
		for _, e := range st.args {
			t.see(e, "")
		}
	}
	return t.oids
}

// resultColumns returns what a statement's rows look like; none if it has no
// rows.
func (s *session) resultColumns(p *prepared) ([]column, error) {
	switch st := p.stmt.(type) {
	case showStmt:
		return []column{{st.name, kindText}}, nil
	case controlStmt:
		if st.name == "settle" {
			return settleColumns(), nil
		}
		return stateColumns(), nil
	case valuesStmt:
		return valueColumns(st, nil), nil
	case selectStmt:
		if st.count {
			return []column{{"count", kindInt}}, nil
		}
		columns := s.columnsOf(st.table)
		if columns == nil {
			return nil, fail(codeNoTable, "relation \""+st.table+"\" does not exist")
		}
		picks, err := pick(columns, st.columns)
		if err != nil {
			return nil, err
		}
		list := make([]column, len(picks))
		for j, i := range picks {
			list[j] = columns[i]
		}
		return list, nil
	default:
		return nil, nil
	}
}
