package classifier

// Kind says what a statement does.
type Kind uint8

// The kinds of statements. The zero Kind is Write: what nothing is known of goes
// to the primary.
const (
	Write      Kind = iota // changes something, or is not proven to be a read
	Read                   // provably changes nothing
	Begin                  // BEGIN, START TRANSACTION
	Commit                 // COMMIT, END
	Rollback               // ROLLBACK, ABORT
	Savepoint              // SAVEPOINT, RELEASE, ROLLBACK TO
	Set                    // SET of a setting, a role or transaction modes
	Reset                  // RESET
	Discard                // DISCARD
	Prepare                // PREPARE name AS ...; see Statement.Inner
	Execute                // EXECUTE name
	Deallocate             // DEALLOCATE
	Listen                 // LISTEN, UNLISTEN
	Notify                 // NOTIFY
	Copy                   // COPY
	Multi                  // several statements, none a Write and not all reads
	Empty                  // nothing but blanks and comments
)

// String returns the kind in lower case.
func (k Kind) String() string {
	names := [...]string{
		"write", "read", "begin", "commit", "rollback", "savepoint", "set", "reset", "discard",
		"prepare", "execute", "deallocate", "listen", "notify", "copy", "multi", "empty",
	}
	if int(k) >= len(names) {
		return "invalid"
	}
	return names[k]
}

// Isolation is the isolation level that a statement asks for.
type Isolation uint8

// The isolation levels. DefaultIsolation means that none is named.
const (
	DefaultIsolation Isolation = iota
	ReadUncommitted
	ReadCommitted
	RepeatableRead
	Serializable
)

// Kinds is a set of kinds.
type Kinds uint32

// Has reports whether k is in the set.
func (s Kinds) Has(k Kind) bool { return s&(1<<k) != 0 }

// Statement is what is known of a text. Name and Value are parts of the text.
type Statement struct {
	Kind Kind
	// Inner is the kind of the statement that Prepare prepares.
	Inner Kind
	// Isolation and ReadOnly are the modes of Begin, of SET TRANSACTION and of
	// SET SESSION CHARACTERISTICS. ReadWrite says that READ WRITE was asked for.
	Isolation Isolation
	ReadOnly  bool
	ReadWrite bool
	// Local marks SET LOCAL and SET TRANSACTION, which end with the transaction.
	Local bool
	// Chain marks COMMIT AND CHAIN and ROLLBACK AND CHAIN.
	Chain bool
	// Unclear marks a Write whose text may hold more than what is known of it: its
	// end is ambiguous, or it sets something in a form that isn't read.
	Unclear bool
	// Count is the number of statements in the text, empty ones left out, and
	// Kinds the set of what they are.
	Count int
	Kinds Kinds
	// Name is the setting (as written, up to the sign or TO), the savepoint, the
	// prepared statement, the channel, or what SHOW shows. It keeps the quotes of
	// a quoted name. Empty for ALL of RESET, DISCARD
	// and DEALLOCATE.
	Name []byte
	// Value is what a setting is set to, as written, with its quotes.
	Value []byte
}

// Setting returns Value without the quotes of a single plain string constant, and
// whether it could: a list, an E” string or one with a quote in it is left
// alone.
func (s *Statement) Setting() ([]byte, bool) {
	v := s.Value
	if len(v) == 0 {
		return nil, false
	}
	if v[0] != '\'' {
		l := lexer{text: v}
		t := l.next()
		word := t == tokenWord || t == tokenNumber
		return v, word && l.pos == len(v)
	}
	l := lexer{text: v}
	if l.next() != tokenString || l.pos != len(v) {
		return v, false
	}
	v = v[1 : len(v)-1]
	for _, c := range v {
		if c == '\'' || c == '\\' {
			return s.Value, false
		}
	}
	return v, true
}

// Classify says what the text does. Several statements in one text are a Read if
// all are reads, a Write if one is a Write, and Multi otherwise.
func Classify(text []byte) Statement {
	st, rest := Next(text)
	if len(rest) == 0 {
		return st
	}
	all := st
	for len(rest) > 0 {
		st, rest = Next(rest)
		if st.Kind == Empty {
			continue
		}
		if all.Kind == Empty {
			all = st
			continue
		}
		all = join(all, st)
	}
	return all
}

// join returns what a text is that does a and then b.
func join(a, b Statement) Statement {
	both := Statement{Count: a.Count + b.Count, Kinds: a.Kinds | b.Kinds, Unclear: a.Unclear || b.Unclear}
	switch {
	case both.Kinds.Has(Write):
		both.Kind = Write
	case a.Kind == Read && b.Kind == Read:
		both.Kind = Read
	default:
		both.Kind = Multi
	}
	return both
}

// Next says what the first statement of the text does and returns the text after
// its semicolon. Statements that are nothing but blanks come back as Empty.
func Next(text []byte) (Statement, []byte) {
	p := parser{lexer: lexer{text: text}}
	p.advance()
	p.statement()
	if p.broken {
		// The end of the statement is not known: nothing after it is looked at.
		return Statement{Kind: Write, Count: 1, Kinds: 1 << Write, Unclear: true}, nil
	}
	if p.st.Kind != Empty {
		p.st.Count = 1
		p.st.Kinds = 1 << p.st.Kind
	}
	return p.st, text[p.pos:]
}
