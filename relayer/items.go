package relayer

import (
	"unique"

	"basildale.example/basildale/classifier"
	"basildale.example/basildale/framer"
	"basildale.example/basildale/retrier"
)

// items reads the messages of a batch. Nothing after one with a fault is
// looked at.
func (s *Session) items(u *unit, raw []byte) error {
	for len(raw) > 0 {
		f, n, _ := framer.Cut(raw, 0)
		raw = raw[n:]
		if f.Type == 'S' || f.Type == 'H' {
			continue
		}
		it, ok := s.item(u, f)
		if !ok {
			return &protocolError{codeProtocol, "message is cut short"}
		}
		u.items = append(u.items, it)
		if it.fault != nil {
			return nil
		}
	}
	return nil
}

// item reads one message. ok is false when its body is malformed.
func (s *Session) item(u *unit, f framer.Frame) (it item, ok bool) {
	it = item{kind: f.Type, raw: f.Raw}
	b := f.Body()
	switch f.Type {
	case 'P':
		it.name, it.rest, ok = cstring(b)
		if !ok || sqlOf(it.rest) == nil {
			return it, false
		}
		s.parseItem(&it)
	case 'B':
		it.portal, b, ok = cstring(b)
		if !ok {
			return it, false
		}
		it.name, it.rest, ok = cstring(b)
		s.bindItem(u, &it)
	case 'E':
		it.portal, _, ok = cstring(b)
		s.executeItem(u, &it)
	default: // 'D' and 'C'
		if len(b) < 2 {
			return it, false
		}
		it.target = b[0]
		it.name, _, ok = cstring(b[1:])
		s.describeItem(&it)
	}
	return it, ok
}

func (s *Session) parseItem(it *item) {
	sql := sqlOf(it.rest)
	st := classifier.Classify(sql)
	it.st = statement{
		body:    unique.Make(string(it.rest)),
		kind:    st.Kind,
		lasting: st.Unclear || setsByFunction(st.Kind, sql),
	}
	it.st.local = isNote(&st) || localTag(&st) != "" || s.orphaned
	_, exists := s.statements.get(it.name)
	switch {
	case s.orphaned && st.Kind != classifier.Commit && st.Kind != classifier.Rollback:
		it.fault = orphanFault()
	case refusal(&st, sql) != nil:
		it.fault = refusal(&st, sql)
	case chained(&st, sql) != nil:
		it.fault = chained(&st, sql)
	case len(it.name) > 0 && exists:
		it.fault = &fault{code: codeDuplicate, message: "prepared statement " + string(quoted(it.name)) + " already exists"}
	case len(s.statements.named) >= s.relay.Limits.Statements && len(it.name) > 0:
		it.fault = &fault{code: codeTooLarge, message: "too many prepared statements in this session"}
	default:
		s.statements.put(it.name, it.st)
	}
	if it.st.local {
		it.own = []byte{'1', 0, 0, 0, 4}
	}
}

func (s *Session) bindItem(u *unit, it *item) {
	st, ok := s.statements.get(it.name)
	if !ok {
		it.fault = &fault{code: codeNoSuch, message: "prepared statement " + string(quoted(it.name)) + " does not exist"}
		return
	}
	if s.orphaned {
		if st.kind != classifier.Commit && st.kind != classifier.Rollback {
			it.fault = orphanFault()
			return
		}
		st.local = true
	}
	it.st = st
	if s.follows(u) {
		it.fault = &fault{
			code:    retrier.StateForbidden,
			message: "refused: statements after the end of a transaction in one batch",
			hint:    chainedHint,
		}
		return
	}
	delete(s.portals, string(it.portal))
	if st.local {
		if s.portals == nil {
			s.portals = map[string]statement{}
		}
		s.portals[string(it.portal)] = st
		it.own = []byte{'2', 0, 0, 0, 4}
		return
	}
	if !followed(1 << st.kind) {
		delete(s.bound, string(it.portal))
		return
	}
	if s.bound == nil {
		s.bound = map[string]statement{}
	}
	s.bound[string(it.portal)] = st
}

// binds reports whether statements of the batch are bound at the upstream.
func (u *unit) binds() bool {
	for i := range u.items {
		if u.items[i].kind == 'B' && u.items[i].own == nil {
			return true
		}
	}
	return false
}

// follows reports whether the open batch has ended a transaction already; see
// chained.
func (s *Session) follows(u *unit) bool {
	const ends = 1<<classifier.Commit | 1<<classifier.Rollback
	if s.batch && s.ends {
		return true
	}
	for i := range u.items {
		it := &u.items[i]
		if it.kind == 'B' && it.own == nil && ends&(1<<it.st.kind) != 0 {
			return true
		}
	}
	return false
}

func (s *Session) executeItem(u *unit, it *item) {
	st, ok := s.portals[string(it.portal)]
	if !ok {
		it.run = s.bound[string(it.portal)]
		return
	}
	if s.orphaned {
		s.orphaned, s.tx = false, txIdle
		it.own = appendTag(nil, "ROLLBACK")
		return
	}
	parsed := classifier.Classify(sqlOf([]byte(st.body.Value())))
	if tag := localTag(&parsed); tag != "" {
		if it.fault = s.inTransaction(&parsed, u.binds()); it.fault != nil {
			return
		}
		it.own = appendTag(s.carryOut(&parsed), tag)
		return
	}
	it.own, it.fault = s.note(&parsed)
	if it.fault == nil && it.own[0] == 'T' {
		it.own = it.own[1+int(it.own[4])+int(it.own[3])<<8:] // Describe tells the columns
	}
}

// describeItem reads a Describe or a Close.
func (s *Session) describeItem(it *item) {
	if it.target == 'P' {
		it.portal = it.name
		if st, ok := s.portals[string(it.portal)]; ok {
			it.own = ownDescription(st)
		}
		if it.kind == 'C' && it.own != nil {
			delete(s.portals, string(it.portal))
			it.own = []byte{'3', 0, 0, 0, 4}
		}
		return
	}
	st, ok := s.statements.get(it.name)
	if it.kind == 'C' {
		// The statement stays on its upstream connections for other sessions.
		s.statements.drop(it.name)
		it.own = []byte{'3', 0, 0, 0, 4}
		return
	}
	it.st = st
	switch {
	case !ok:
		it.fault = &fault{code: codeNoSuch, message: "prepared statement " + string(quoted(it.name)) + " does not exist"}
	case st.local:
		it.own = append([]byte{'t', 0, 0, 0, 6, 0, 0}, ownDescription(st)...)
	}
}

// ownDescription describes the rows of a statement of the proxy's own.
func ownDescription(st statement) []byte {
	parsed := classifier.Classify(sqlOf([]byte(st.body.Value())))
	if parsed.Kind == classifier.Read {
		return appendColumn(nil, string(parsed.Name))
	}
	return []byte{'n', 0, 0, 0, 4}
}

func quoted(name []byte) []byte {
	return append(append([]byte{'"'}, name...), '"')
}
