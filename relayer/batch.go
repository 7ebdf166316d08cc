package relayer

import (
	"unique"

	"basildale.example/basildale/classifier"
	"basildale.example/basildale/framer"
	"basildale.example/basildale/retrier"
)

// item is one message of an extended batch.
type item struct {
	kind   byte
	target byte // of Describe and Close: 'S' statement or 'P' portal
	raw    []byte
	portal []byte
	rest   []byte // of Bind: what follows the statement's name
	name   []byte // of Parse, Bind, Describe and Close: the statement's name
	st     statement
	own    []byte // answer of the proxy's own; the message isn't sent
	fault  *fault // answered by an error; nothing after it is sent
}

// isBatch reports whether a message belongs to the extended protocol.
func isBatch(kind byte) bool {
	switch kind {
	case 'P', 'B', 'D', 'E', 'C', 'H', 'S':
		return true
	default:
		return false
	}
}

// readBatch gathers the messages up to a Sync or Flush and carries them out. A
// batch above the bound is carried out in parts, as if a Flush stood between.
func (s *Session) readBatch() (more bool, err error) {
	for {
		f, n, err := framer.Cut(s.in.bytes()[s.scan:], s.relay.Limits.Message)
		if err != nil {
			return false, err
		}
		ends := n > 0 && (f.Type == 'S' || f.Type == 'H')
		foreign := n > 0 && !isBatch(f.Type)
		if n > 0 && !foreign {
			s.scan += n
		}
		full := n == 0 && s.scan >= s.relay.Limits.Batch
		if ends || foreign || full {
			return s.runBatch(n > 0 && f.Type == 'S')
		}
		if n > 0 {
			continue
		}
		if ok, err := s.read(s.scan + s.wantedAt(s.scan)); !ok || err != nil {
			return false, err
		}
	}
}

func (s *Session) wantedAt(offset int) int {
	h, _, _ := framer.Peek(s.in.bytes()[offset:], 0)
	return h.Size
}

func (s *Session) runBatch(sync bool) (more bool, err error) {
	n := s.scan
	s.scan = 0
	err = s.extended(s.in.bytes()[:n], sync)
	s.in.drop(n)
	return err == nil && s.phase != phaseEnded, err
}

// extended carries out the messages of a batch or of a part of one.
func (s *Session) extended(raw []byte, sync bool) error {
	if s.skipping && !sync {
		return nil
	}
	u := s.relay.newUnit()
	defer s.relay.freeUnit(u)
	u.sync = sync
	if !s.skipping {
		if err := s.items(u, raw); err != nil {
			return err
		}
	}
	st := s.batchStatement(u)
	if s.up == nil && u.local() {
		return s.answerLocally(u)
	}
	s.open(u, st)
	return s.perform(u)
}

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
		s.executeItem(&it)
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
	it.st = statement{body: unique.Make(string(it.rest)), kind: st.Kind}
	it.st.local = isNote(&st) || localTag(&st) != "" || s.orphaned
	_, exists := s.statements.get(it.name)
	switch {
	case s.orphaned && st.Kind != classifier.Commit && st.Kind != classifier.Rollback:
		it.fault = orphanFault()
	case refusal(&st) != nil:
		it.fault = refusal(&st)
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
	if st.kind == classifier.Set || st.kind == classifier.Reset {
		u.sets = append(u.sets, sqlOf([]byte(st.body.Value()))...)
		u.sets = append(u.sets, ';')
	}
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

func (s *Session) executeItem(it *item) {
	st, ok := s.portals[string(it.portal)]
	if !ok {
		return
	}
	if s.orphaned {
		s.orphaned, s.tx = false, txIdle
		it.own = appendTag(nil, "ROLLBACK")
		return
	}
	parsed := classifier.Classify(sqlOf([]byte(st.body.Value())))
	if tag := localTag(&parsed); tag != "" {
		s.carryOut(&parsed)
		it.own = appendTag(nil, tag)
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

// batchStatement returns what all statements of the open batch do together.
func (s *Session) batchStatement(u *unit) classifier.Statement {
	if !s.batch {
		s.kinds, s.count, s.ends = 0, 0, false
	}
	s.ends = s.follows(u)
	for i := range u.items {
		it := &u.items[i]
		if it.st == (statement{}) || it.own != nil || it.fault != nil {
			continue
		}
		s.kinds |= 1 << it.st.kind
		if it.kind == 'B' {
			s.count++
		}
	}
	st := classifier.Statement{Kind: classifier.Multi, Count: s.count, Kinds: s.kinds}
	const harmless = 1<<classifier.Read | 1<<classifier.Empty
	switch {
	case s.count == 0 && u.sync:
		st.Kind = classifier.Read // nothing is run, only prepared
	case s.kinds.Has(classifier.Write):
		st.Kind = classifier.Write
	case s.kinds&^harmless == 0:
		st.Kind = classifier.Read
	default:
		for k := classifier.Write; k <= classifier.Empty; k++ {
			if s.kinds == 1<<k {
				st.Kind = k
			}
		}
	}
	return st
}

// forget drops the statements that a batch without an answer was to prepare: its
// caller takes them for not prepared and will prepare them again.
func (s *Session) forget(u *unit) {
	for i := range u.items {
		if u.items[i].kind == 'P' && u.items[i].fault == nil {
			s.statements.drop(u.items[i].name)
		}
	}
}

// local reports whether the proxy answers all of a batch itself.
func (u *unit) local() bool {
	for i := range u.items {
		if u.items[i].own == nil && u.items[i].fault == nil {
			return false
		}
	}
	return true
}

// answerLocally answers a batch that needs no upstream.
func (s *Session) answerLocally(u *unit) error {
	failed := s.skipping
	for i := range u.items {
		it := &u.items[i]
		if it.fault != nil {
			s.writeFault(it.fault)
			failed = true
			break
		}
		s.openOut()
		s.out = append(s.out, it.own...)
	}
	s.skipping = failed && !u.sync
	s.batch = false
	if u.sync {
		s.writeReady()
	}
	return s.flush()
}
