package throttler

import (
	"maps"
	"net/netip"
	"time"

	"basildale.example/basildale/cataloger"
)

const (
	// CreditInterval is the time between two credits to an owner.
	CreditInterval = 400 * time.Millisecond
	// ackTimeout is the time without an ack of a credit after which another owner is
	// chosen.
	ackTimeout = 500 * time.Millisecond
	// claimedAckTimeout replaces ackTimeout when another process claims the shard.
	claimedAckTimeout = 150 * time.Millisecond
	// replyRetention is how long a verdict is kept for a requester that did not receive it.
	replyRetention = time.Second
	// claimInterval is the minimum time between two claims of a shard.
	claimInterval = 200 * time.Millisecond
	// excludeDuration is how long a process that did not answer is not chosen as owner.
	excludeDuration = 2 * time.Second
	// maxTransit is the maximum time that a credit may have been in transit. A later one is
	// dropped: the tokens of its span have expired meanwhile.
	maxTransit = 150 * time.Millisecond
)

// Envelope is a message and the address to send it to.
type Envelope struct {
	To      netip.AddrPort
	Message Message
}

// ownerClock is the clock of an owner's ack, and when that was received.
type ownerClock struct {
	clock      int64
	receivedAt time.Time
}

// requestKey identifies a request, which may be sent in several messages.
type requestKey struct {
	from ID
	id   uint64
}

// cachedReply is the verdict on a request, and when it was decided.
type cachedReply struct {
	verdict   Verdict
	decidedAt time.Time
}

// Node is the state of one process. Set the exported fields before the first event. It is
// not safe for concurrent use.
type Node struct {
	Self      string
	Tolerance Tolerance
	// StartedAt is when the process started. It produces tokens from then on.
	StartedAt time.Time
	// IsFleetKnown is set once the process knows the whole fleet. Before that it credits no
	// time: it would take the few processes that it knows for the whole fleet, and so its
	// part for a larger one. Then it credits the time since StartedAt, at most maxTokenLife.
	IsFleetKnown bool
	// Leaving is set once the process is shutting down: its acks request that the senders of
	// credits choose another owner.
	Leaving bool
	// Ranked is set while the more urgent operations of a workspace go first, and while a
	// process that has too few credits asks for those of a silent owner.
	Ranked bool

	others        []Member
	self          Member
	fleetSize     int
	sizeHistory   sizeHistory
	joined        bool              // SetFleet was called
	creditedUntil [Shards]time.Time // up to when the time is credited
	owners        [Shards]Member    // as this process computes them
	ackDueSince   map[ID]time.Time  // since when an owner has not acked a credit
	excludedUntil map[ID]time.Time  // until when a process is not chosen as owner
	ownerClocks   map[ID]ownerClock
	silentSince   map[ID]time.Time // since when a process has not answered a request
	claims        [Shards]shardClaim
	excluded      []ID // since the last call of Excluded
	ledger        ledger
	lastCredit    time.Time // when credits were last sent to all owners
	lastClaim     [Shards]time.Time
	replies       map[requestKey]cachedReply
}

// SetFleet sets the processes of the fleet: this one, the others that are alive, and the
// number of all, whether they answer or not. Call it when these change, and once a minute.
func (n *Node) SetFleet(self Member, others []Member, fleet int, now time.Time) {
	if !n.joined {
		n.joined = true
		for i := range n.creditedUntil {
			n.creditedUntil[i] = n.StartedAt
		}
	}
	n.self, n.others = self, others
	n.self.computeScores()
	for i := range n.others {
		n.others[i].computeScores()
	}
	n.fleetSize = n.sizeHistory.update(max(fleet, len(others)+1), now)
	n.chooseOwners(now)
}

// chooseOwners computes the owner of each shard.
func (n *Node) chooseOwners(now time.Time) {
	for shard := range n.owners {
		best := &n.self
		for i := range n.others {
			m := &n.others[i]
			if now.Before(n.excludedUntil[m.id]) {
				continue
			}
			if m.scores[shard] > best.scores[shard] {
				best = m
			}
		}
		n.owners[shard] = *best
	}
}

// Owner returns the process that owns a workspace's tokens, and whether that is another
// one than this.
func (n *Node) Owner(workspace string) (Member, bool) {
	owner := n.owners[Shard(workspace)]
	return owner, owner.Name != n.self.Name
}

// Tick is called several times in a CreditInterval. It returns the credits to the owners
// once in each CreditInterval, and at once when an owner has changed.
func (n *Node) Tick(now time.Time) []Envelope {
	if !n.joined {
		return nil
	}
	var out []Envelope
	if n.Ranked {
		n.expireSilent(now)
		out = n.settleClaims(now)
	}
	changed := n.expireOwners(now)
	if !changed && now.Sub(n.lastCredit) < CreditInterval {
		return out
	}
	n.lastCredit = now
	maps.DeleteFunc(n.replies, func(_ requestKey, r cachedReply) bool { return now.Sub(r.decidedAt) > replyRetention })
	for shard := range n.owners {
		if e, ok := n.credit(shard, now); ok {
			out = append(out, e)
		}
	}
	return out
}

// expireOwners excludes owners whose acks are overdue and ends exclusions, and reports
// whether owners were chosen anew.
func (n *Node) expireOwners(now time.Time) bool {
	changed := false
	for id, since := range n.ackDueSince {
		if now.Sub(since) >= ackTimeout {
			n.noteSilent(id, now)
			n.exclude(id, now)
			changed = true
		}
	}
	for id, until := range n.excludedUntil {
		if !now.Before(until) {
			delete(n.excludedUntil, id)
			changed = true
		}
	}
	if changed {
		n.chooseOwners(now)
	}
	return changed
}

// OwnerTimedOut excludes an owner that did not answer a request, and chooses owners anew.
func (n *Node) OwnerTimedOut(owner ID, now time.Time) {
	n.noteSilent(owner, now)
	n.exclude(owner, now)
	n.chooseOwners(now)
}

func (n *Node) exclude(owner ID, now time.Time) {
	if n.excludedUntil == nil {
		n.excludedUntil = map[ID]time.Time{}
	}
	n.excludedUntil[owner] = now.Add(excludeDuration)
	delete(n.silentSince, owner)
	delete(n.ackDueSince, owner)
	delete(n.ownerClocks, owner)
}

// credit returns the credit of a shard's time to its owner. If the owner's clock is not
// known yet, the credit has no span, and the ack to it brings the clock.
func (n *Node) credit(shard int, now time.Time) (Envelope, bool) {
	owner := n.owners[shard]
	span := min(now.Sub(n.creditedUntil[shard]), maxTokenLife)
	if owner.Name == n.self.Name {
		if n.IsFleetKnown {
			n.creditedUntil[shard] = now
			n.ledger.add(shard, span, n.fleetSize, now)
		}
		return Envelope{}, false
	}
	m := Message{Kind: Credit, From: n.self.id, To: owner.id, Shard: shard, Fleet: n.fleetSize}
	// A ranked process keeps its time while an ack is overdue, for whoever follows that owner.
	isOverdue := n.Ranked && n.isSilent(owner.id, claimedAckTimeout, now)
	if s, known := n.ownerClocks[owner.id]; known && n.IsFleetKnown && !isOverdue {
		m.Span, m.OwnerClock, m.ClockAge = span, s.clock, now.Sub(s.receivedAt)
		n.creditedUntil[shard] = now
	}
	n.expectAck(owner.id, now)
	return Envelope{owner.Address, m}, true
}

// Receive handles a message from the peer at an address, except a Reply, which the caller
// passes to the requester. The quota of a workspace is nil where it has none.
func (n *Node) Receive(m *Message, from netip.AddrPort, quota func(workspace string) *cataloger.Quota, now time.Time) []Envelope {
	self := NewID(n.Self)
	if m.To != self {
		return nil
	}
	n.Heard(m.From)
	switch m.Kind {
	case Credit:
		n.acceptCredit(m, now)
		return []Envelope{{from, Message{Kind: CreditAck, From: self, To: m.From, Shard: m.Shard, OwnerClock: now.UnixNano(), Leaving: n.Leaving}}}
	case CreditAck:
		return n.handleAck(m, now)
	case Request:
		v, out := n.reply(m, quota(m.Workspace), now)
		return append(out, Envelope{from, Message{Kind: Reply, From: self, To: m.From, ID: m.ID, Verdict: v}})
	case Claim:
		if n.Ranked {
			return n.handleRankedClaim(m, from, now)
		}
		return n.handleClaim(m.Shard, now)
	default:
		return nil
	}
}

// acceptCredit adds a credit to the ledger unless it was in transit for too long.
func (n *Node) acceptCredit(m *Message, now time.Time) {
	transit := now.Sub(time.Unix(0, m.OwnerClock).Add(m.ClockAge))
	if m.OwnerClock == 0 || m.Fleet <= 0 || m.Span <= 0 || transit > maxTransit || transit < -maxTransit {
		return
	}
	n.ledger.add(m.Shard, min(m.Span, maxTokenLife), max(m.Fleet, n.fleetSize), now)
}

// handleAck records that an owner is alive, and sends it the credits that were held back
// until its clock was known.
func (n *Node) handleAck(m *Message, now time.Time) []Envelope {
	delete(n.ackDueSince, m.From)
	if m.Leaving {
		n.exclude(m.From, now)
		n.chooseOwners(now)
		return nil
	}
	_, known := n.ownerClocks[m.From]
	n.setOwnerClock(m, now)
	if known {
		return nil
	}
	var out []Envelope
	for shard, owner := range n.owners {
		if owner.id != m.From {
			continue
		}
		if e, ok := n.credit(shard, now); ok {
			out = append(out, e)
		}
	}
	return out
}

// reply returns the verdict on a peer's request. A repeated request, sent because no reply
// has arrived, gets the same verdict: else each reply that is lost or late would cost
// another token.
func (n *Node) reply(m *Message, quota *cataloger.Quota, now time.Time) (Verdict, []Envelope) {
	key := requestKey{m.From, m.ID}
	if r, known := n.replies[key]; known {
		return r.verdict, nil
	}
	if quota == nil {
		return Verdict{Undecided: true, RetryAfter: minRetryAfter}, nil
	}
	v, out := n.decide(m, *quota, now)
	if n.Ranked && v.Undecided {
		return v, out // nothing is spent, and it may be granted a moment later
	}
	if n.replies == nil {
		n.replies = map[requestKey]cachedReply{}
	}
	n.replies[key] = cachedReply{v, now}
	return v, out
}

// claimShard returns the claims that notify all others that this process gets requests for
// a shard: its owner may have ended, which the others would notice only later.
func (n *Node) claimShard(shard int, now time.Time) []Envelope {
	if now.Sub(n.lastClaim[shard]) < claimInterval {
		return nil
	}
	n.lastClaim[shard] = now
	out := make([]Envelope, 0, len(n.others))
	for i := range n.others {
		m := Message{Kind: Claim, From: n.self.id, To: n.others[i].id, Shard: shard}
		if n.Ranked {
			m.OwnerClock = now.UnixNano()
		}
		out = append(out, Envelope{n.others[i].Address, m})
	}
	return out
}

// handleClaim handles another process's claim of a shard. An owner that has not acked a
// credit is excluded sooner then.
func (n *Node) handleClaim(shard int, now time.Time) []Envelope {
	owner := n.owners[shard]
	since, unacked := n.ackDueSince[owner.id]
	if !unacked || now.Sub(since) < claimedAckTimeout {
		return nil
	}
	n.OwnerTimedOut(owner.id, now)
	if e, ok := n.credit(shard, now); ok {
		return []Envelope{e}
	}
	return nil
}

// Take spends a token of a workspace at this process.
func (n *Node) Take(workspace string, q cataloger.Quota, now time.Time) (Verdict, []Envelope) {
	n.ledger.fleet, n.ledger.alive = 0, 0
	v := n.ledger.take(workspace, n.Tolerance.tokenLimit(q), now)
	if !v.Undecided {
		return v, nil
	}
	return v, n.claimShard(Shard(workspace), now)
}
