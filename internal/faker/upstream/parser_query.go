package upstream

import (
	"strconv"
	"strings"
)

const controlPrefix = "basildale_"

func (p *parser) selects() (statement, error) {
	st := selectStmt{}
	start := p.at
	switch {
	case p.punct("*"):
	case p.word("count") && p.punct("(") && p.punct("*") && p.punct(")"):
		st.count = true
	default:
		p.at = start
		if !p.hasFrom() {
			return p.values()
		}
		for {
			n, err := p.name()
			if err != nil {
				return nil, err
			}
			st.columns = append(st.columns, n)
			if !p.punct(",") {
				break
			}
		}
	}
	if err := p.expect("from"); err != nil {
		return nil, err
	}
	name, err := p.name()
	if err != nil {
		return nil, err
	}
	if strings.HasPrefix(name, controlPrefix) {
		if err := p.expect("("); err != nil {
			return nil, err
		}
		args, err := p.exprs()
		return controlStmt{name: strings.TrimPrefix(name, controlPrefix), args: args}, err
	}
	st.table = name
	return p.tail(st)
}

// tail reads what may follow the table of a SELECT.
func (p *parser) tail(st selectStmt) (statement, error) {
	var err error
	if st.where, err = p.where(); err != nil {
		return nil, err
	}
	if p.word("limit") {
		if st.limit, err = strconv.Atoi(p.take().text); err != nil {
			return nil, p.syntax()
		}
	}
	st.lock = p.word("for", "update")
	return st, nil
}

func (p *parser) hasFrom() bool {
	for i := p.at; i < len(p.tokens); i++ {
		t := p.tokens[i]
		if t.kind == tokenPunct && t.text == ";" {
			return false
		}
		if t.kind == tokenWord && t.text == "from" {
			return true
		}
	}
	return false
}

func (p *parser) values() (statement, error) {
	st := valuesStmt{}
	for {
		e, err := p.expr()
		if err != nil {
			return nil, err
		}
		st.exprs = append(st.exprs, e)
		if !p.punct(",") {
			return st, nil
		}
	}
}

func (p *parser) where() ([]condition, error) {
	if !p.word("where") {
		return nil, nil
	}
	var list []condition
	for {
		n, err := p.name()
		if err != nil {
			return nil, err
		}
		if err := p.expect("="); err != nil {
			return nil, err
		}
		e, err := p.operand()
		if err != nil {
			return nil, err
		}
		list = append(list, condition{column: n, value: e})
		if !p.word("and") {
			return list, nil
		}
	}
}

func (p *parser) update() (statement, error) {
	name, err := p.name()
	if err != nil {
		return nil, err
	}
	if err := p.expect("set"); err != nil {
		return nil, err
	}
	st := updateStmt{table: name}
	for {
		n, err := p.name()
		if err != nil {
			return nil, err
		}
		if err := p.expect("="); err != nil {
			return nil, err
		}
		e, err := p.expr()
		if err != nil {
			return nil, err
		}
		st.set = append(st.set, assignment{column: n, value: e})
		if !p.punct(",") {
			break
		}
	}
	st.where, err = p.where()
	return st, err
}

func (p *parser) delete() (statement, error) {
	if err := p.expect("from"); err != nil {
		return nil, err
	}
	name, err := p.name()
	if err != nil {
		return nil, err
	}
	st := deleteStmt{table: name}
	st.where, err = p.where()
	return st, err
}
