package relayer

import "encoding/binary"

// opMode says what happens with the answer to an op.
type opMode uint8

const (
	opPass    opMode = iota // the upstream's answer goes to the caller
	opSwallow               // the proxy's own message: its answer is dropped
	opOwn                   // the proxy answers itself
	opFault                 // the upstream's error is replaced by the proxy's
)

// op is one message of an extended batch whose answer is awaited.
type op struct {
	kind byte // of the message
	mode opMode
	item int    // index of the item
	body body   // what Parse defines
	own  []byte // the answer of opOwn
}

// loadBatch appends a batch's messages to the flight. Statements go by names of
// the connection's own and are made again where the connection lacks them.
func (s *Session) loadBatch(u *unit) {
	u.ops, u.head = u.ops[:0], 0
	for i := range u.items {
		it := &u.items[i]
		switch {
		case it.fault != nil:
			s.loadFault(u, it, i)
		case it.own != nil:
			u.ops = append(u.ops, op{kind: it.kind, mode: opOwn, item: i, own: it.own})
		default:
			s.loadItem(u, it, i)
		}
	}
	if u.sync {
		u.flight = append(u.flight, 'S', 0, 0, 0, 4)
	} else {
		u.flight = append(u.flight, 'H', 0, 0, 0, 4)
	}
}

func (s *Session) loadItem(u *unit, it *item, i int) {
	switch {
	case it.kind == 'P' && len(it.name) == 0:
		u.flight = append(u.flight, it.raw...)
		s.up.unnamed = it.st.body
		u.ops = append(u.ops, op{kind: 'P', item: i, body: it.st.body})
	case it.kind == 'P':
		s.loadParse(u, it, i)
	case it.kind == 'B':
		if it.st.lasting {
			s.up.spoiled.Store(true)
		}
		name := s.ensure(u, it)
		start := len(u.flight)
		u.flight = append(u.flight, 'B', 0, 0, 0, 0)
		u.flight = append(append(u.flight, it.portal...), 0)
		u.flight = append(append(u.flight, name...), 0)
		u.flight = append(u.flight, it.rest...)
		putLength(u.flight, start)
		u.ops = append(u.ops, op{kind: 'B', item: i})
	case it.kind == 'D' && it.target == 'S':
		name := s.ensure(u, it)
		start := len(u.flight)
		u.flight = append(u.flight, 'D', 0, 0, 0, 0, 'S')
		u.flight = append(append(u.flight, name...), 0)
		putLength(u.flight, start)
		u.ops = append(u.ops, op{kind: 'D', item: i})
	default:
		u.flight = append(u.flight, it.raw...)
		u.ops = append(u.ops, op{kind: it.kind, item: i})
	}
}

// loadParse passes a named Parse on, unless the connection has the statement.
func (s *Session) loadParse(u *unit, it *item, i int) {
	if _, ok := s.up.name(it.st.body); ok {
		u.ops = append(u.ops, op{kind: 'P', mode: opOwn, item: i, own: []byte{'1', 0, 0, 0, 4}})
		return
	}
	s.appendParse(u, it.st.body, op{kind: 'P', item: i, body: it.st.body})
}

// ensure makes sure that the connection has the statement of an item and
// returns its name there.
func (s *Session) ensure(u *unit, it *item) string {
	if len(it.name) == 0 {
		if s.up.unnamed != it.st.body {
			s.up.unnamed = it.st.body
			u.flight = appendParseMessage(u.flight, "", it.st.body.Value())
			u.ops = append(u.ops, op{kind: 'P', mode: opSwallow, body: it.st.body})
		}
		return ""
	}
	if name, ok := s.up.name(it.st.body); ok {
		return name
	}
	return s.appendParse(u, it.st.body, op{kind: 'P', mode: opSwallow, body: it.st.body})
}

func (s *Session) appendParse(u *unit, b body, o op) string {
	name, evict := s.up.define(b)
	if evict != "" {
		start := len(u.flight)
		u.flight = append(u.flight, 'C', 0, 0, 0, 0, 'S')
		u.flight = append(append(u.flight, evict...), 0)
		putLength(u.flight, start)
		u.ops = append(u.ops, op{kind: 'C', mode: opSwallow})
	}
	u.flight = appendParseMessage(u.flight, name, b.Value())
	u.ops = append(u.ops, o)
	return name
}

func appendParseMessage(b []byte, name, rest string) []byte {
	start := len(b)
	b = append(b, 'P', 0, 0, 0, 0)
	b = append(append(b, name...), 0)
	b = append(b, rest...)
	binary.BigEndian.PutUint32(b[start+1:], uint32(len(b)-start-1))
	return b
}

// waits reports whether an answer to an op is still to come.
func (u *unit) waits() bool { return u.head < len(u.ops) }

// advance follows an answer to the op at the head. It returns true when the
// answer is to be dropped.
func (u *unit) advance(kind byte) (drop bool) {
	o := &u.ops[u.head]
	switch kind {
	case '1', '2', '3', 'T', 'n', 'C', 'I', 's':
		u.head++
	}
	return o.mode == opSwallow
}

// ownAnswers gathers the proxy's own answers that are next in line. ended is
// true when no other answer follows.
func (s *Session) ownAnswers(u *unit) (ended bool) {
	for u.swallow == 0 && u.waits() && u.ops[u.head].mode == opOwn {
		s.openOut()
		s.out = append(s.out, u.ops[u.head].own...)
		s.tail = -1
		u.head++
	}
	return u.swallow == 0 && !u.simple && !u.sync && !u.waits()
}

// loadFault sends a message that fails in place of one that the proxy refuses.
// The upstream would else commit at the Sync what came before in the batch,
// although the caller is told of an error.
func (s *Session) loadFault(u *unit, it *item, i int) {
	u.flight = append(u.flight, "D\x00\x00\x00\x10Sbasildale!\x00"...)
	u.ops = append(u.ops, op{kind: it.kind, mode: opFault, item: i})
}

// dropOps follows an error of the upstream: it skips what is left of the batch.
func (s *Session) dropOps(u *unit) {
	for i := u.head; i < len(u.ops); i++ {
		o := &u.ops[i]
		if o.kind != 'P' || o.mode == opFault {
			continue
		}
		if o.mode == opOwn {
			s.statements.drop(u.items[o.item].name)
			continue
		}
		s.up.forget(o.body)
		if s.up.unnamed == o.body {
			s.up.unnamed = body{}
		}
		if o.mode == opPass {
			s.statements.drop(u.items[o.item].name)
		}
	}
	u.head = len(u.ops)
}
