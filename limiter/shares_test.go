package limiter

import (
	"flag"
	"slices"
	"testing"

	"github.com/matryer/is"
)

const (
	upstreamAddress = "10.0.0.1:5432"
	connectionLimit = 4
)

// fault selects a broken variant of the protocol that the search must detect.
type fault int

const (
	correct              fault = iota
	silenceIsEnd               // a member that does not answer is taken to have ended
	confirmBeforeClosing       // a view is confirmed before the surplus connections are closed
	keepNewestOnly             // the record keeps only the newest view
	growImmediately            // only the newest view counts
	retireBeforeClosing        // a member retires views before closing its own surplus
)

// scope bounds a search.
type scope struct {
	maxDeaths       int          // maximum number of members that end
	memberSets      [][][]Member // for each change after the first view, the members it may lead to
	firstViewUnread bool         // no member has read the first view yet
}

// fleet is one state of the search: three members, the platform's record with its
// history, and what each member has confirmed. Messages need no state of their own: a
// confirmation may arrive at any moment after it was sent, or never.
type fleet struct {
	members [3]Shares
	open    [3]int
	sent    [3]uint64
	dead    [3]bool
	history []Record
	scope   *scope
}

// explorer holds the buffers that a search reuses from state to state.
type explorer struct {
	seen    map[string]struct{}
	queue   []fleet
	scratch fleet
	buf     []byte
}

// visit queues the scratch state if it is new.
func (e *explorer) visit() {
	e.buf = e.scratch.key(e.buf[:0])
	if _, ok := e.seen[string(e.buf)]; ok {
		return
	}
	e.seen[string(e.buf)] = struct{}{}
	e.queue = append(e.queue, e.scratch.clone())
}

// step visits the state that change leads to from f.
func (e *explorer) step(f *fleet, change func(*fleet)) {
	own := e.scratch.members
	e.scratch = *f
	for i := range own {
		e.scratch.members[i].peers = append(own[i].peers[:0], f.members[i].peers...)
	}
	e.scratch.history = slices.Clip(f.history)
	change(&e.scratch)
	e.visit()
}

func member(i int) Member { return Member{Name: string(rune('a' + i))} }

func newFleet(sc *scope) fleet {
	f := fleet{scope: sc, history: []Record{{Views: []View{{Seq: 1, Limit: connectionLimit, Members: []Member{member(0), member(1)}}}}}}
	for i := range f.members {
		f.members[i].Self = member(i)
	}
	for i := range ab {
		if sc.firstViewUnread {
			break
		}
		f.members[i].ReceiveRecord(f.history[0])
		f.open[i] = f.members[i].Allowed(upstreamAddress)
		f.confirm(i, correct)
	}
	return f
}

func (f *fleet) clone() fleet {
	n := *f
	for i := range n.members {
		n.members[i].peers = slices.Clone(n.members[i].peers)
	}
	n.history = slices.Clip(n.history)
	return n
}

// key encodes the state for comparison. What a dead member knew is left out, as it has
// no effect.
func (f *fleet) key(b []byte) []byte {
	for i := range f.members {
		m := &f.members[i]
		if f.dead[i] {
			b = append(b, 'x', byte(f.sent[i]))
			continue
		}
		b = append(b, byte(m.record.LastSeq()), byte(m.base), byte(f.open[i]), byte(f.sent[i]))
		for _, p := range m.peers {
			b = append(b, p.member.Name[0], byte(p.seq))
			if p.ended {
				b = append(b, 'g')
			}
		}
	}
	for _, r := range f.history {
		for _, v := range r.Views {
			b = append(b, '|', byte(v.Seq), byte(len(v.Members)), v.Members[0].Name[0])
		}
		b = append(b, '/')
	}
	return b
}

func (f *fleet) deadCount() (n int) {
	for _, dead := range f.dead {
		if dead {
			n++
		}
	}
	return n
}

func (f *fleet) openTotal() int { return f.open[0] + f.open[1] + f.open[2] }

func (f *fleet) allowed(i int, broken fault) int {
	m := &f.members[i]
	if views := m.record.Views; broken == growImmediately && len(views) > 0 {
		return views[len(views)-1].Share(upstreamAddress, m.Self)
	}
	return m.Allowed(upstreamAddress)
}

// steps visits every state that one event leads to. Events that change nothing are left
// out.
func (f *fleet) steps(broken fault, e *explorer) {
	for i := range f.members {
		if f.dead[i] {
			continue
		}
		m := &f.members[i]
		for _, r := range f.history { // a read of the record, also an old one from a peer
			if r.LastSeq() > m.record.LastSeq() {
				e.step(f, func(n *fleet) { n.members[i].ReceiveRecord(r) })
			}
		}
		if allowed := f.allowed(i, broken); allowed != f.open[i] {
			e.step(f, func(n *fleet) { n.open[i] = allowed }) // opens, or closes its surplus
		}
		if own := f.members[i].peer(m.Self).seq; own < m.record.LastSeq() {
			e.step(f, func(n *fleet) { n.confirm(i, broken) })
		}
		if f.deadCount() < f.scope.maxDeaths {
			e.step(f, func(n *fleet) { n.dead[i], n.open[i] = true, 0 })
		}
		f.messages(i, broken, e)
		f.proposals(i, broken, e)
	}
}

// confirm lets member i confirm to the others the view that it keeps to.
func (f *fleet) confirm(i int, broken fault) {
	m := &f.members[i]
	open := f.open[i]
	if broken == confirmBeforeClosing {
		open = 0
	}
	f.sent[i] = m.Confirm(map[string]int{upstreamAddress: open})
	if broken == retireBeforeClosing {
		m.peer(m.Self).seq = m.record.LastSeq()
		m.retire()
	}
}

// messages covers the messages that member i may receive next.
func (f *fleet) messages(i int, broken fault, e *explorer) {
	for j := range f.members {
		if j == i {
			continue
		}
		p := *f.members[i].peer(member(j))
		if f.sent[j] > p.seq {
			e.step(f, func(n *fleet) { n.members[i].ReceiveConfirmation(member(j), n.sent[j]) })
		}
		if !p.ended && (f.dead[j] || broken == silenceIsEnd) {
			e.step(f, func(n *fleet) { n.members[i].MarkEnded(member(j)) })
		}
	}
}

// proposals covers a change of members by each member that has seen the newest record;
// the conditional update refuses all others.
func (f *fleet) proposals(i int, broken fault, e *explorer) {
	last := f.history[len(f.history)-1]
	if f.members[i].record.LastSeq() != last.LastSeq() || len(f.history) > len(f.scope.memberSets) {
		return
	}
	for _, set := range f.scope.memberSets[len(f.history)-1] {
		next, ok := f.members[i].Propose(connectionLimit, set)
		if !ok {
			continue
		}
		if broken == keepNewestOnly {
			next.Views = next.Views[len(next.Views)-1:]
		}
		e.step(f, func(n *fleet) { n.history = append(n.history, next) })
	}
}

// search visits every reachable state and returns the number of states and the highest
// number of open connections. It stops once that is above the limit.
func search(sc *scope, broken fault) (states, maxOpen int) {
	e := &explorer{seen: make(map[string]struct{}), scratch: newFleet(sc)}
	e.visit()
	for len(e.queue) > 0 && maxOpen <= connectionLimit {
		f := e.queue[len(e.queue)-1]
		e.queue = e.queue[:len(e.queue)-1]
		maxOpen = max(maxOpen, f.openTotal())
		f.steps(broken, e)
	}
	return len(e.seen), maxOpen
}

var (
	ab  = []Member{member(0), member(1)}
	bc  = []Member{member(1), member(2)}
	abc = []Member{member(0), member(1), member(2)}
)

// exhaustive extends the search to all changes and deaths at once: about 5.5 million
// states, two minutes.
var exhaustive = flag.Bool("exhaustive", false, "search the whole space of the shares")

// Guards against a member that grows before another has shrunk, so that an upstream
// refuses connections although every proxy keeps to its share. Members join, leave,
// pause and die in any order and read old records; their messages are lost or delayed.
// Every interleaving is visited.
func TestSharesNeverExceedLimit(t *testing.T) {
	scopes := map[string]scope{
		"replaced, then joined": {memberSets: [][][]Member{{bc}, {abc}}},
		"joined, then one goes": {memberSets: [][][]Member{{abc}, {ab}}},
		"one dies":              {maxDeaths: 1, memberSets: [][][]Member{{bc, abc}}},
	}
	if *exhaustive {
		scopes = map[string]scope{"all": {maxDeaths: 1, firstViewUnread: true, memberSets: [][][]Member{{ab, bc, abc}, {ab, bc, abc}}}}
	}
	for name, sc := range scopes {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			states, maxOpen := search(&sc, correct)
			t.Logf("%d states, at most %d of %d connections", states, maxOpen, connectionLimit)
			is.New(t).Equal(maxOpen, connectionLimit) // reached but not exceeded
		})
	}
}

// Guards against a view that is never retired: a proxy that joined would never get its
// share, or the shares of one that left would stay unused. c joins a and b, then a is
// proven to have ended; every message arrives.
func TestSharesConverge(t *testing.T) {
	is := is.New(t)
	f := newFleet(&scope{})
	exchange := func() {
		for range 4 {
			for i := range f.members {
				f.members[i].ReceiveRecord(f.history[len(f.history)-1])
				f.open[i] = f.members[i].Allowed(upstreamAddress)
				f.confirm(i, correct)
				for j := range f.members {
					f.members[j].ReceiveConfirmation(member(i), f.sent[i])
				}
			}
		}
	}
	change := func(by int, set []Member) {
		next, ok := f.members[by].Propose(connectionLimit, set)
		is.True(ok)
		f.history = append(f.history, next)
		exchange()
		is.Equal(f.openTotal(), connectionLimit) // all of it is in use again
		is.True(f.members[by].Converged())
	}
	exchange()
	change(0, abc)
	is.True(f.open[2] > 0)
	for i := 1; i < len(f.members); i++ {
		f.members[i].MarkEnded(member(0))
	}
	f.dead[0] = true
	_, again := f.members[1].Propose(connectionLimit, abc)
	is.True(!again) // no change, no write
	next, _ := f.members[1].Propose(connectionLimit, bc)
	is.Equal(len(next.Views), 2) // the view before the last is retired and dropped
	change(1, bc)
	is.Equal(f.open[0], 0)
}

func TestSearchCatchesBrokenVariants(t *testing.T) {
	for broken, name := range map[fault]string{
		silenceIsEnd:         "silence is taken as proof of the end",
		confirmBeforeClosing: "confirmed before closing",
		keepNewestOnly:       "the record keeps only the newest view",
		growImmediately:      "growing immediately",
		retireBeforeClosing:  "retiring before closing",
	} {
		t.Run(name, func(t *testing.T) {
			states, maxOpen := search(&scope{memberSets: [][][]Member{{bc, abc}, {bc, abc}}}, broken)
			t.Logf("detected after %d states", states)
			is.New(t).True(maxOpen > connectionLimit)
		})
	}
}
