package relayer

import (
	"bytes"

	"basildale.example/basildale/classifier"
)

// scope follows a session's settings through a transaction, by the upstream's
// answers. A rollback undoes SET and RESET, also that to a savepoint, so what a
// statement has set counts only once its transaction has committed.
type scope struct {
	open   bool
	failed bool // a statement has failed since the last savepoint or ReadyForQuery
	now    settings
	points []savepoint
}

// savepoint is a savepoint and the settings that it keeps.
type savepoint struct {
	name     string
	settings settings
}

// followed reports whether statements of one of these kinds change a scope.
func followed(kinds classifier.Kinds) bool {
	const all = 1<<classifier.Set | 1<<classifier.Reset | 1<<classifier.Savepoint |
		1<<classifier.Commit | 1<<classifier.Rollback
	return kinds&all != 0
}

// begin opens the scope of a transaction that has begun with these settings.
func (c *scope) begin(l *settings) {
	if !c.open {
		c.open = true
		c.now.copyOf(l)
	}
}

// mark follows SAVEPOINT, RELEASE and ROLLBACK TO.
func (c *scope) mark(name string, tag []byte) {
	if bytes.HasPrefix(tag, []byte("SAVEPOINT")) {
		p := savepoint{name: name}
		p.settings.copyOf(&c.now)
		c.points = append(c.points, p)
		return
	}
	i := len(c.points) - 1
	for i >= 0 && c.points[i].name != name {
		i--
	}
	switch {
	case i < 0:
	case bytes.HasPrefix(tag, []byte("RELEASE")):
		c.points = c.points[:i]
	default:
		c.now.copyOf(&c.points[i].settings)
		c.points = c.points[:i+1]
		c.failed = false
	}
}

// completed follows a statement that the upstream has reported as complete.
func (s *Session) completed(st *classifier.Statement, text, tag []byte) {
	switch st.Kind {
	case classifier.Set, classifier.Reset:
		s.scope.begin(&s.settings)
		s.scope.now.apply(st, text)
	case classifier.Savepoint:
		s.scope.begin(&s.settings)
		s.scope.mark(identifier(st.Name), tag)
	case classifier.Commit, classifier.Rollback:
		s.closeScope(bytes.HasPrefix(tag, []byte("COMMIT")))
	}
}

// completedNext follows the unit's next statement, whose tag has arrived.
func (s *Session) completedNext(u *unit, tag []byte) {
	if !u.simple {
		if !u.waits() {
			return
		}
		o := &u.ops[u.head]
		if o.kind != 'E' || o.mode != opPass || u.items[o.item].run == (statement{}) {
			return
		}
		text := sqlOf([]byte(u.items[o.item].run.body.Value()))
		st := classifier.Classify(text)
		s.completed(&st, text, tag)
		return
	}
	for len(u.follows) > 0 {
		st, rest := classifier.Next(u.follows)
		text := u.follows[:len(u.follows)-len(rest)]
		u.follows = rest
		if st.Kind != classifier.Empty {
			s.completed(&st, text, tag)
			return
		}
	}
}

// closeScope ends a transaction. The upstream has kept its settings or has undone
// them.
func (s *Session) closeScope(kept bool) {
	if s.scope.open && kept {
		s.settings.copyOf(&s.scope.now)
		s.up.settings.copyOf(&s.scope.now)
	}
	s.scope = scope{failed: s.scope.failed}
}

// atReady follows a ReadyForQuery, which ends what is no transaction block.
func (s *Session) atReady() {
	if s.tx == txIdle {
		s.closeScope(!s.scope.failed)
		clear(s.bound)
	}
	s.scope.failed = false
}

// identifier returns a name as PostgreSQL compares it.
func identifier(name []byte) string {
	if len(name) > 1 && name[0] == '"' {
		return string(bytes.ReplaceAll(name[1:len(name)-1], []byte(`""`), []byte(`"`)))
	}
	return lower(string(name))
}
