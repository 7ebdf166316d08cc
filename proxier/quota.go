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
	// throttleEvery is the time between two looks after gifts and holders.
	throttleEvery = throttler.CreditInterval / 2
	// unthrottled is the time between two looks whether any workspace has a quota.
	unthrottled = time.Second
	// askAgain is how long the word of a holder is awaited before it is asked once
	// more: datagrams get lost.
	askAgain = 60 * time.Millisecond
	// asks is how often a holder is asked before another one is taken in its place.
	asks = 4
	// leastBack is the shortest time that a caller is told to come back after.
	leastBack = 50 * time.Millisecond
	// askFor is how long a statement may wait for a word that is sure.
	askFor = 600 * time.Millisecond
)

// Counters of operations that need a token of their workspace.
const (
	quotaGranted = "basildale_quota_granted"
	quotaRefused = "basildale_quota_refused"
	quotaUnsure  = "basildale_quota_unsure"
)

// throttle has operations counted by the process that holds their workspace's tokens. It
// may be used by several goroutines.
type throttle struct {
	gossip *gossiper.Gossiper
	view   func() *cataloger.View
	count  func(name string, n int64)
	now    func() time.Time
	log    *zap.Logger
	// millicores is this process's processor in thousandths of a core.
	millicores int

	mu    sync.Mutex
	node  throttler.Node
	asked uint64
	await map[uint64]chan throttler.Verdict
}

// admit takes one operation off a workspace's quota, or says that there is none left.
func (t *throttle) admit(workspace string, deadline time.Time) carrier.Answer {
	quota := t.view().Quota(workspace)
	if quota == nil {
		return carrier.Answer{}
	}
	until := time.Now().Add(askFor)
	if deadline.Before(until) {
		until = deadline
	}
	v := t.take(workspace, *quota)
	for !v.Granted && v.Unsure && time.Now().Add(v.RetryAfter).Before(until) {
		time.Sleep(v.RetryAfter)
		v = t.take(workspace, *quota)
	}
	switch {
	case v.Granted:
		t.count(quotaGranted, 1)
		return carrier.Answer{}
	case v.Unsure:
		t.count(quotaUnsure, 1)
	default:
		t.count(quotaRefused, 1)
	}
	return t.refuse(workspace, *quota, v)
}

func (t *throttle) refuse(workspace string, quota cataloger.Quota, v throttler.Verdict) carrier.Answer {
	t.mu.Lock()
	holder, _ := t.node.Owner(workspace)
	t.mu.Unlock()
	t.log.Info("proxier: operation beyond the quota", zap.String("workspace", workspace), zap.Float64("rate", quota.Rate), zap.Float64("burst", quota.Burst),
		zap.String("holder", holder.Name), zap.Bool("unsure", v.Unsure), zap.Duration("back", v.RetryAfter), zap.Uint64("configuration", t.view().Config.Version))
	cause := "the workspace's quota is used up"
	if v.Unsure {
		cause = "what is left of the workspace's quota isn't known"
	}
	back := max(v.RetryAfter, leastBack).Round(time.Millisecond)
	return carrier.Answer{Code: carrier.Busy, Text: cause + "; come back in " + back.String()}
}

// take has a token spent by its holder.
func (t *throttle) take(workspace string, quota cataloger.Quota) throttler.Verdict {
	t.mu.Lock()
	holder, remote := t.node.Owner(workspace)
	if !remote {
		v, out := t.node.Take(workspace, quota, t.now())
		t.mu.Unlock()
		t.send(out)
		return v
	}
	t.asked++
	m := throttler.Message{Kind: throttler.Request, From: throttler.NewID(t.node.Self), To: throttler.NewID(holder.Name), ID: t.asked, Workspace: workspace}
	word := make(chan throttler.Verdict, 1)
	t.await[m.ID] = word
	t.mu.Unlock()
	for range asks {
		t.send([]throttler.Envelope{{To: holder.Address, Message: m}})
		select {
		case v := <-word:
			return v
		case <-time.After(askAgain):
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.await, m.ID)
	t.node.OwnerTimedOut(throttler.NewID(holder.Name), t.now())
	t.log.Info("proxier: holder of quotas doesn't answer", zap.String("holder", holder.Name), zap.String("workspace", workspace))
	return throttler.Verdict{Unsure: true}
}

// receive takes in a datagram of a peer.
func (t *throttle) receive(b []byte, from netip.AddrPort) {
	m, err := throttler.Decode(b)
	if err != nil {
		t.log.Debug("proxier: datagram dropped", zap.Stringer("from", from), zap.Error(err))
		return
	}
	t.mu.Lock()
	if m.Kind == throttler.Reply {
		if word, awaited := t.await[m.ID]; awaited && m.To == throttler.NewID(t.node.Self) {
			delete(t.await, m.ID)
			word <- m.Verdict
		}
		t.mu.Unlock()
		return
	}
	out := t.node.Receive(&m, from, t.view().Quota, t.now())
	t.mu.Unlock()
	t.send(out)
}

func (t *throttle) send(out []throttler.Envelope) {
	for i := range out {
		b, err := throttler.Encode(&out[i].Message)
		if err == nil {
			err = t.gossip.Send(b, out[i].To)
		}
		if err != nil {
			t.log.Debug("proxier: datagram not sent", zap.Stringer("to", out[i].To), zap.Error(err))
		}
	}
}

// run gives the tokens that this process makes to their holders, once it knows its peers.
func (t *throttle) run(ctx context.Context, known, settled, leaving func() bool) {
	timer := time.NewTimer(throttleEvery)
	defer timer.Stop()
	var joined time.Time
	var digest uint32
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		if len(t.view().Config.Workspaces) == 0 {
			timer.Reset(unthrottled)
			continue
		}
		timer.Reset(throttleEvery)
		now := t.now()
		changed := t.gossip.Digest() != digest
		if (changed || now.Sub(joined) >= time.Minute) && known() {
			joined, digest = now, t.gossip.Digest()
			t.join(now)
		}
		t.mu.Lock()
		t.node.Leaving, t.node.IsFleetKnown = leaving(), settled()
		out := t.node.Tick(now)
		t.mu.Unlock()
		t.send(out)
	}
}

// join tells who may hold tokens, and how many processes make some.
func (t *throttle) join(now time.Time) {
	fleet := t.gossip.Fleet()
	members := make([]throttler.Member, 0, len(fleet))
	for _, m := range fleet {
		if m.Condition == gossiper.Alive {
			members = append(members, throttler.Member{Name: m.Name, Address: m.GossipAddr, Millicores: int(m.Millicores)})
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.node.SetFleet(throttler.Member{Name: t.node.Self, Millicores: t.millicores}, members, len(fleet)+1, now)
}
