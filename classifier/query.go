package classifier

// query proves that a query is a Read, or takes it for a Write.
func (p *parser) query() {
	var q proof
	q.leading = true
	for !p.ended() {
		if !q.token(p) {
			p.st = Statement{Kind: Write}
			p.skip()
			return
		}
		p.advance()
	}
	if q.depth != 0 {
		p.broken = true
		return
	}
	p.st.Kind = Read
}

// proof is what is remembered of the tokens before the one looked at.
type proof struct {
	depth   int
	leading bool    // nothing but WITH and RECURSIVE so far
	prev    token   // the token before
	before  meaning // its meaning, if it is a word
	alias   bool    // the word before stands after AS, or names the first CTE
	as      bool    // the token before is AS
	by      bool    // the token before is GROUP, ORDER or PARTITION
	ready   bool    // the word before may stand before a parenthesis
	lock    bool    // the word before is FOR
	dotted  bool    // the word before is part of a qualified name
}

// token takes in the next token. It reports false when the query is not proven
// to read only.
func (q *proof) token(p *parser) bool {
	switch p.token {
	case tokenWord:
		return q.word(p)
	case tokenOpen:
		return q.open()
	case tokenClose:
		q.depth--
	}
	if q.depth < 0 {
		return false
	}
	q.remember(p.token)
	return true
}

// open takes in a parenthesis: after a name it is a call.
func (q *proof) open() bool {
	q.depth++
	ok := q.prev != tokenQuoted || q.alias
	if q.prev == tokenWord {
		ok = q.ready
	}
	q.remember(tokenOpen)
	return ok
}

// remember takes in a token that is no word.
func (q *proof) remember(t token) {
	alias := t == tokenQuoted && q.as
	dotted := t == tokenDot
	*q = proof{depth: q.depth, prev: t, alias: alias, dotted: dotted}
}

// word takes in a word.
func (q *proof) word(p *parser) bool {
	m := p.word.meaning()
	switch {
	case m == changes, m == locking && q.lock:
		return false
	case q.dotted:
		// A qualified name: a function of that name may be anyone's.
		m = plain
	}
	next := proof{
		depth:   q.depth,
		leading: q.leading && (p.at("with") || p.at("recursive")),
		prev:    tokenWord,
		before:  m,
		alias:   !q.dotted && (q.as || q.leading && m == plain),
		as:      !q.dotted && p.at("as"),
		by:      p.at("group") || p.at("order") || p.at("partition"),
		lock:    p.at("for"),
	}
	next.ready = next.alias || m == opener || m == function || q.prev == tokenCast ||
		m == afterWord && q.operand() || m == afterCall && q.prev == tokenClose ||
		q.by && p.at("by")
	*q = next
	return true
}

// operand reports whether the token before ends an operand, so that the word
// after it can't be the name of a function.
func (q *proof) operand() bool {
	switch q.prev {
	case tokenClose, tokenString, tokenNumber, tokenQuoted:
		return true
	case tokenWord:
		return q.before == plain || q.before == function
	default:
		return false
	}
}
