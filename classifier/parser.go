package classifier

// parser walks through one statement.
type parser struct {
	lexer
	st     Statement
	token  token  // the token looked at
	word   folded // its letters in lower case, if it is a word
	broken bool   // a token was bad, or a semicolon stood in parentheses
}

// advance goes on to the next token.
func (p *parser) advance() {
	p.token = p.next()
	switch p.token {
	case tokenBad:
		p.broken = true
	case tokenWord:
		p.word.fold(p.raw())
	}
}

// ended reports whether the statement is over.
func (p *parser) ended() bool {
	return p.token == tokenEnd || p.token == tokenSemi || p.broken
}

// at reports whether the token is the keyword s.
func (p *parser) at(s string) bool { return p.token == tokenWord && p.word.is(s) }

// accept passes the keyword s if it is there.
func (p *parser) accept(s string) bool {
	if !p.at(s) {
		return false
	}
	p.advance()
	return true
}

// skip passes what is left of the statement.
func (p *parser) skip() {
	depth := 0
	for !p.broken && p.token != tokenEnd {
		switch p.token {
		case tokenOpen:
			depth++
		case tokenClose:
			depth--
		case tokenSemi:
			if depth == 0 {
				return
			}
			p.broken = true
		}
		p.advance()
	}
}

// finish takes the statement for a Write if anything is left of it: what stands
// there is more than the parser knows of.
func (p *parser) finish() {
	if p.ended() {
		return
	}
	p.st = Statement{Kind: Write}
	p.skip()
}

// statement reads one statement.
func (p *parser) statement() {
	if p.ended() {
		p.st.Kind = Empty
		return
	}
	if p.token == tokenOpen {
		p.query()
		return
	}
	if p.token != tokenWord {
		p.skip()
		return
	}
	switch string(p.word.buf[:p.word.n]) {
	case "select", "values", "table", "with":
		p.query()
	case "explain":
		p.explain()
	case "show":
		p.show()
	case "begin", "start":
		p.begin()
	case "commit", "end":
		p.end(Commit)
	case "rollback", "abort":
		p.end(Rollback)
	case "savepoint", "release":
		p.savepoint()
	default:
		p.command()
	}
}

// command reads a statement that is neither a query nor transaction control.
func (p *parser) command() {
	switch string(p.word.buf[:p.word.n]) {
	case "set":
		p.set()
	case "reset":
		p.named(Reset)
	case "discard":
		p.named(Discard)
	case "prepare":
		p.prepare()
	case "execute":
		p.execute()
	case "deallocate":
		p.deallocate()
	case "listen", "unlisten":
		p.named(Listen)
	case "notify":
		p.st.Kind = Notify
		p.advance()
		p.name()
		p.skip()
	case "copy":
		p.st.Kind = Copy
		p.skip()
	default:
		p.skip()
	}
}

// name takes the token as the name of the statement.
func (p *parser) name() {
	if p.token != tokenWord && p.token != tokenQuoted {
		return
	}
	p.st.Name = p.raw()
	p.advance()
}

// dotted takes a name that may have dots in it.
func (p *parser) dotted() {
	from, to := p.start, p.start
	for p.token == tokenWord || p.token == tokenQuoted {
		to = p.pos
		p.advance()
		if p.token != tokenDot {
			break
		}
		p.advance()
	}
	p.st.Name = p.text[from:to]
}

// words takes a name of one or more words, as TIME ZONE, with or without dots.
func (p *parser) words() {
	from, to := p.start, p.start
	for p.token == tokenWord || p.token == tokenQuoted || p.token == tokenDot {
		to = p.pos
		p.advance()
	}
	p.st.Name = p.text[from:to]
}

// inner reads the query in an EXPLAIN or PREPARE. Any other statement there is a
// Write; reading it like a statement would let a long chain of them grow the
// stack.
func (p *parser) inner() {
	p.st = Statement{}
	if p.token == tokenOpen || p.at("select") || p.at("values") || p.at("table") || p.at("with") {
		p.query()
		return
	}
	p.skip()
}

// named reads a verb with one name or ALL.
func (p *parser) named(k Kind) {
	p.st.Kind = k
	p.advance()
	if p.accept("all") {
		p.finish()
		return
	}
	p.words()
	if k == Listen && p.token == tokenOther {
		p.advance()
	}
	p.finish()
}

// show reads SHOW. What tells a primary from a replica is asked of the primary:
// a driver that looks for one writes next.
func (p *parser) show() {
	p.st.Kind = Read
	p.advance()
	if p.at("transaction_read_only") || p.at("in_hot_standby") {
		p.st.Kind = Write
	}
	p.words()
	p.finish()
}

// explain reads EXPLAIN: it does at most what the statement in it does.
func (p *parser) explain() {
	p.advance()
	if p.token == tokenOpen {
		for !p.ended() && p.token != tokenClose {
			p.advance()
		}
		p.advance()
	}
	for p.at("analyze") || p.at("analyse") || p.at("verbose") {
		p.advance()
	}
	if p.ended() {
		p.st.Kind = Write
		return
	}
	p.inner()
}

// prepare reads PREPARE name [(types)] AS statement, and takes PREPARE
// TRANSACTION for a write.
func (p *parser) prepare() {
	p.advance()
	if p.at("transaction") {
		p.skip()
		return
	}
	p.name()
	name := p.st.Name
	for !p.ended() && !p.at("as") {
		p.advance()
	}
	if !p.accept("as") || p.ended() {
		p.st = Statement{Kind: Write}
		return
	}
	p.inner()
	p.st = Statement{Kind: Prepare, Inner: p.st.Kind, Name: name}
}

// execute reads EXECUTE name [(values)]. Values that call an unknown function
// make it a write.
func (p *parser) execute() {
	p.advance()
	p.name()
	name := p.st.Name
	if p.ended() {
		p.st = Statement{Kind: Execute, Name: name}
		return
	}
	if p.token != tokenOpen {
		p.finish()
		return
	}
	p.query()
	if p.st.Kind == Read {
		p.st = Statement{Kind: Execute, Name: name}
	}
}

func (p *parser) deallocate() {
	p.st.Kind = Deallocate
	p.advance()
	p.accept("prepare")
	if !p.accept("all") {
		p.name()
	}
	p.finish()
}
