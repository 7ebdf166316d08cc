package explorer

import (
	"net/netip"

	"basildale.example/basildale/promoter"
	"basildale.example/basildale/tracker"
)

// Sizes of a world.
const (
	upstreams = 3
	leaders   = 2
	maxTries  = 4
	maxWrites = 3
	maxLog    = 3
	// epoch and first are the term of upstream 0, the first primary.
	epoch = 1
	first = 8
)

// entry is one place in a log: the sequence of the term it was written in and
// the number of the write.
type entry struct{ term, write uint8 }

// node is one upstream. Terms are given by their sequence; all have one epoch.
type node struct {
	role tracker.Role
	term uint8
	// follows is the index of its primary, plus one.
	follows uint8
	length  uint8
	log     [maxLog]entry
}

// answer is what an upstream says to a fence, and whether the leader has it.
type answer struct {
	sent, received bool
	term, pos      uint8
}

// try is one attempt of a leader.
type try struct {
	owner, term uint8
	// live: the leader still works on it.
	live    bool
	answers [upstreams]answer
	// asked has a bit for each upstream that a promotion was sent to.
	asked uint8
	// promoted is the index of the upstream that took it, plus one.
	promoted uint8
}

// write is one write of a caller; used says that it has run.
type write struct {
	used, acked bool
	term, pos   uint8
	// ackTerm is the term it was acknowledged in.
	ackTerm uint8
}

// World is one state. It is comparable, so that states can be told apart.
type World struct {
	nodes  [upstreams]node
	tries  [maxTries]try
	count  uint8
	seen   [leaders]uint8
	writes [maxWrites]write
}

func start() World {
	var w World
	for i := range w.nodes {
		w.nodes[i] = node{role: tracker.Replica, term: first, follows: 1}
	}
	w.nodes[0].role = tracker.Primary
	w.nodes[0].follows = 0
	for i := range w.seen {
		w.seen[i] = first
	}
	return w
}

func termOf(seq uint8) tracker.Term { return tracker.Term{Epoch: epoch, Seq: uint32(seq)} }

func markOf(seq, pos uint8) tracker.Mark {
	if pos == 0 {
		return tracker.Mark{}
	}
	return tracker.Mark{Term: termOf(seq), Pos: tracker.Position(pos)}
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 5432)
}

// end returns the term and the number of the node's last entry.
func (n *node) end() (term, pos uint8) {
	if n.length == 0 {
		return 0, 0
	}
	return n.log[n.length-1].term, n.length
}

func (n *node) state() tracker.State {
	return tracker.State{Role: n.role, Term: termOf(n.term), Mark: markOf(n.end())}
}

// holds reports whether the write is in the log.
func (n *node) holds(id int) bool {
	for _, e := range n.log[:n.length] {
		if int(e.write) == id+1 {
			return true
		}
	}
	return false
}

// cut drops the entries from position length on.
func (n *node) cut(length uint8) {
	for i := length; i < n.length; i++ {
		n.log[i] = entry{}
	}
	n.length = length
}

// attempt builds the leader's view of a try, for the code under test.
func (t *try) attempt() *promoter.Attempt {
	list := make([]netip.AddrPort, upstreams)
	for i := range list {
		list[i] = address(i)
	}
	a := promoter.NewAttempt(termOf(t.term), list)
	if t.owner == 0 {
		// One leader suspects the first primary, the other nobody.
		a.Suspect = address(0)
	}
	for i, ans := range t.answers {
		if ans.received {
			a.NoteFence(address(i), markOf(ans.term, ans.pos))
		}
	}
	return a
}
