package forwarder

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"basildale.example/basildale/carrier"
	"basildale.example/basildale/gossiper"
	"basildale.example/basildale/tracker"
)

// Bounds of forwarding.
const (
	// skipDuration is how long a peer that did not answer is skipped, unless a datagram
	// from it is received before.
	skipDuration = 5 * time.Second
	// maxOffers is the maximum number of peers that a statement is offered to.
	maxOffers = 3
	// sampleTimeout bounds the request for a position sample: one trip to a peer, and from
	// there to the leader. It also bounds the request to roll back a transaction at a
	// peer.
	sampleTimeout = 200 * time.Millisecond
	// deadlineSlack is how late a peer's answer may be after the statement's deadline.
	deadlineSlack = 50 * time.Millisecond
	// minRecheckDelay is the delay before the first recheck whether this process or a peer
	// can run a statement that waits. Each delay is twice the one before, up to
	// maxRecheckDelay. A group is without a leader for 0.3 to 2 s.
	minRecheckDelay = 50 * time.Millisecond
	maxRecheckDelay = 200 * time.Millisecond
)

// Forwarder decides which process runs statements, and forwards them to peers. Set the
// exported fields before the first use.
type Forwarder struct {
	// Local returns a group of this process.
	Local func(name string) (*carrier.Group, bool)
	// Gateways returns the peers that are gateways of a group, except those that the
	// membership list has as suspect or dead.
	Gateways func(group string) []Candidate
	// LeaderFault, when set, returns the fault of a group's leader as this process sees it.
	LeaderFault func(group string) gossiper.LeaderFault
	// Send sends a payload to the peer at an address and returns its answer.
	Send func(ctx context.Context, to netip.AddrPort, payload json.RawMessage) (json.RawMessage, error)
	// CancelsWaiting, when set, reports whether a statement leaves a peer's queue when its
	// caller disconnects.
	CancelsWaiting func() bool
	// Substitutes, when set, reports whether statements may go to substitutes of gateways, and
	// Loans holds those of this process.
	Substitutes func() bool
	Loans       *Loans
	// HedgesReads, when set, reports whether a read that a gateway has not answered in the usual
	// time is offered to a second one, and CountHedged, when set, counts these.
	HedgesReads func() bool
	CountHedged func()
	// BoundsLoad, when set, reports whether a workspace that is too large for one gateway is
	// divided over several, and CountSpread, when set, counts a statement that goes to another
	// one than the first in the workspace's order.
	BoundsLoad  func() bool
	CountSpread func()
	// IsStopping, when set, reports whether this process stops so soon that it accepts nothing
	// new from peers.
	IsStopping func() bool
	// Name is this process's name, and Zone its availability zone.
	Name string
	Zone string
	// Now is the clock of package carrier.
	Now func() time.Time
	Log *zap.Logger

	streams      atomic.Uint64
	transactions transactionTable
	served       servedTable
	hedges       hedges
	bounds       bounds

	mu        sync.Mutex
	lostPeers map[netip.AddrPort]time.Time // peers that did not answer, and when
	reports   map[reportKey]report         // faults that peers reported with answers
}

// What an error of Send is marked with. Any other error leaves open what the peer has done.
var (
	// ErrUnsent means that the peer has run nothing.
	ErrUnsent = errors.New("forwarder: not sent")
	// ErrRequest means that the peer could not decode the request; ErrUnsent comes beside it.
	ErrRequest = errors.New("forwarder: request not understood")
	// ErrBusy means that the peer runs too many large requests; ErrUnsent comes beside it.
	ErrBusy = errors.New("forwarder: too many large requests")
	// ErrTooLarge means that the request is too large to be sent; ErrUnsent comes beside it.
	ErrTooLarge = errors.New("forwarder: request too large")
	// ErrAnswerTooLarge means that the peer has run the request, and that its answer is too
	// large to be sent.
	ErrAnswerTooLarge = errors.New("forwarder: answer too large")
)

// Group returns the runner of a group's statements, and whether the group is known.
func (f *Forwarder) Group(name string) (carrier.Runner, bool) {
	g, ok := f.Local(name)
	if !ok {
		return nil, false
	}
	return &groupRunner{f: f, group: g}, true
}

// Sample requests from a peer a position sample of a group's leader that is taken after
// the request.
func (f *Forwarder) Sample(group string) (tracker.Mark, bool) {
	p, ok := f.choosePeer(criteria{group: group, needsLeader: true})
	if !ok {
		return tracker.Mark{}, false
	}
	ctx, cancel := context.WithTimeout(context.Background(), sampleTimeout)
	defer cancel()
	r := request{Action: takeSample, Group: group, Left: sampleTimeout}
	resp, err := f.call(ctx, p, r)
	if err == nil && resp.Refused && resp.Substitute != nil && f.usesSubstitutes() {
		resp, err = f.call(ctx, resp.Substitute.candidate(p.Address), r)
	}
	if err != nil || resp.Refused || resp.Answer.Code != carrier.OK {
		return tracker.Mark{}, false
	}
	return resp.Answer.Mark, true
}

// criteria are what a peer is chosen by.
type criteria struct {
	group       string
	workspace   string
	needsLeader bool                    // only a peer that reaches the leader qualifies
	tried       map[netip.AddrPort]bool // peers to skip
	preferred   string                  // gateway chosen by load; "" where affinity decides
}

// choosePeer returns a gateway of a group that reaches its leader: one of the same
// availability zone if there is any, or, for a statement of a workspace, the one with the
// highest affinity. Where the leader is not needed, a gateway that does not reach it will
// do when there is no other: while a leader is replaced no gateway reaches it, and their
// position samples stay young enough for some seconds.
func (f *Forwarder) choosePeer(c criteria) (Candidate, bool) {
	if c.needsLeader && f.usesSubstitutes() {
		return f.chooseWithSubstitutes(c)
	}
	var best []Candidate
	bestRank := 0
	now := f.Now()
	for _, p := range f.Gateways(c.group) {
		if !p.Address.IsValid() || c.tried[p.Address] || f.isSkipped(p, now) {
			continue
		}
		reaches := f.leaderFault(c.group, p, now).IsLeaderReachable()
		peerRank := f.rank(p, reaches)
		switch {
		case c.needsLeader && !reaches, peerRank < bestRank && c.workspace == "":
		case c.workspace != "" && len(best) > 0 && !f.precedes(c, p, best[0], now):
		case c.workspace != "" || peerRank > bestRank:
			best, bestRank = []Candidate{p}, peerRank
		default:
			best = append(best, p)
		}
	}
	if len(best) == 0 {
		return Candidate{}, false
	}
	return best[rand.IntN(len(best))], true
}

// rank rates a peer for a statement: one that reaches the leader ranks higher than one
// that does not, then one of the same availability zone higher than others.
func (f *Forwarder) rank(p Candidate, reaches bool) int {
	rank := 0
	if reaches {
		rank += 2
	}
	if p.Zone == f.Zone {
		rank++
	}
	return rank
}

// HasLiveGateway reports whether a live peer is a gateway of a group, whatever fault of
// the leader it reports: while the leader is replaced all gateways report one, and a
// process that considered itself isolated would go to the upstreams directly.
func (f *Forwarder) HasLiveGateway(group string) bool {
	now := f.Now()
	for _, p := range f.Gateways(group) {
		if !f.isSkipped(p, now) {
			return true
		}
	}
	return false
}

// AreGatewaysIsolated reports whether every gateway of a group, as far as is known, is
// isolated from whichever upstream leads next. Waiting for them is useless then: the
// caller does better to go to a process on the other side of the partition. If some
// gateways have not reported lately, at least maxOffers others have to report that they
// are isolated.
func (f *Forwarder) AreGatewaysIsolated(group string) bool {
	isolated, unknown := 0, 0
	now := f.Now()
	for _, p := range f.Gateways(group) {
		fault, known := f.reportedFault(group, p, now)
		switch {
		case !known:
			unknown++
		case fault != gossiper.Isolated:
			return false
		default:
			isolated++
		}
	}
	return isolated > 0 && (unknown == 0 || isolated >= maxOffers)
}

// isSkipped reports whether a peer did not answer lately and no datagram from it was
// received since.
func (f *Forwarder) isSkipped(p Candidate, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	at, lost := f.lostPeers[p.Address]
	return lost && now.Sub(at) < skipDuration && !p.LastSeen.After(at)
}

// markLost makes a peer that did not answer be skipped for a while.
func (f *Forwarder) markLost(p Candidate, request string, err error) {
	f.Log.Info("forwarder: peer did not answer", zap.String("peer", p.Name), zap.String("request", request), zap.Duration("heard", f.Now().Sub(p.LastSeen)), zap.Error(err))
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lostPeers == nil {
		f.lostPeers = map[netip.AddrPort]time.Time{}
	}
	f.lostPeers[p.Address] = f.Now()
}

// call sends a request to a peer and returns its response.
func (f *Forwarder) call(ctx context.Context, p Candidate, r request) (response, error) {
	payload, err := json.Marshal(r)
	if err != nil {
		return response{}, errors.Wrap(err, "forwarder: encode request")
	}
	end := f.trackForwarded(p, &r)
	answer, err := f.Send(ctx, p.Address, payload)
	end()
	if err != nil {
		if !errors.IsAny(err, ErrRequest, ErrBusy, ErrTooLarge, ErrAnswerTooLarge) { // the peer is alive
			f.markLost(p, r.Request, err)
		}
		return response{}, err
	}
	var resp response
	if err = json.Unmarshal(answer, &resp); err != nil {
		return response{}, errors.Wrap(err, "forwarder: decode response")
	}
	f.addReport(r.Group, p, &resp)
	f.recordLoads(r.Group, resp.Loads)
	return resp, nil
}

// withDeadline returns a context that ends a little after a job's deadline.
func withDeadline(j *carrier.Job) (context.Context, context.CancelFunc) {
	return context.WithDeadline(context.Background(), j.Deadline.Add(deadlineSlack))
}
