package upstream

import (
	"fmt"
	"slices"
	"strconv"

	"basildale.example/basildale/tracker"
)

// result is what a statement answers.
type result struct {
	columns []column
	rows    [][]value
	tag     string
}

// call is one statement on its way through the tables.
type call struct {
	store  *store
	tx     *tx
	params []value
	term   *tracker.Term
	set    func(st setStmt) // carries out set_config
}

// data runs a statement on tables inside the transaction.
func (c *call) data(st statement) (*result, error) {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	if isWrite(st) {
		if err := c.store.writable(c.term); err != nil {
			return nil, err
		}
	}
	switch st := st.(type) {
	case createStmt:
		c.tx.widen(c.store, st.table, st.columns)
		return &result{tag: "CREATE TABLE"}, nil
	case insertStmt:
		return c.insert(st)
	case selectStmt:
		return c.selects(st)
	case updateStmt:
		return c.update(st)
	case deleteStmt:
		return c.remove(st)
	default:
		return nil, fail(codeUnsupported, fmt.Sprintf("%T", st))
	}
}

func (c *call) insert(st insertStmt) (*result, error) {
	count := 0
	for _, exprs := range st.rows {
		cells, err := c.cells(exprs)
		if err != nil {
			return nil, err
		}
		r, err := c.arrange(st, cells)
		if err != nil {
			return nil, err
		}
		id := rowID{st.table, r.at(0).text}
		if c.tx.get(c.store, id) != nil {
			if st.doNothing {
				continue
			}
			return nil, fail(codeUnique, "duplicate key value violates unique constraint of "+st.table)
		}
		p := c.tx.touch(id, nil)
		p.row, p.written, p.inserted = r, true, p.base == nil
		count++
	}
	return &result{tag: "INSERT 0 " + strconv.Itoa(count)}, nil
}

// arrange puts the cells in the order of the table's columns and makes the table
// and columns that aren't there.
func (c *call) arrange(st insertStmt, cells []value) (*row, error) {
	names := st.columns
	if names == nil {
		for _, have := range c.tx.columnsOf(c.store, st.table) {
			names = append(names, have.name)
		}
	}
	if len(names) < len(cells) || len(cells) == 0 {
		return nil, fail(codeSyntax, "INSERT has more values than columns")
	}
	want := make([]column, len(cells))
	for i, v := range cells {
		want[i] = column{name: names[i], kind: max(v.kind, kindText)}
	}
	columns := c.tx.widen(c.store, st.table, want)
	r := &row{cells: make([]value, len(columns))}
	for i, v := range cells {
		at := slices.IndexFunc(columns, func(h column) bool { return h.name == names[i] })
		if v.kind != kindNull {
			v.kind = columns[at].kind
		}
		r.cells[at] = v
	}
	if r.at(0).kind == kindNull {
		return nil, fail("23502", "the first column must not be null")
	}
	return r, nil
}

func (c *call) selects(st selectStmt) (*result, error) {
	found, columns, err := c.find(st.table, st.where)
	if err != nil {
		return nil, err
	}
	if st.lock {
		for _, id := range found {
			c.tx.touch(id, c.tx.get(c.store, id))
		}
	}
	res := &result{}
	if st.count {
		res.columns = []column{{name: "count", kind: kindInt}}
		res.rows = [][]value{{intValue(int64(len(found)))}}
		res.tag = "SELECT 1"
		return res, nil
	}
	picks, err := pick(columns, st.columns)
	if err != nil {
		return nil, err
	}
	for _, i := range picks {
		res.columns = append(res.columns, columns[i])
	}
	if st.limit > 0 && len(found) > st.limit {
		found = found[:st.limit]
	}
	for _, id := range found {
		r := c.tx.get(c.store, id)
		line := make([]value, len(picks))
		for j, i := range picks {
			line[j] = r.at(i)
		}
		res.rows = append(res.rows, line)
	}
	res.tag = "SELECT " + strconv.Itoa(len(res.rows))
	return res, nil
}

// pick returns the indexes of the named columns, or of all.
func pick(columns []column, names []string) ([]int, error) {
	var list []int
	if names == nil {
		for i := range columns {
			list = append(list, i)
		}
		return list, nil
	}
	for _, n := range names {
		i := slices.IndexFunc(columns, func(c column) bool { return c.name == n })
		if i < 0 {
			return nil, fail(codeUndefined, "column \""+n+"\" does not exist")
		}
		list = append(list, i)
	}
	return list, nil
}

// find returns the rows of a table that meet the conditions.
func (c *call) find(name string, where []condition) ([]rowID, []column, error) {
	columns := c.tx.columnsOf(c.store, name)
	if columns == nil {
		return nil, nil, fail(codeNoTable, "relation \""+name+"\" does not exist")
	}
	var list []match
	for _, w := range where {
		i := slices.IndexFunc(columns, func(h column) bool { return h.name == w.column })
		if i < 0 {
			return nil, nil, fail(codeUndefined, "column \""+w.column+"\" does not exist")
		}
		v, err := c.eval(w.value, nil, nil)
		if err != nil {
			return nil, nil, err
		}
		list = append(list, match{i, v})
	}
	var found []rowID
	for _, k := range c.tx.keys(c.store, name, list) {
		id := rowID{name, k}
		if r := c.tx.get(c.store, id); r != nil && matches(r, list) {
			found = append(found, id)
		}
	}
	return found, columns, nil
}

func (c *call) update(st updateStmt) (*result, error) {
	found, columns, err := c.find(st.table, st.where)
	if err != nil {
		return nil, err
	}
	for _, id := range found {
		old := c.tx.get(c.store, id)
		r := &row{cells: make([]value, len(columns))}
		copy(r.cells, old.cells)
		for _, a := range st.set {
			i := slices.IndexFunc(columns, func(h column) bool { return h.name == a.column })
			if i < 1 {
				return nil, fail(codeUndefined, "column \""+a.column+"\" does not exist or is the key")
			}
			v, err := c.eval(a.value, old, columns)
			if err != nil {
				return nil, err
			}
			if v.kind != kindNull {
				v.kind = columns[i].kind
			}
			r.cells[i] = v
		}
		p := c.tx.touch(id, old)
		p.row, p.written = r, true
	}
	return &result{tag: "UPDATE " + strconv.Itoa(len(found))}, nil
}

func (c *call) remove(st deleteStmt) (*result, error) {
	found, _, err := c.find(st.table, st.where)
	if err != nil {
		return nil, err
	}
	for _, id := range found {
		p := c.tx.touch(id, c.tx.get(c.store, id))
		p.row, p.written = nil, true
	}
	return &result{tag: "DELETE " + strconv.Itoa(len(found))}, nil
}
