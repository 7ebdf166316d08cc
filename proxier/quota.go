package proxier

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"basildale.example/basildale/carrier"
	"basildale.example/basildale/cataloger"
	"basildale.example/basildale/gossiper"
	"basildale.example/basildale/throttler"
)

const (
	// quotaTickInterval is the time between two passes that send credits and check shard
	// owners.
	quotaTickInterval = throttler.CreditInterval / 2
	// startTickInterval replaces it while a ranked process does not know the fleet yet and so
	// credits no time: after a start of all processes nothing is granted before that.
	startTickInterval = 25 * time.Millisecond
	// noQuotaInterval is the time between two checks whether any workspace has a quota.
	noQuotaInterval = time.Second
	// tokenRequestTimeout is how long to wait for a shard owner's reply before the request is
	// repeated: datagrams get lost.
	tokenRequestTimeout = 60 * time.Millisecond
	// maxTokenRequests is how often a request is sent to a shard owner before another process
	// replaces it.
	maxTokenRequests = 4
	// minRetryAfter is the shortest delay that is reported to a refused caller.
	minRetryAfter = 50 * time.Millisecond
	// maxTokenWait is how long a statement may wait for a definite verdict.
	maxTokenWait = 600 * time.Millisecond
)

// Counters of operations that need a token of their workspace.
const (
	quotaGranted = "basildale_quota_granted"
	quotaRefused = "basildale_quota_refused"
	quotaUnsure  = "basildale_quota_unsure"
)

// quotaLimiter has each operation counted by the process that owns the shard of its workspace.
// It is safe for concurrent use.
type quotaLimiter struct {
	gossip *gossiper.Gossiper
	// transmit sends a datagram to a peer.
	transmit  func(b []byte, to netip.AddrPort) error
	view      func() *cataloger.View
	increment func(name string, n int64)
	now       func() time.Time
	log       *zap.Logger
	// millicores is this process's CPU capacity in thousandths of a core.
	millicores int

	// ranked reports whether the more urgent operations of a workspace go first; nil for never.
	ranked func() bool

	mu            sync.Mutex
	node          throttler.Node
	lastRequestID uint64
	pending       map[uint64]chan throttler.Verdict
	// inquiries holds the ranked operations by the IDs of their requests.
	inquiries map[uint64]*inquiry
}

// admit takes a token for one operation out of a workspace's quota, or returns the refusal if
// it gets none.
func (q *quotaLimiter) admit(job *carrier.Job) carrier.Answer {
	workspace, deadline := job.Workspace, job.Deadline
	quota := q.view().Quota(workspace)
	if quota == nil {
		return carrier.Answer{}
	}
	if q.isRanked() {
		return q.admitRanked(job, *quota)
	}
	waitUntil := time.Now().Add(maxTokenWait)
	if deadline.Before(waitUntil) {
		waitUntil = deadline
	}
	v := q.takeToken(workspace, *quota)
	for !v.Granted && v.Undecided && time.Now().Add(v.RetryAfter).Before(waitUntil) {
		time.Sleep(v.RetryAfter)
		v = q.takeToken(workspace, *quota)
	}
	if q.count(v); v.Granted {
		return carrier.Answer{}
	}
	return q.refuse(workspace, *quota, v)
}

// count counts a verdict.
func (q *quotaLimiter) count(v throttler.Verdict) {
	switch {
	case v.Granted:
		q.increment(quotaGranted, 1)
	case v.Undecided:
		q.increment(quotaUnsure, 1)
	default:
		q.increment(quotaRefused, 1)
	}
}

func (q *quotaLimiter) refuse(workspace string, quota cataloger.Quota, v throttler.Verdict) carrier.Answer {
	q.logRefusal(workspace, quota, v)
	retryAfter := max(v.RetryAfter, minRetryAfter).Round(time.Millisecond)
	return carrier.Answer{Code: carrier.Busy, Text: quotaCause(v) + "; come back in " + retryAfter.String()}
}

func (q *quotaLimiter) logRefusal(workspace string, quota cataloger.Quota, v throttler.Verdict, more ...zap.Field) {
	q.mu.Lock()
	owner, _ := q.node.Owner(workspace)
	q.mu.Unlock()
	q.log.Info("proxier: operation refused by the workspace's quota", append([]zap.Field{
		zap.String("workspace", workspace), zap.Float64("rate", quota.Rate), zap.Float64("burst", quota.Burst),
		zap.String("holder", owner.Name), zap.Bool("unsure", v.Undecided), zap.Duration("back", v.RetryAfter), zap.Uint64("configuration", q.view().Config.Version),
	}, more...)...)
}

// quotaCause returns the text of a refusal.
func quotaCause(v throttler.Verdict) string {
	if v.Undecided {
		return "what is left of the workspace's quota isn't known"
	}
	return "the workspace's quota is used up"
}

// takeToken takes a token from the shard owner of a workspace.
func (q *quotaLimiter) takeToken(workspace string, quota cataloger.Quota) throttler.Verdict {
	q.mu.Lock()
	owner, remote := q.node.Owner(workspace)
	if !remote {
		v, out := q.node.Take(workspace, quota, q.now())
		q.mu.Unlock()
		q.send(out)
		return v
	}
	q.lastRequestID++
	m := throttler.Message{Kind: throttler.Request, From: throttler.NewID(q.node.Self), To: throttler.NewID(owner.Name), ID: q.lastRequestID, Workspace: workspace}
	reply := make(chan throttler.Verdict, 1)
	q.pending[m.ID] = reply
	q.mu.Unlock()
	for range maxTokenRequests {
		q.send([]throttler.Envelope{{To: owner.Address, Message: m}})
		select {
		case v := <-reply:
			return v
		case <-time.After(tokenRequestTimeout):
		}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.pending, m.ID)
	q.node.OwnerTimedOut(throttler.NewID(owner.Name), q.now())
	q.log.Info("proxier: shard owner of the workspace's quota does not answer", zap.String("holder", owner.Name), zap.String("workspace", workspace))
	return throttler.Verdict{Undecided: true}
}

// receive handles a datagram of a peer.
func (q *quotaLimiter) receive(b []byte, from netip.AddrPort) {
	m, err := throttler.Decode(b)
	if err != nil {
		q.log.Debug("proxier: invalid datagram dropped", zap.Stringer("from", from), zap.Error(err))
		return
	}
	q.mu.Lock()
	q.node.Ranked = q.isRanked()
	if m.Kind == throttler.Reply {
		q.replyToInquiry(&m)
		if reply, isPending := q.pending[m.ID]; isPending && m.To == throttler.NewID(q.node.Self) {
			delete(q.pending, m.ID)
			reply <- m.Verdict
		}
		q.mu.Unlock()
		return
	}
	out := q.node.Receive(&m, from, q.view().Quota, q.now())
	checkClaim := m.Kind == throttler.Claim && q.node.HasClaims()
	q.mu.Unlock()
	q.send(out)
	if checkClaim {
		time.AfterFunc(throttler.ClaimCheckDelay, q.tick)
	}
}

func (q *quotaLimiter) send(out []throttler.Envelope) {
	for i := range out {
		b, err := throttler.Encode(&out[i].Message)
		if err == nil {
			err = q.transmit(b, out[i].To)
		}
		if err != nil {
			q.log.Debug("proxier: datagram not sent", zap.Stringer("to", out[i].To), zap.Error(err))
		}
	}
}

// run sends the credits of this process to the shard owners, once it knows its peers.
func (q *quotaLimiter) run(ctx context.Context, knowsPeers, knowsFleet, isLeaving func() bool) {
	timer := time.NewTimer(quotaTickInterval)
	defer timer.Stop()
	var updatedAt time.Time
	var digest uint32
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		if len(q.view().Config.Workspaces) == 0 {
			timer.Reset(noQuotaInterval)
			continue
		}
		timer.Reset(q.tickInterval(knowsFleet()))
		now := q.now()
		changed := q.gossip.Digest() != digest
		if (changed || now.Sub(updatedAt) >= time.Minute) && knowsPeers() {
			updatedAt, digest = now, q.gossip.Digest()
			q.updateMembers(now)
		}
		q.mu.Lock()
		q.node.Leaving, q.node.IsFleetKnown, q.node.Ranked = isLeaving(), knowsFleet(), q.isRanked()
		q.mu.Unlock()
		q.tick()
	}
}

// tickInterval returns the time to the next pass.
func (q *quotaLimiter) tickInterval(knowsFleet bool) time.Duration {
	if q.isRanked() && !knowsFleet {
		return startTickInterval
	}
	return quotaTickInterval
}

// updateMembers sets which processes may own shards, and how many processes issue credits.
func (q *quotaLimiter) updateMembers(now time.Time) {
	fleet := q.gossip.Fleet()
	members := make([]throttler.Member, 0, len(fleet))
	for _, m := range fleet {
		if m.Condition == gossiper.Alive {
			members = append(members, throttler.Member{Name: m.Name, Address: m.GossipAddr, Millicores: int(m.Millicores)})
		}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.node.SetFleet(throttler.Member{Name: q.node.Self, Millicores: q.millicores}, members, len(fleet)+1, now)
}
