package overseer

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"basildale.example/basildale/adapter/keeper"
	"basildale.example/basildale/gossiper"
	"basildale.example/basildale/replacer"
	"basildale.example/basildale/versioner"
)

// Times of taking the duty over.
const (
	// holderSilence is how long no holder of a group is heard before another
	// process takes the duty: three rounds of gossip and some. A holder with more
	// peers to tell than it tells each round has as many times as long.
	holderSilence = 3*gossiper.RoundInterval + 100*time.Millisecond
	// lately is how long what a peer said of a leader, and its place in the order,
	// count. What one said that was cut off or has died meanwhile would hold a change of
	// leader up.
	lately = holderSilence
	// rankDelay holds back each next process in the order, so that one of them
	// writes to the store and the others hear of it.
	rankDelay = 400 * time.Millisecond
	// claimTimeout bounds the calls of one claim.
	claimTimeout = 2 * time.Second
	// claimPause is the time between two claims of one process.
	claimPause = time.Second
)

// kind is the kind of the store's objects that record who has a duty.
const kind = "duties"

// record is the value of such an object.
type record struct {
	Holder string `json:"holder"`
	// Start tells the runs of the holder apart, and Claim its claims.
	Start int64  `json:"start"`
	Claim uint64 `json:"claim"`
}

// revisionBits is how many bits of a token the revision of a claim takes, before those of
// the place in the block: a store that is written to 400 times a second needs more after
// 87 years.
const revisionBits = 40

// tokenOf returns the first of the block of tokens of a claim that was written at a
// version. It depends on nothing that a restore takes away: a store gives no version out
// twice, and one that is later is higher, whoever remembers the earlier ones.
func tokenOf(v versioner.Version) (uint64, error) {
	if v.Era > versioner.MaxEra || v.Revision >= 1<<revisionBits {
		return 0, errors.Newf("overseer: no token for the version %s", v)
	}
	return (v.Era<<revisionBits | v.Revision) * replacer.TokenBlockSize, nil
}

// eraOf returns the era that a token was taken in.
func eraOf(token uint64) uint64 { return token / replacer.TokenBlockSize >> revisionBits }

// duty is what this process knows of the duty for one group.
type duty struct {
	token    uint64         // of this process; zero without the duty
	holder   gossiper.State // that was heard last; empty when it is this process
	heard    time.Time      // when a holder was last heard, this process included
	highest  uint64         // token heard of
	claiming bool
	next     time.Time // no claim before
}

// hear takes in what the live peers say of who holds the duty. A process that
// hears of a higher token than its own has been replaced.
func (d *duty) hear(group string, peers []gossiper.Peer, now time.Time) {
	for _, p := range peers {
		token := p.Groups[group].Token
		if token == 0 {
			continue
		}
		d.highest = max(d.highest, token)
		if token >= d.highest && p.LastSeen.After(d.heard) {
			d.heard, d.holder = p.LastSeen, p.State
		}
	}
	if d.token > 0 && d.token < d.highest {
		d.token = 0
	}
	if d.token > 0 {
		d.heard, d.holder = now, gossiper.State{}
	}
	if d.heard.IsZero() {
		d.heard = now
	}
}

// abandon gives the duty up at a process that doesn't carry for the group any more: it
// sees nothing of the group, and as long as it says that it has the duty nobody else
// takes it. One sees a leader that leaves serve until it is gone, 10 s later. It
// reports whether there was a duty.
func (d *duty) abandon(carries bool) bool {
	if carries || d.token == 0 {
		return false
	}
	d.token = 0
	return true
}

// rank returns this process's place in the order of those that may take a duty.
func (o *Overseer) rank(group string, peers []gossiper.Peer, now time.Time) int {
	own := weight(group, o.Name)
	rank := 0
	for _, p := range peers {
		if now.Sub(p.LastSeen) < lately && !p.Leaving && p.Groups[group].IsGateway && weight(group, p.Name) > own {
			rank++
		}
	}
	return rank
}

func weight(group, name string) uint64 { return xxhash.Sum64String(group + " " + name) }

// wants reports whether this process should take the duty now.
func (o *Overseer) wants(d *duty, group string, peers []gossiper.Peer, now time.Time) bool {
	if d.token > 0 || d.claiming || now.Before(d.next) || o.Leaving() || !o.groups[group].carried.IsGateway() {
		return false
	}
	silent := now.Sub(d.heard)
	if silent <= holderSilence {
		return false // the usual case, and the rest takes time
	}
	return silent > d.patience(peers)+time.Duration(o.rank(group, peers, now))*rankDelay
}

// renews reports whether this process should take a duty that it has once more: the store
// was restored, and the record of the duty may be gone.
func (o *Overseer) renews(g *group, now time.Time) bool {
	d := &g.duty
	if d.token == 0 || d.claiming || now.Before(d.next) || o.Leaving() {
		return false
	}
	return eraOf(d.token) < o.Era() && !g.replacer.Busy()
}

// patience is how long the holder may be silent. It tells so many of those that carry
// for its groups each round, and the others in later ones.
func (d *duty) patience(peers []gossiper.Peer) time.Duration {
	charges := 0
	for _, p := range peers {
		if gossiper.HoldsLeaseFor(d.holder, p.State) {
			charges++
		}
	}
	turns := max(1, (charges+gossiper.MaxGroupPeers-1)/gossiper.MaxGroupPeers)
	return time.Duration(turns) * holderSilence
}

// claimed is the outcome of a claim.
type claimed struct {
	group string
	token uint64
	err   error
}

// claim takes the duty by a conditional update. A lost answer is settled by
// reading back what stands there.
func (o *Overseer) claim(ctx context.Context, group string) claimed {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	_, at, err := o.read(ctx, group)
	if err != nil {
		return claimed{group: group, err: err}
	}
	next := record{Holder: o.Name, Start: o.Start, Claim: o.claims.Add(1)}
	written, err := o.Store.Put(ctx, kind, group, at.Revision, next)
	at = written.At()
	if errors.Is(err, keeper.ErrLost) {
		var held record
		if held, at, err = o.read(ctx, group); err == nil && held != next {
			err = keeper.ErrConflict
		}
	}
	if err != nil {
		return claimed{group: group, err: err}
	}
	if known := o.Era(); at.Era < known {
		err := errors.Wrapf(keeper.ErrEra, "claimed in era %d, and %d is known", at.Era, known)
		return claimed{group: group, err: err}
	}
	token, err := tokenOf(at)
	return claimed{group: group, token: token, err: err}
}

func (o *Overseer) read(ctx context.Context, group string) (record, versioner.Version, error) {
	object, err := o.Store.Get(ctx, kind, group)
	if errors.Is(err, keeper.ErrMissing) {
		return record{}, versioner.Version{}, nil
	}
	if err != nil {
		return record{}, versioner.Version{}, err
	}
	var held record
	err = json.Unmarshal(object.Value, &held)
	return held, object.At(), errors.Wrap(err, "overseer: record of a duty")
}

// took takes in the outcome of a claim.
func (o *Overseer) took(c claimed, now time.Time) {
	d := &o.groups[c.group].duty
	d.claiming = false
	d.next = now.Add(claimPause)
	if c.err != nil {
		o.Log.Info("overseer: duty not taken", zap.String("group", c.group), zap.Error(c.err))
		return
	}
	if c.token < d.highest {
		return
	}
	d.token = c.token
	d.highest = c.token
	d.heard = now
	o.Log.Info("overseer: duty taken", zap.String("group", c.group), zap.Uint64("token", c.token))
}
