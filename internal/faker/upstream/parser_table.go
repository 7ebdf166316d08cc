package upstream

import "slices"

func (p *parser) create() (statement, error) {
	if err := p.expect("table"); err != nil {
		return nil, err
	}
	p.word("if", "not", "exists")
	name, err := p.name()
	if err != nil {
		return nil, err
	}
	if err := p.expect("("); err != nil {
		return nil, err
	}
	st := createStmt{table: name}
	for depth := 1; depth > 0; {
		c := column{name: p.take().text, kind: kindText}
		c.kind = columnKind(p.peek().text)
		st.columns = append(st.columns, c)
		depth = p.skipColumn()
	}
	return st, nil
}

// skipColumn goes past one column's definition; 0 when it was the last.
func (p *parser) skipColumn() int {
	for depth := 1; ; {
		t := p.take()
		switch {
		case t.kind == tokenEnd:
			return 0
		case t.kind != tokenPunct:
			continue
		case t.text == "(":
			depth++
		case t.text == ")":
			depth--
			if depth == 0 {
				return 0
			}
		case t.text == "," && depth == 1:
			return depth
		}
	}
}

func columnKind(typeName string) kind {
	ints := []string{"int", "integer", "bigint", "smallint", "int2", "int4", "int8", "serial", "bigserial"}
	if slices.Contains(ints, typeName) {
		return kindInt
	}
	return kindText
}

func (p *parser) insert() (statement, error) {
	if err := p.expect("into"); err != nil {
		return nil, err
	}
	name, err := p.name()
	if err != nil {
		return nil, err
	}
	st := insertStmt{table: name}
	if p.punct("(") {
		if st.columns, err = p.names(); err != nil {
			return nil, err
		}
	}
	if err := p.expect("values"); err != nil {
		return nil, err
	}
	for {
		if err := p.expect("("); err != nil {
			return nil, err
		}
		list, err := p.exprs()
		if err != nil {
			return nil, err
		}
		st.rows = append(st.rows, list)
		if !p.punct(",") {
			break
		}
	}
	if p.word("on", "conflict") {
		st.doNothing = true
		for !p.word("do", "nothing") {
			if p.take().kind == tokenEnd {
				return nil, p.syntax()
			}
		}
	}
	return st, nil
}
