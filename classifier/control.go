package classifier

// begin reads BEGIN or START TRANSACTION with its modes.
func (p *parser) begin() {
	start := p.at("start")
	p.advance()
	p.st.Kind = Begin
	switch {
	case p.accept("transaction"):
	case start:
		p.st.Kind = Write
		p.skip()
		return
	default:
		p.accept("work")
	}
	p.modes()
	p.finish()
}

// modes reads transaction modes.
func (p *parser) modes() {
	for {
		switch {
		case p.accept("isolation"):
			p.accept("level")
			p.isolation()
		case p.accept("read"):
			p.access()
		case p.accept("not"), p.accept("deferrable"):
		case p.token == tokenComma:
			p.advance()
		default:
			return
		}
	}
}

func (p *parser) access() {
	switch {
	case p.accept("only"):
		p.st.ReadOnly, p.st.ReadWrite = true, false
	case p.accept("write"):
		p.st.ReadOnly, p.st.ReadWrite = false, true
	}
}

func (p *parser) isolation() {
	switch {
	case p.accept("serializable"):
		p.st.Isolation = Serializable
	case p.accept("repeatable"):
		p.accept("read")
		p.st.Isolation = RepeatableRead
	case p.accept("read"):
		if p.accept("uncommitted") {
			p.st.Isolation = ReadUncommitted
			return
		}
		p.accept("committed")
		p.st.Isolation = ReadCommitted
	}
}

// end reads COMMIT, ROLLBACK and their other spellings. COMMIT PREPARED and
// ROLLBACK PREPARED are writes.
func (p *parser) end(k Kind) {
	p.st.Kind = k
	p.advance()
	if !p.accept("work") {
		p.accept("transaction")
	}
	if p.accept("to") {
		p.accept("savepoint")
		p.st.Kind = Savepoint
		p.name()
		p.finish()
		return
	}
	if p.accept("and") {
		p.st.Chain = !p.accept("no")
		p.accept("chain")
	}
	p.finish()
}

func (p *parser) savepoint() {
	release := p.at("release")
	p.st.Kind = Savepoint
	p.advance()
	if release {
		p.accept("savepoint")
	}
	p.name()
	p.finish()
}

// set reads SET [SESSION | LOCAL] name {TO | =} value and its special forms.
func (p *parser) set() {
	p.st.Kind = Set
	p.advance()
	switch {
	case p.accept("local"):
		p.st.Local = true
	case p.accept("session"):
		if p.at("characteristics") {
			p.characteristics()
			return
		}
	}
	if p.at("transaction") {
		p.transaction()
		return
	}
	p.setting()
}

func (p *parser) characteristics() {
	p.st.Name = p.raw()
	p.advance()
	p.accept("as")
	p.accept("transaction")
	p.modes()
	p.finish()
}

func (p *parser) transaction() {
	p.st.Name = p.raw()
	p.st.Local = true
	p.advance()
	p.modes()
	p.finish()
}

// setting reads a name and what it is set to. SET TIME ZONE x, SET ROLE x, SET
// NAMES x, SET SCHEMA x, SET SESSION AUTHORIZATION x and SET CONSTRAINTS x have
// neither TO nor an equals sign.
func (p *parser) setting() {
	from := p.start
	p.dotted()
	zone := p.pos
	if p.accept("zone") {
		p.st.Name = p.text[from:zone]
	}
	equals := p.token == tokenOther && len(p.raw()) == 1 && p.raw()[0] == '='
	if equals || p.at("to") {
		p.advance()
	}
	p.value()
}

// value takes the rest of the statement as the value.
func (p *parser) value() {
	from, to := p.start, p.start
	for !p.ended() {
		if p.token == tokenOpen {
			p.finish()
			p.st.Unclear = true
			return
		}
		to = p.pos
		p.advance()
	}
	p.st.Value = p.text[from:to]
}
