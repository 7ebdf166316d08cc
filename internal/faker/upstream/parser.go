package upstream

import (
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
			return p.savepoint("ROLLBACK")
		}
		p.rest()
		return rollbackStmt{}, nil
	case "set":
		return p.set()
	case "show":
		name, err := p.name()
		return showStmt{name: name}, err
	case "reset":
		return p.reset()
	case "savepoint", "release":
		return p.savepoint(strings.ToUpper(t.text))
	case "discard", "deallocate", "unlisten", "close":
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
	case "copy", "prepare", "execute", "declare", "listen", "lock":
		return nil, fail(codeUnsupported, strings.ToUpper(t.text)+" is not supported")
	}
	p.at--
	return nil, p.syntax()
}

func (p *parser) set() (statement, error) {
	local := !p.word("session") && p.word("local")
	for _, special := range specialSettings() {
		if p.word(special.words...) {
			if !p.punct("=") {
				p.word("to")
			}
			return p.value(setStmt{name: special.name, local: local})
		}
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
	return p.value(setStmt{name: name, local: local})
}

func (p *parser) value(st setStmt) (statement, error) {
	st.value = p.take().text
	p.rest()
	return st, nil
}

func (p *parser) reset() (statement, error) {
	if p.word("all") {
		return resetStmt{}, nil
	}
	p.word("session")
	for _, special := range specialSettings() {
		if p.word(special.words...) {
			return resetStmt{special.name}, nil
		}
	}
	name, err := p.name()
	return resetStmt{name}, err
}

func (p *parser) savepoint(tag string) (statement, error) {
	p.word("savepoint")
	name, err := p.name()
	return savepointStmt{tag, name}, err
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
