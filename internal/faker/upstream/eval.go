package upstream

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

func (c *call) cells(exprs []expr) ([]value, error) {
	list := make([]value, len(exprs))
	for i, e := range exprs {
		v, err := c.eval(e, nil, nil)
		if err != nil {
			return nil, err
		}
		list[i] = v
	}
	return list, nil
}

func (c *call) eval(e expr, r *row, columns []column) (value, error) {
	v, err := c.operand(e, r, columns)
	if err != nil || e.plus == nil {
		return v, err
	}
	more, err := c.operand(*e.plus, r, columns)
	if err != nil {
		return v, err
	}
	a, errA := strconv.ParseInt(v.text, 10, 64)
	b, errB := strconv.ParseInt(more.text, 10, 64)
	if errA != nil || errB != nil {
		return v, fail(codeBadParameter, "only integers can be added")
	}
	return intValue(a + b), nil
}

func (c *call) operand(e expr, r *row, columns []column) (value, error) {
	switch {
	case e.param > len(c.params):
		return value{}, fail("08P01", "parameter $"+strconv.Itoa(e.param)+" is missing")
	case e.param > 0:
		return c.params[e.param-1], nil
	case e.column != "":
		i := slices.IndexFunc(columns, func(h column) bool { return h.name == e.column })
		if i < 0 || r == nil {
			return value{}, fail(codeUndefined, "column \""+e.column+"\" does not exist")
		}
		return r.at(i), nil
	case e.call == "repeat" && len(e.args) == 2:
		return c.repeat(e, r, columns)
	case e.call == "set_config" && c.set != nil && len(e.args) == 3:
		return c.setConfig(e.args)
	case e.call == "version":
		return textValue("PostgreSQL 16.0 (basildale stand-in)"), nil
	case e.call == "pg_sleep":
		return textValue(""), nil
	case e.call != "":
		return value{}, fail("42883", "function "+e.call+" does not exist")
	default:
		return e.literal, nil
	}
}

func (c *call) setConfig(args []expr) (value, error) {
	cells, err := c.cells(args[:2])
	if err != nil {
		return value{}, err
	}
	c.set(setStmt{name: cells[0].text, value: cells[1].text, local: args[2].column == "true"})
	return cells[1], nil
}

const maxRepeat = 64 << 20

func (c *call) repeat(e expr, r *row, columns []column) (value, error) {
	unit, err := c.operand(e.args[0], r, columns)
	if err != nil {
		return unit, err
	}
	times, err := c.operand(e.args[1], r, columns)
	if err != nil {
		return times, err
	}
	n, err := strconv.Atoi(times.text)
	if err != nil || n < 0 || n*len(unit.text) > maxRepeat {
		return value{}, fail(codeBadParameter, "repeat: wrong number")
	}
	return textValue(strings.Repeat(unit.text, n)), nil
}

// pause is the sum of all pg_sleep calls in the list.
func (c *call) pause(st valuesStmt) (time.Duration, error) {
	var sum time.Duration
	for _, e := range st.exprs {
		if e.call != "pg_sleep" || len(e.args) != 1 {
			continue
		}
		v, err := c.operand(e.args[0], nil, nil)
		if err != nil {
			return 0, err
		}
		seconds, err := strconv.ParseFloat(v.text, 64)
		if err != nil {
			return 0, fail(codeBadParameter, "pg_sleep: not a number")
		}
		sum += time.Duration(seconds * float64(time.Second))
	}
	return sum, nil
}

func (c *call) values(st valuesStmt) (*result, error) {
	cells, err := c.cells(st.exprs)
	if err != nil {
		return nil, err
	}
	return &result{columns: valueColumns(st, c.params), rows: [][]value{cells}, tag: "SELECT 1"}, nil
}

func valueColumns(st valuesStmt, params []value) []column {
	list := make([]column, len(st.exprs))
	for i, e := range st.exprs {
		list[i] = column{name: "?column?", kind: max(e.literal.kind, kindText)}
		if e.call != "" {
			list[i].name = e.call
		}
		if e.param > 0 && e.param <= len(params) {
			list[i].kind = max(params[e.param-1].kind, kindText)
		}
		if e.plus != nil {
			list[i].kind = kindInt
		}
	}
	return list
}
