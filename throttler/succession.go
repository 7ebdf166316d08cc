package throttler

import (
	"net/netip"
	"slices"
	"time"

	"basildale.example/basildale/cataloger"
)

const (
	// suspectTimeout is the time without an answer after which a process gives its time to
	// another one that claims the shard. It is several round trips between zones.
	suspectTimeout = 40 * time.Millisecond
	// silenceTimeout is the time without any message from an owner that was asked for a token
	// after which it is excluded. A process with a fifth of a core may be stopped by its CPU
	// limit for 80 ms of every 100 ms.
	silenceTimeout = 120 * time.Millisecond
	// claimTTL is how long a claim counts after it was received.
	claimTTL = 300 * time.Millisecond
	// maxExcluded bounds the exclusions that are kept for Excluded.
	maxExcluded = 64
)

// shardClaim is another process's claim of a shard whose owner has not been found silent yet.
type shardClaim struct {
	by         Member
	receivedAt time.Time
}

// HasClaims reports whether a claim waits for its owner to answer or to be found silent. Call
// Tick ClaimCheckDelay after a claim was received then.
func (n *Node) HasClaims() bool {
	if !n.Ranked {
		return false
	}
	for i := range n.claims {
		if n.claims[i].by.id != 0 {
			return true
		}
	}
	return false
}

// ClaimCheckDelay is the time after a claim at which its owner is found silent.
const ClaimCheckDelay = suspectTimeout

// expectAnswer records that a process was asked for a token.
func (n *Node) expectAnswer(id ID, now time.Time) {
	if n.silentSince == nil {
		n.silentSince = map[ID]time.Time{}
	}
	if _, waiting := n.silentSince[id]; !waiting {
		n.silentSince[id] = now
	}
}

// Heard records that a process has sent a message, of whichever kind.
func (n *Node) Heard(id ID) { delete(n.silentSince, id) }

// expireSilent excludes the processes that have not answered a request.
func (n *Node) expireSilent(now time.Time) {
	for id, since := range n.silentSince {
		if now.Sub(since) >= silenceTimeout {
			delete(n.silentSince, id)
			n.OwnerTimedOut(id, now)
		}
	}
}

// noteSilent records a process that is about to be excluded because it does not answer.
func (n *Node) noteSilent(id ID, now time.Time) {
	if n.Ranked && !now.Before(n.excludedUntil[id]) && len(n.excluded) < maxExcluded {
		n.excluded = append(n.excluded, id)
	}
}

// Excluded returns the names of the processes that were excluded as owners since the last
// call because they did not answer. It is empty while Ranked is not set.
func (n *Node) Excluded() []string {
	var names []string
	for _, id := range n.excluded {
		for i := range n.others {
			if n.others[i].id == id {
				names = append(names, n.others[i].Name)
			}
		}
	}
	n.excluded = nil
	return names
}

// isSilent reports whether a process has owed an answer for a time.
func (n *Node) isSilent(id ID, timeout time.Duration, now time.Time) bool {
	asked, isAsked := n.silentSince[id]
	credited, isCredited := n.ackDueSince[id]
	return isAsked && now.Sub(asked) >= timeout || isCredited && now.Sub(credited) >= timeout
}

// handleRankedClaim gives the time of a shard to the process that claims it if the owner is
// silent, and probes the owner otherwise. A claim contains the sender's clock, without which
// a first credit would have to wait for an ack. Time is given only once, so a wrong claim
// takes some tokens from the owner but adds none. Only a process of the fleet is given time:
// what is recorded of others would never be dropped.
func (n *Node) handleRankedClaim(m *Message, from netip.AddrPort, now time.Time) []Envelope {
	if !n.joined || m.OwnerClock == 0 || !n.isMember(m.From) {
		return n.handleClaim(m.Shard, now)
	}
	n.setOwnerClock(m, now)
	owner := n.owners[m.Shard]
	switch owner.id {
	case n.self.id:
		return nil
	case m.From:
		if e, ok := n.credit(m.Shard, now); ok {
			return []Envelope{e}
		}
		return nil
	}
	n.claims[m.Shard] = shardClaim{Member{id: m.From, Address: from}, now}
	if out := n.settleClaim(m.Shard, now); out != nil || n.isSilent(owner.id, suspectTimeout, now) {
		return out
	}
	n.expectAck(owner.id, now)
	return []Envelope{{owner.Address, Message{Kind: Credit, From: n.self.id, To: owner.id, Shard: m.Shard, Fleet: n.fleetSize}}}
}

// isMember reports whether a process is one of those that are alive.
func (n *Node) isMember(id ID) bool {
	return slices.ContainsFunc(n.others, func(m Member) bool { return m.id == id })
}

// settleClaims settles all claims, and drops those that are too old or whose owner answers.
func (n *Node) settleClaims(now time.Time) []Envelope {
	var out []Envelope
	for shard := range n.claims {
		c := &n.claims[shard]
		if c.by.id == 0 {
			continue
		}
		owner := n.owners[shard].id
		_, isCredited := n.ackDueSince[owner]
		_, isAsked := n.silentSince[owner]
		if now.Sub(c.receivedAt) >= claimTTL || !isCredited && !isAsked {
			*c = shardClaim{}
			continue
		}
		out = append(out, n.settleClaim(shard, now)...)
	}
	return out
}

// settleClaim gives the time of a shard to the process that claims it if the owner is silent,
// and excludes the owner if it is silent for longer.
func (n *Node) settleClaim(shard int, now time.Time) []Envelope {
	c, owner := &n.claims[shard], n.owners[shard].id
	if !n.isSilent(owner, suspectTimeout, now) {
		return nil
	}
	claimant := c.by
	if n.isSilent(owner, claimedAckTimeout, now) {
		*c = shardClaim{}
		n.OwnerTimedOut(owner, now)
	}
	if e, ok := n.creditTo(shard, claimant, now); ok {
		return []Envelope{e}
	}
	return nil
}

// creditTo credits a shard's time to a process whose clock is known.
func (n *Node) creditTo(shard int, to Member, now time.Time) (Envelope, bool) {
	s, known := n.ownerClocks[to.id]
	if !known || !n.IsFleetKnown || !n.creditedUntil[shard].Before(now) {
		return Envelope{}, false
	}
	m := Message{
		Kind: Credit, From: n.self.id, To: to.id, Shard: shard, Fleet: n.fleetSize,
		Span: min(now.Sub(n.creditedUntil[shard]), maxTokenLife), OwnerClock: s.clock, ClockAge: now.Sub(s.receivedAt),
	}
	n.creditedUntil[shard] = now
	return Envelope{to.Address, m}, true
}

// expectAck records that an ack of a process is due.
func (n *Node) expectAck(id ID, now time.Time) {
	if n.ackDueSince == nil {
		n.ackDueSince = map[ID]time.Time{}
	}
	if _, waiting := n.ackDueSince[id]; !waiting {
		n.ackDueSince[id] = now
	}
}

// setOwnerClock records the clock of a message.
func (n *Node) setOwnerClock(m *Message, now time.Time) {
	if n.ownerClocks == nil {
		n.ownerClocks = map[ID]ownerClock{}
	}
	n.ownerClocks[m.From] = ownerClock{m.OwnerClock, now}
}

// TakeRanked takes a token for an operation at this process.
func (n *Node) TakeRanked(a Ask, now time.Time) (Verdict, []Envelope) {
	n.ledger.fleet, n.ledger.alive = max(1, n.fleetSize), len(n.others)+1
	v := n.ledger.takeRanked(&a, n.Tolerance.tokenLimit(a.Quota), now)
	if !v.Undecided {
		return v, nil
	}
	return v, n.claimShard(Shard(a.Workspace), now)
}

// decide decides on a peer's request.
func (n *Node) decide(m *Message, quota cataloger.Quota, now time.Time) (Verdict, []Envelope) {
	if !n.Ranked {
		return n.Take(m.Workspace, quota, now)
	}
	return n.TakeRanked(Ask{Workspace: m.Workspace, Quota: quota, Rank: m.Fleet, Left: m.Span}, now)
}
