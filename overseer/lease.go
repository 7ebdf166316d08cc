package overseer

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"basildale.example/basildale/adapter/keeper"
	"basildale.example/basildale/carrier"
	"basildale.example/basildale/gossiper"
	"basildale.example/basildale/replacer"
	"basildale.example/basildale/versioner"
)

// Intervals and timeouts of claiming a lease.
const (
	// holderTimeout is how long no holder of a group is seen before another process claims the
	// lease: three rounds of gossip and a margin. The timeout is multiplied for a holder that
	// has more peers to notify than it notifies in each round.
	holderTimeout = 3*gossiper.RoundInterval + 100*time.Millisecond
	// maxPeerStateAge is how long a peer's report on a leader, and its place in the order,
	// count. The report of a peer that has since been partitioned or died would delay a change
	// of leader.
	maxPeerStateAge = holderTimeout
	// rankDelay is how much longer each process in the order waits than the one before it, so
	// that one of them writes to the store and the others learn of it.
	rankDelay = 400 * time.Millisecond
	// claimTimeout bounds all store calls of one claim.
	claimTimeout = 2 * time.Second
	// claimInterval is the minimum time between two claims of one process.
	claimInterval = time.Second
)

// leaseKind is the kind of the store's objects that record lease holders.
const leaseKind = "duties"

// leaseRecord is the value of an object of that kind.
type leaseRecord struct {
	Holder string `json:"holder"`
	// Start distinguishes incarnations of the holder, and Claim its writes.
	Start int64  `json:"start"`
	Claim uint64 `json:"claim"`
	// Roster is what the next holder must know of the group.
	Roster carrier.Roster `json:"roster,omitzero"`
}

// isSameWrite reports whether two records are of the same write.
func (r *leaseRecord) isSameWrite(o leaseRecord) bool {
	return r.Holder == o.Holder && r.Start == o.Start && r.Claim == o.Claim
}

// revisionBits is how many bits of a token hold the revision of a claim, above those of the
// position in the block: a store with 400 writes a second needs more after 87 years.
const revisionBits = 40

// tokenOf returns the first token of the block of a claim that was written at a version. The
// token depends on nothing that a restore removes: a store never issues the same version twice,
// and a later version is higher, no matter who remembers the earlier ones.
func tokenOf(v versioner.Version) (uint64, error) {
	if v.Era > versioner.MaxEra || v.Revision >= 1<<revisionBits {
		return 0, errors.Newf("overseer: no token for the version %s", v)
	}
	return (v.Era<<revisionBits | v.Revision) * replacer.TokenBlockSize, nil
}

// eraOf returns the era in which a token was claimed.
func eraOf(token uint64) uint64 { return token / replacer.TokenBlockSize >> revisionBits }

// lease is what this process knows of the lease of one group.
type lease struct {
	token        uint64         // first token of this process's block; zero when it does not hold the lease
	lastHolder   gossiper.State // the holder seen last; empty when it is this process
	holderSeenAt time.Time      // when a holder was last seen, including this process
	maxToken     uint64         // highest token seen
	claiming     bool
	nextClaim    time.Time // earliest time of the next claim
	// record is this process's record in the store while it holds the lease, and recordedAt
	// its version.
	record     leaseRecord
	recordedAt versioner.Version
	nextRecord time.Time // earliest time of the next write of the record
}

// update applies what the peers that report on the group say about the lease holder. A process that sees a
// higher token than its own has been replaced.
func (l *lease) update(group string, peers []gossiper.Peer, now time.Time) {
	for _, p := range peers {
		token := p.Groups[group].Token
		if token == 0 {
			continue
		}
		l.maxToken = max(l.maxToken, token)
		if token >= l.maxToken && p.LastSeen.After(l.holderSeenAt) {
			l.holderSeenAt, l.lastHolder = p.LastSeen, p.State
		}
	}
	if l.token > 0 && l.token < l.maxToken {
		l.token = 0
	}
	if l.token > 0 {
		l.holderSeenAt, l.lastHolder = now, gossiper.State{}
	}
	if l.holderSeenAt.IsZero() {
		l.holderSeenAt = now
	}
}

// releaseUnlessGateway releases the lease at a process that is no longer a gateway for the
// group, and reports whether there was a lease to release. Such a process sees nothing of the
// group, and as long as it reports that it holds the lease no other process claims it: a leader
// that is leaving would still serve until it stops, 10 s later.
func (l *lease) releaseUnlessGateway(isGateway bool) bool {
	if isGateway || l.token == 0 {
		return false
	}
	l.token = 0
	return true
}

// rank returns this process's place in the order of the processes that may claim a lease.
func (o *Overseer) rank(group string, peers []gossiper.Peer, now time.Time) int {
	own := weight(group, o.Name)
	rank := 0
	for _, p := range peers {
		if now.Sub(p.LastSeen) < maxPeerStateAge && !p.Leaving && p.Groups[group].IsGateway && weight(group, p.Name) > own {
			rank++
		}
	}
	return rank
}

func weight(group, name string) uint64 { return xxhash.Sum64String(group + " " + name) }

// shouldClaim reports whether this process should claim the lease of a group now. peers are
// those that report on the group, live all that are live.
func (o *Overseer) shouldClaim(g *group, peers, live []gossiper.Peer, now time.Time) bool {
	l := &g.lease
	if l.token > 0 || l.claiming || now.Before(l.nextClaim) || o.Leaving() || !g.carrierGroup.IsGateway() {
		return false
	}
	silence := now.Sub(l.holderSeenAt)
	if silence <= holderTimeout {
		return false // the usual case; computing the rest costs CPU time
	}
	return silence > l.maxSilence(live)+time.Duration(o.rank(g.carrierGroup.Name(), peers, now))*rankDelay
}

// shouldReclaim reports whether this process should claim a lease again that it already holds:
// the store was restored, and the record of the lease may be lost.
func (o *Overseer) shouldReclaim(g *group, now time.Time) bool {
	l := &g.lease
	if l.token == 0 || l.claiming || now.Before(l.nextClaim) || o.Leaving() {
		return false
	}
	return eraOf(l.token) < o.Era() && !g.replacer.Busy()
}

// maxSilence returns how long the holder may go unseen. In each round the holder notifies a
// limited number of the gateways for its groups, and the others in later rounds.
func (l *lease) maxSilence(peers []gossiper.Peer) time.Duration {
	notified := 0
	for _, p := range peers {
		if gossiper.SharesLeasedGroup(l.lastHolder, p.State) {
			notified++
		}
	}
	rounds := max(1, (notified+gossiper.MaxGroupPeers-1)/gossiper.MaxGroupPeers)
	return time.Duration(rounds) * holderTimeout
}

// claimResult is the result of a claim.
type claimResult struct {
	group string
	token uint64
	// record is what was written, and recordedAt its version.
	record     leaseRecord
	recordedAt versioner.Version
	err        error
}

// claim claims the lease by a conditional update. The record goes on naming the members that
// the former holder recorded.
func (o *Overseer) claim(ctx context.Context, group string, known carrier.Roster) claimResult {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	held, at, err := o.readRecord(ctx, group)
	if err != nil {
		return claimResult{group: group, err: err}
	}
	next := o.newRecord(known.Merge(held.Roster))
	at, err = o.putRecord(ctx, group, next, at)
	if err != nil {
		return claimResult{group: group, err: err}
	}
	if known := o.Era(); at.Era < known {
		err := errors.Wrapf(keeper.ErrEra, "claimed in era %d, and %d is known", at.Era, known)
		return claimResult{group: group, err: err}
	}
	token, err := tokenOf(at)
	return claimResult{group: group, token: token, record: next, recordedAt: at, err: err}
}

func (o *Overseer) newRecord(roster carrier.Roster) leaseRecord {
	return leaseRecord{Holder: o.Name, Start: o.Start, Claim: o.claimCount.Add(1), Roster: roster}
}

// putRecord replaces the record at a version. When the answer is lost, the record is read back
// to find out whether the update was applied.
func (o *Overseer) putRecord(ctx context.Context, group string, next leaseRecord, replaced versioner.Version) (versioner.Version, error) {
	written, err := o.Store.Put(ctx, leaseKind, group, replaced.Revision, next)
	at := written.At()
	if errors.Is(err, keeper.ErrLost) {
		var held leaseRecord
		if held, at, err = o.readRecord(ctx, group); err == nil && !held.isSameWrite(next) {
			err = keeper.ErrConflict
		}
	}
	return at, err
}

func (o *Overseer) readRecord(ctx context.Context, group string) (leaseRecord, versioner.Version, error) {
	object, err := o.Store.Get(ctx, leaseKind, group)
	if errors.Is(err, keeper.ErrMissing) {
		return leaseRecord{}, versioner.Version{}, nil
	}
	if err != nil {
		return leaseRecord{}, versioner.Version{}, err
	}
	var held leaseRecord
	err = object.Decode(&held)
	return held, object.At(), errors.Wrap(err, "overseer: decode lease record")
}

// onClaimResult applies the result of a claim.
func (o *Overseer) onClaimResult(c claimResult, now time.Time) {
	l := &o.groups[c.group].lease
	l.claiming = false
	l.nextClaim = now.Add(claimInterval)
	if c.err != nil {
		o.Log.Info("overseer: lease not claimed", zap.String("group", c.group), zap.Error(c.err))
		return
	}
	if c.token < l.maxToken {
		return
	}
	l.token = c.token
	l.maxToken = c.token
	l.holderSeenAt = now
	l.record, l.recordedAt = c.record, c.recordedAt
	o.groups[c.group].carrierGroup.RestoreRoster(c.record.Roster)
	o.Log.Info("overseer: lease claimed", zap.String("group", c.group), zap.Uint64("token", c.token))
}
