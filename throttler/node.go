package throttler

import (
	"maps"
	"net/netip"
	"time"

	"basildale.example/basildale/cataloger"
)

const (
	// CreditInterval is the time between two gifts to a holder.
	CreditInterval = 400 * time.Millisecond
	// patience is how long a holder may take to thank for a gift before another one is
	// taken in its place.
	patience = 500 * time.Millisecond
	// doubted is how long it may take when another process claims the shard.
	doubted = 150 * time.Millisecond
	// rememberFor is how long a verdict is remembered for an asker that didn't hear it.
	rememberFor = time.Second
	// claimEvery is the least time between two claims of a shard.
	claimEvery = 200 * time.Millisecond
	// shunFor is how long a holder that didn't answer is passed over.
	shunFor = 2 * time.Second
	// longestWay is how long a gift may have been under way. One that was held up counts
	// for nothing: what was made then has ended meanwhile.
	longestWay = 150 * time.Millisecond
)

// Envelope is a message and where to send it.
type Envelope struct {
	To      netip.AddrPort
	Message Message
}

// stamp is what a holder's clock said, and when that was heard.
type stamp struct {
	clock int64
	heard time.Time
}

// question is what an asker asks once, in as many messages as it takes.
type question struct {
	from ID
	id   uint64
}

// word is the answer to a question, and when it was given.
type word struct {
	verdict Verdict
	given   time.Time
}

// Node is what one process knows and decides. Set the exported fields before the first
// event. It isn't safe for concurrent use.
type Node struct {
	Self      string
	Tolerance Tolerance
	// StartedAt is when the process started. It makes tokens from then on.
	StartedAt time.Time
	// IsFleetKnown says that the process knows the whole fleet. Before that it makes no tokens:
	// it would take the few that it has heard of for all, and its part for a larger one.
	IsFleetKnown bool
	// Leaving says that the process ends soon: it asks givers to take another holder.
	Leaving bool

	others  []Member
	self    Member
	fleet   int
	census  census
	joined  bool
	given   [Shards]time.Time // up to when the time is given away
	holders [Shards]Member    // by this process's belief
	awaited map[ID]time.Time  // holders that owe thanks, and since when
	shunned map[ID]time.Time  // until when
	stamps  map[ID]stamp
	bank    bank
	gave    time.Time // when all holders last got something
	claimed [Shards]time.Time
	words   map[question]word
}

// SetFleet takes in who is in the fleet: this process, the others that answer, and how many
// there are in all, whether they answer or not. It is called when that changes, and once
// a minute.
func (n *Node) SetFleet(self Member, others []Member, fleet int, now time.Time) {
	if !n.joined {
		n.joined = true
		for i := range n.given {
			n.given[i] = n.StartedAt
		}
	}
	n.self, n.others = self, others
	n.self.rank()
	for i := range n.others {
		n.others[i].rank()
	}
	n.fleet = n.census.count(max(fleet, len(others)+1), now)
	n.elect(now)
}

// elect decides who the holders are.
func (n *Node) elect(now time.Time) {
	for shard := range n.holders {
		best := &n.self
		for i := range n.others {
			m := &n.others[i]
			if now.Before(n.shunned[m.id]) {
				continue
			}
			if m.scores[shard] > best.scores[shard] {
				best = m
			}
		}
		n.holders[shard] = *best
	}
}

// Owner returns whom to ask for the tokens of a workspace, and whether that is another
// process.
func (n *Node) Owner(workspace string) (Member, bool) {
	h := n.holders[Shard(workspace)]
	return h, h.Name != n.self.Name
}

// Tick is called several times in a Period. It gives the time since the last gift to
// the holders once in a Period, and at once when one of them has changed.
func (n *Node) Tick(now time.Time) []Envelope {
	if !n.joined {
		return nil
	}
	changed := n.expire(now)
	if !changed && now.Sub(n.gave) < CreditInterval {
		return nil
	}
	n.gave = now
	maps.DeleteFunc(n.words, func(_ question, w word) bool { return now.Sub(w.given) > rememberFor })
	var out []Envelope
	for shard := range n.holders {
		if e, ok := n.give(shard, now); ok {
			out = append(out, e)
		}
	}
	return out
}

// expire passes over holders that owe thanks, and reports whether others may be holders
// now.
func (n *Node) expire(now time.Time) bool {
	changed := false
	for id, since := range n.awaited {
		if now.Sub(since) >= patience {
			n.shun(id, now)
			changed = true
		}
	}
	for id, until := range n.shunned {
		if !now.Before(until) {
			delete(n.shunned, id)
			changed = true
		}
	}
	if changed {
		n.elect(now)
	}
	return changed
}

// OwnerTimedOut takes in that a holder hasn't answered an operation.
func (n *Node) OwnerTimedOut(holder ID, now time.Time) {
	n.shun(holder, now)
	n.elect(now)
}

func (n *Node) shun(holder ID, now time.Time) {
	if n.shunned == nil {
		n.shunned = map[ID]time.Time{}
	}
	n.shunned[holder] = now.Add(shunFor)
	delete(n.awaited, holder)
	delete(n.stamps, holder)
}

// give gives the time of a shard to its holder. One whose clock isn't known gets none
// yet, and tells its clock with its thanks.
func (n *Node) give(shard int, now time.Time) (Envelope, bool) {
	h := n.holders[shard]
	span := min(now.Sub(n.given[shard]), longestLife)
	if h.Name == n.self.Name {
		if n.IsFleetKnown {
			n.given[shard] = now
			n.bank.deposit(shard, span, n.fleet, now)
		}
		return Envelope{}, false
	}
	m := Message{Kind: Gift, From: n.self.id, To: h.id, Shard: shard, Fleet: n.fleet}
	if s, known := n.stamps[h.id]; known && n.IsFleetKnown {
		m.Span, m.Stamp, m.Since = span, s.clock, now.Sub(s.heard)
		n.given[shard] = now
	}
	if n.awaited == nil {
		n.awaited = map[ID]time.Time{}
	}
	if _, waits := n.awaited[h.id]; !waits {
		n.awaited[h.id] = now
	}
	return Envelope{h.Address, m}, true
}

// Receive takes in a message of the peer at an address, but for a Word, which is for
// whoever has asked. The quota of a workspace is nil where it has none.
func (n *Node) Receive(m *Message, from netip.AddrPort, quota func(workspace string) *cataloger.Quota, now time.Time) []Envelope {
	self := NewID(n.Self)
	if m.To != self {
		return nil
	}
	switch m.Kind {
	case Gift:
		n.accept(m, now)
		return []Envelope{{from, Message{Kind: Thanks, From: self, To: m.From, Shard: m.Shard, Stamp: now.UnixNano(), Leaving: n.Leaving}}}
	case Thanks:
		return n.thanked(m, now)
	case Request:
		v, out := n.answer(m, quota(m.Workspace), now)
		return append(out, Envelope{from, Message{Kind: Reply, From: self, To: m.From, ID: m.ID, Verdict: v}})
	case Claim:
		return n.doubt(m.Shard, now)
	default:
		return nil
	}
}

// accept takes in a gift that wasn't under way for too long.
func (n *Node) accept(m *Message, now time.Time) {
	way := now.Sub(time.Unix(0, m.Stamp).Add(m.Since))
	if m.Stamp == 0 || m.Fleet <= 0 || m.Span <= 0 || way > longestWay || way < -longestWay {
		return
	}
	n.bank.deposit(m.Shard, min(m.Span, longestLife), max(m.Fleet, n.fleet), now)
}

// thanked takes in that a holder lives, and gives it what it didn't get before its clock
// was known.
func (n *Node) thanked(m *Message, now time.Time) []Envelope {
	delete(n.awaited, m.From)
	if m.Leaving {
		n.OwnerTimedOut(m.From, now)
		return nil
	}
	if n.stamps == nil {
		n.stamps = map[ID]stamp{}
	}
	_, known := n.stamps[m.From]
	n.stamps[m.From] = stamp{m.Stamp, now}
	if known {
		return nil
	}
	var out []Envelope
	for shard, h := range n.holders {
		if h.id != m.From {
			continue
		}
		if e, ok := n.give(shard, now); ok {
			out = append(out, e)
		}
	}
	return out
}

// answer returns the verdict on what a peer asks. One that asks again, since no word has
// come, gets the same: a token more would be spent for each word that is lost or late.
func (n *Node) answer(m *Message, quota *cataloger.Quota, now time.Time) (Verdict, []Envelope) {
	asked := question{m.From, m.ID}
	if w, known := n.words[asked]; known {
		return w.verdict, nil
	}
	if quota == nil {
		return Verdict{Unsure: true, RetryAfter: leastBack}, nil
	}
	v, out := n.Take(m.Workspace, *quota, now)
	if n.words == nil {
		n.words = map[question]word{}
	}
	n.words[asked] = word{v, now}
	return v, out
}

// claim tells all that this process is asked for the tokens of a shard: its holder may
// have ended, which the others would notice only later.
func (n *Node) claim(shard int, now time.Time) []Envelope {
	if now.Sub(n.claimed[shard]) < claimEvery {
		return nil
	}
	n.claimed[shard] = now
	out := make([]Envelope, 0, len(n.others))
	for i := range n.others {
		out = append(out, Envelope{n.others[i].Address, Message{Kind: Claim, From: n.self.id, To: n.others[i].id, Shard: shard}})
	}
	return out
}

// doubt takes in that a process claims a shard. A holder that owes thanks is passed over
// sooner then.
func (n *Node) doubt(shard int, now time.Time) []Envelope {
	h := n.holders[shard]
	since, owes := n.awaited[h.id]
	if !owes || now.Sub(since) < doubted {
		return nil
	}
	n.OwnerTimedOut(h.id, now)
	if e, ok := n.give(shard, now); ok {
		return []Envelope{e}
	}
	return nil
}

// Take spends a token of a workspace here.
func (n *Node) Take(workspace string, q cataloger.Quota, now time.Time) (Verdict, []Envelope) {
	v := n.bank.take(workspace, n.Tolerance.grade(q), now)
	if !v.Unsure {
		return v, nil
	}
	return v, n.claim(Shard(workspace), now)
}
