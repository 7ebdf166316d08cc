package relayer

import (
	"basildale.example/basildale/classifier"
	"basildale.example/basildale/framer"
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
	run    statement // of Execute: what it runs, if a scope follows it
	own    []byte    // answer of the proxy's own; the message isn't sent
	fault  *fault    // answered by an error; nothing after it is sent
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
