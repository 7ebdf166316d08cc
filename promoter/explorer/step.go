package explorer

import (
	"fmt"
	"net/netip"

	"basildale.example/basildale/confirmer"
	"basildale.example/basildale/promoter"
	"basildale.example/basildale/tracker"
)

// Rules are the parts of the protocol that can be broken on purpose. The zero
// value is the protocol as it is.
type Rules struct {
	// NoMajority promotes after one fenced upstream.
	NoMajority bool
	// NotFurthest promotes the least far upstream of a fenced majority.
	NotFurthest bool
	// NoConfirmation acknowledges when the primary has written.
	NoConfirmation bool
	// AnyTerm counts a replica's log without looking at the replica's term.
	AnyTerm bool
	// OldEntry takes an entry of an earlier term for confirmed in the new one.
	OldEntry bool
	// SharedTerms gives both leaders the same sequences.
	SharedTerms bool
	// SecondCandidate promotes another upstream in the same term when the first
	// doesn't answer.
	SecondCandidate bool
}

// step is what led to a state. Its text is made only when it is asked for, since
// most steps are never looked at.
type step struct {
	format string
	args   [3]int
	count  int
	// doubled: a second upstream was promoted in one term.
	doubled bool
}

func newStep(format string, args ...int) step {
	st := step{format: format, count: len(args)}
	copy(st.args[:], args)
	return st
}

// String returns the step as a short sentence.
func (st step) String() string {
	args := make([]any, st.count)
	for i := range args {
		args[i] = st.args[i]
	}
	return fmt.Sprintf(st.format, args...)
}

// successors generates the successors of one world.
type successors struct {
	bounds Bounds
	rules  Rules
	visit  func(next World, st step)
}

func (s *successors) all(w *World) {
	s.writeAndReplicate(w)
	s.acknowledge(w)
	s.begin(w)
	for t := range int(w.count) {
		s.fence(w, t)
		s.choose(w, t)
		s.promote(w, t)
		s.follow(w, t)
	}
}

func (s *successors) writeAndReplicate(w *World) {
	for i := range w.nodes {
		n := &w.nodes[i]
		switch n.role {
		case tracker.Primary:
			s.write(w, i)
		case tracker.Replica:
			s.replicate(w, i)
		}
	}
}

// write runs the next write on a primary, replaced or not.
func (s *successors) write(w *World, i int) {
	for id := range s.bounds.Writes {
		if w.writes[id].used {
			continue
		}
		next := *w
		n := &next.nodes[i]
		if n.length == maxLog {
			return
		}
		n.log[n.length] = entry{term: n.term, write: uint8(id + 1)}
		n.length++
		next.writes[id] = write{used: true, term: n.term, pos: n.length}
		if s.rules.NoConfirmation {
			next.writes[id].acked = true
			next.writes[id].ackTerm = n.term
		}
		s.visit(next, newStep("write %d on %d at %d", id, i, int(n.term)))
		return
	}
}

// replicate cuts what the primary doesn't have, or copies one entry. A replica
// takes entries only from the primary of its own term.
func (s *successors) replicate(w *World, i int) {
	n := &w.nodes[i]
	if n.follows == 0 {
		return
	}
	p := &w.nodes[n.follows-1]
	if p.role != tracker.Primary || p.term != n.term {
		return
	}
	same := uint8(0)
	for same < n.length && same < p.length && n.log[same] == p.log[same] {
		same++
	}
	next := *w
	m := &next.nodes[i]
	switch {
	case same < n.length:
		m.cut(same)
		s.visit(next, newStep("%d cuts its log to %d", i, int(same)))
	case n.length < p.length:
		m.log[n.length] = p.log[n.length]
		m.length++
		s.visit(next, newStep("%d copies entry %d", i, int(n.length)))
	}
}

// acknowledge lets a replica's state confirm a write. Taking the state and
// acknowledging are one step: an answer that goes out later is checked by the
// same conditions from then on.
func (s *successors) acknowledge(w *World) {
	for id := range s.bounds.Writes {
		wr := w.writes[id]
		if !wr.used || wr.acked {
			continue
		}
		for i := range w.nodes {
			n := &w.nodes[i]
			if !s.verified(w, id, n.term) || !s.confirms(n, wr) {
				continue
			}
			next := *w
			next.writes[id].acked = true
			next.writes[id].ackTerm = n.term
			if s.rules.AnyTerm {
				next.writes[id].ackTerm = wr.term
			}
			s.visit(next, newStep("write %d acknowledged by %d at %d", id, i, int(n.term)))
		}
	}
}

// verified reports whether the writer knows the write to be in the log of the
// term's primary: it was written there, or was found there afterwards.
func (s *successors) verified(w *World, id int, term uint8) bool {
	if w.writes[id].term == term || s.rules.AnyTerm {
		return true
	}
	for i := range w.nodes {
		n := &w.nodes[i]
		if n.role == tracker.Primary && n.term == term && n.holds(id) {
			return true
		}
	}
	return false
}

func (s *successors) confirms(n *node, wr write) bool {
	state := n.state()
	mark := markOf(wr.term, wr.pos)
	switch {
	case s.rules.AnyTerm:
		return n.role != tracker.Primary && !state.Mark.Less(mark)
	case s.rules.OldEntry:
		return state.Role == tracker.Replica && !state.Mark.Less(mark)
	default:
		return confirmer.Confirms(state, termOf(n.term), mark)
	}
}

// begin starts a leader's next try; an earlier one is given up.
func (s *successors) begin(w *World) {
	for owner := range leaders {
		next := *w
		made := 0
		for t := range int(w.count) {
			if int(w.tries[t].owner) == owner {
				made++
				next.tries[t].live = false
			}
		}
		place := owner
		if s.rules.SharedTerms {
			place = 0
		}
		term, ok := promoter.NextTerm(epoch, place, termOf(w.seen[owner]))
		if made == s.bounds.Tries || !ok {
			continue
		}
		next.tries[w.count] = try{owner: uint8(owner), term: uint8(term.Seq), live: true}
		next.count++
		next.seen[owner] = uint8(term.Seq)
		s.visit(next, newStep("leader %d begins %d", owner, int(term.Seq)))
	}
}

// fence delivers fences and their answers.
func (s *successors) fence(w *World, t int) {
	tr := &w.tries[t]
	for i := range w.nodes {
		n := &w.nodes[i]
		ans := tr.answers[i]
		next := *w
		switch {
		case n.term < tr.term:
			m := &next.nodes[i]
			m.role, m.term, m.follows = tracker.Fenced, tr.term, 0
			term, pos := m.end()
			next.tries[t].answers[i] = answer{sent: true, term: term, pos: pos}
			s.visit(next, newStep("%d is fenced at %d", i, int(tr.term)))
		case s.rules.SharedTerms && n.term == tr.term && n.role == tracker.Fenced && !ans.sent:
			term, pos := n.end()
			next.tries[t].answers[i] = answer{sent: true, term: term, pos: pos}
			s.visit(next, newStep("%d is fenced at %d for the other leader too", i, int(tr.term)))
		case n.term > tr.term && tr.live && tr.asked == 0 && !ans.sent:
			next.tries[t].live = false
			next.seen[tr.owner] = max(w.seen[tr.owner], n.term)
			s.visit(next, newStep("%d refuses %d, being at %d", i, int(tr.term), int(n.term)))
		}
		if ans.sent && !ans.received && tr.live && tr.asked == 0 {
			next := *w
			next.tries[t].answers[i].received = true
			s.visit(next, newStep("leader %d hears that %d is fenced at %d", int(tr.owner), i, int(tr.term)))
		}
	}
}

// choose sends the promotion.
func (s *successors) choose(w *World, t int) {
	tr := &w.tries[t]
	if !tr.live || tr.asked != 0 && !s.rules.SecondCandidate {
		return
	}
	for _, settled := range []bool{false, true} {
		c, ok := s.candidate(tr, settled)
		if !ok || tr.asked&(1<<c) != 0 {
			continue
		}
		next := *w
		next.tries[t].asked |= 1 << c
		s.visit(next, newStep("leader %d asks %d to be primary at %d", int(tr.owner), c, int(tr.term)))
	}
}

func (s *successors) candidate(tr *try, settled bool) (int, bool) {
	a := tr.attempt()
	got := 0
	worst := -1
	for i, ans := range tr.answers {
		if !ans.received || tr.asked&(1<<i) != 0 {
			continue
		}
		got++
		if worst < 0 || a.Ballots[i].Mark.Less(a.Ballots[worst].Mark) {
			worst = i
		}
	}
	switch {
	case s.rules.NoMajority:
		return worst, got > 0
	case s.rules.NotFurthest:
		return worst, got >= promoter.Quorum(upstreams)
	case s.rules.SecondCandidate && tr.asked != 0:
		return worst, got > 0
	}
	chosen, ok := a.Choose(settled)
	return index(chosen), ok
}

func index(addr netip.AddrPort) int {
	for i := range upstreams {
		if addr == address(i) {
			return i
		}
	}
	return -1
}

// promote delivers promotions, late ones too.
func (s *successors) promote(w *World, t int) {
	tr := &w.tries[t]
	for i := range w.nodes {
		n := &w.nodes[i]
		if tr.asked&(1<<i) == 0 || n.role != tracker.Fenced || n.term != tr.term {
			continue
		}
		next := *w
		next.nodes[i].role = tracker.Primary
		next.tries[t].promoted = uint8(i + 1)
		st := newStep("%d is primary at %d", i, int(tr.term))
		st.doubled = s.doubled(w, t, i)
		s.visit(next, st)
	}
}

// doubled reports whether another upstream was promoted at the try's term.
func (s *successors) doubled(w *World, t, i int) bool {
	for _, o := range w.tries[:w.count] {
		if o.term == w.tries[t].term && o.promoted != 0 && int(o.promoted) != i+1 {
			return true
		}
	}
	return false
}

// follow delivers orders to follow a promoted upstream, from any proxy that knows
// of it.
func (s *successors) follow(w *World, t int) {
	tr := &w.tries[t]
	if tr.promoted == 0 {
		return
	}
	for i := range w.nodes {
		n := &w.nodes[i]
		done := n.role == tracker.Replica && n.term == tr.term && n.follows == tr.promoted
		primary := n.role == tracker.Primary && n.term == tr.term
		if n.term > tr.term || done || primary || i+1 == int(tr.promoted) {
			continue
		}
		next := *w
		m := &next.nodes[i]
		m.role, m.term, m.follows = tracker.Replica, tr.term, tr.promoted
		s.visit(next, newStep("%d follows %d at %d", i, int(tr.promoted-1), int(tr.term)))
	}
}
