package upstream

import "maps"

// refusedValue is a value that no setting takes.
const refusedValue = "refused"

// settings are the settings of one connection, as PostgreSQL keeps them: what a
// transaction has changed is undone when it is rolled back.
type settings struct {
	now    map[string]string
	kept   map[string]string // what a commit leaves: now without SET LOCAL
	before map[string]string // what a rollback leaves
	open   bool              // a transaction may change them
	points []point
}

// point is a savepoint.
type point struct {
	name      string
	now, kept map[string]string
	tx        *tx
}

// begin notes what a rollback leaves.
func (l *settings) begin() {
	if !l.open {
		l.open = true
		l.before, l.kept = maps.Clone(l.now), maps.Clone(l.now)
	}
}

// end ends the transaction.
func (l *settings) end(keep bool) {
	if l.open {
		l.now = l.before
		if keep {
			l.now = l.kept
		}
	}
	*l = settings{now: l.now}
}

func (l *settings) set(st setStmt) {
	put := func(m *map[string]string) {
		if *m == nil {
			*m = make(map[string]string)
		}
		(*m)[st.name] = st.value
	}
	put(&l.now)
	if !st.local {
		put(&l.kept)
	}
}

// reset drops one setting; without a name, all but the role and the user.
func (l *settings) reset(name string) {
	if name == "" {
		others := func(name, _ string) bool { return name != "role" && name != "session_authorization" }
		maps.DeleteFunc(l.now, others)
		maps.DeleteFunc(l.kept, others)
		return
	}
	delete(l.now, name)
	delete(l.kept, name)
}

// special is a setting with a form of SET of its own.
type special struct {
	name  string
	words []string
}

func specialSettings() []special {
	return []special{
		{"timezone", []string{"time", "zone"}},
		{"session_authorization", []string{"authorization"}},
		{"role", []string{"role"}},
	}
}

// change begins an implicit transaction for a change of the settings if there is
// no transaction.
func (s *session) change() {
	if s.tx == nil {
		s.begin(true)
	}
	s.settings.begin()
}

func (s *session) resetSetting(name string) {
	s.change()
	s.settings.reset(name)
	if name == "" || name == "basildale.term" {
		s.term = nil
	}
	if name == "" || name == "basildale.request" {
		s.request = ""
	}
}

// savepoint carries out SAVEPOINT, RELEASE and ROLLBACK TO.
func (s *session) savepoint(st savepointStmt) (*result, error) {
	if s.state == stateIdle {
		return nil, fail("25P01", st.tag+" can only be used in transaction blocks")
	}
	if s.state == stateFailed && st.tag != "ROLLBACK" {
		return nil, fail(codeAborted, "current transaction is aborted, commands ignored until end of transaction block")
	}
	l := &s.settings
	l.begin()
	if st.tag == "SAVEPOINT" {
		l.points = append(l.points, point{st.name, maps.Clone(l.now), maps.Clone(l.kept), s.tx.clone()})
		return &result{tag: st.tag}, nil
	}
	i := len(l.points) - 1
	for i >= 0 && l.points[i].name != st.name {
		i--
	}
	if i < 0 {
		return nil, fail("3B001", "savepoint \""+st.name+"\" does not exist")
	}
	if st.tag == "RELEASE" {
		l.points = l.points[:i]
		return &result{tag: st.tag}, nil
	}
	p := l.points[i]
	l.points = l.points[:i+1]
	l.now, l.kept = maps.Clone(p.now), maps.Clone(p.kept)
	s.tx, s.state = p.tx.clone(), stateOpen
	return &result{tag: st.tag}, nil
}

// clone copies a transaction's own writes.
func (t *tx) clone() *tx {
	c := &tx{rows: make(map[rowID]*pending, len(t.rows)), order: append([]rowID(nil), t.order...), columns: maps.Clone(t.columns)}
	for id, p := range t.rows {
		one := *p
		c.rows[id] = &one
	}
	return c
}
