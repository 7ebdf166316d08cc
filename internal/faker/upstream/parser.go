package upstream

import (
	"slices"
	"strconv"
	"strings"
)

type parser struct {
	tokens []token
	at     int
}

// parse reads all statements of a simple query.
func parse(src string) ([]statement, error) {
	tokens, err := lex(src)
	if err != nil {
		return nil, err
	}
	p := &parser{tokens: tokens}
	var list []statement
	for {
		for p.punct(";") {
			continue
		}
		if p.peek().kind == tokenEnd {
			return list, nil
		}
		st, err := p.statement()
		if err != nil {
			return nil, err
		}
		if p.peek().kind != tokenEnd && !p.punct(";") {
			return nil, p.syntax()
		}
		list = append(list, st)
	}
}

func (p *parser) peek() token {
	if p.at >= len(p.tokens) {
		return token{}
	}
	return p.tokens[p.at]
}

func (p *parser) take() token {
	t := p.peek()
	p.at++
	return t
}

func (p *parser) syntax() error {
	return fail(codeSyntax, "syntax error at or near \""+p.peek().text+"\"")
}

func (p *parser) punct(s string) bool {
	if t := p.peek(); t.kind == tokenPunct && t.text == s {
		p.at++
		return true
	}
	return false
}

// word takes the words when all of them come next.
func (p *parser) word(words ...string) bool {
	for i, w := range words {
		if p.at+i >= len(p.tokens) || p.tokens[p.at+i].kind != tokenWord || p.tokens[p.at+i].text != w {
			return false
		}
	}
	p.at += len(words)
	return true
}

func (p *parser) name() (string, error) {
	if p.peek().kind != tokenWord {
		return "", p.syntax()
	}
	return p.take().text, nil
}

func (p *parser) expect(s string) error {
	if p.punct(s) || p.word(s) {
		return nil
	}
	return p.syntax()
}

// rest skips to the end of the statement.
func (p *parser) rest() {
	for t := p.peek(); t.kind != tokenEnd && (t.kind != tokenPunct || t.text != ";"); t = p.peek() {
		p.at++
	}
}

func (p *parser) statement() (statement, error) {
	t := p.take()
	switch t.text {
	case "begin", "start":
		p.rest()
		return beginStmt{}, nil
	case "commit", "end":
		p.rest()
		return commitStmt{}, nil
	case "rollback", "abort":
		if p.word("to") {
			return nil, fail(codeUnsupported, "savepoints are not supported")
		}
		p.rest()
		return rollbackStmt{}, nil
	case "set":
		return p.set()
	case "show":
		name, err := p.name()
		return showStmt{name: name}, err
	case "reset", "discard", "deallocate", "unlisten", "close":
		tag := t.text
		if p.word("all") {
			tag += " all"
		}
		p.rest()
		return plainStmt{tag: strings.ToUpper(tag)}, nil
	case "create":
		return p.create()
	case "insert":
		return p.insert()
	case "select":
		return p.selects()
	case "update":
		return p.update()
	case "delete":
		return p.delete()
	case "copy", "savepoint", "release", "prepare", "execute", "declare", "listen", "lock":
		return nil, fail(codeUnsupported, strings.ToUpper(t.text)+" is not supported")
	}
	p.at--
	return nil, p.syntax()
}

func (p *parser) set() (statement, error) {
	if !p.word("session") {
		p.word("local")
	}
	name, err := p.name()
	if err != nil {
		return nil, err
	}
	if name == "transaction" || name == "characteristics" {
		p.rest()
		return plainStmt{tag: "SET"}, nil
	}
	if !p.punct("=") && !p.word("to") {
		return nil, p.syntax()
	}
	st := setStmt{name: name, value: p.take().text}
	p.rest()
	return st, nil
}

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

// names reads a list of names up to its closing parenthesis.
func (p *parser) names() ([]string, error) {
	var list []string
	for {
		n, err := p.name()
		if err != nil {
			return nil, err
		}
		list = append(list, n)
		if p.punct(",") {
			continue
		}
		return list, p.expect(")")
	}
}

// exprs reads a list of expressions up to its closing parenthesis.
func (p *parser) exprs() ([]expr, error) {
	var list []expr
	if p.punct(")") {
		return list, nil
	}
	for {
		e, err := p.expr()
		if err != nil {
			return nil, err
		}
		list = append(list, e)
		if p.punct(",") {
			continue
		}
		return list, p.expect(")")
	}
}

func (p *parser) expr() (expr, error) {
	e, err := p.operand()
	if err != nil {
		return e, err
	}
	if p.punct("+") {
		more, err := p.operand()
		if err != nil {
			return e, err
		}
		e.plus = &more
	} else if t := p.peek(); t.kind == tokenNumber && strings.HasPrefix(t.text, "-") && e.column != "" {
		more, err := p.operand()
		if err != nil {
			return e, err
		}
		e.plus = &more
	}
	return e, nil
}

func (p *parser) operand() (expr, error) {
	t := p.take()
	switch t.kind {
	case tokenString:
		return expr{literal: textValue(t.text)}, nil
	case tokenNumber:
		if strings.Contains(t.text, ".") {
			return expr{literal: textValue(t.text)}, nil
		}
		return expr{literal: value{kind: kindInt, text: t.text}}, nil
	case tokenParam:
		n, err := strconv.Atoi(t.text)
		if err != nil || n < 1 {
			return expr{}, p.syntax()
		}
		return expr{param: n}, nil
	case tokenWord:
		if t.text == "null" {
			return expr{}, nil
		}
		if !p.punct("(") {
			return expr{column: t.text}, nil
		}
		args, err := p.exprs()
		return expr{call: t.text, args: args}, err
	}
	p.at--
	return expr{}, p.syntax()
}
