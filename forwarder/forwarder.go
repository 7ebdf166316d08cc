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
	// shunFor is how long a peer that didn't answer is passed over, unless it is heard
	// of again before.
	shunFor = 5 * time.Second
	// hops bounds how many peers one statement is offered to.
	hops = 3
	// sampleTimeout bounds the question for a sample: a way to a peer, and from
	// there to the leader.
	sampleTimeout = 200 * time.Millisecond
	// slack is what the peer's answer may be late by, beyond the statement's time.
	slack = 50 * time.Millisecond
	// recheck is the time until the second look whether this process or a peer can
	// serve a statement that waits; each next one is twice as long, up to
	// longestRecheck. A group is without a leader for 0.3 to 2 s.
	recheck        = 50 * time.Millisecond
	longestRecheck = 200 * time.Millisecond
)

// Forwarder decides who carries, and asks peers. Set the exported fields before
// the first use.
type Forwarder struct {
	// Local finds the groups of this process.
	Local func(name string) (*carrier.Group, bool)
	// Gateways returns the peers that carry for a group and that nobody says are silent.
	Gateways func(group string) []Candidate
	// LeaderFault, when set, returns what this process finds wrong with a group's leader.
	LeaderFault func(group string) gossiper.LeaderFault
	// Send hands a payload to the peer at an address and returns its answer.
	Send func(ctx context.Context, to netip.AddrPort, payload json.RawMessage) (json.RawMessage, error)
	// Name and Zone are this process's, the latter its availability zone.
	Name string
	Zone string
	// Now is the clock of package carrier.
	Now func() time.Time
	Log *zap.Logger

	streams atomic.Uint64
	serving server

	mu    sync.Mutex
	lost  map[netip.AddrPort]time.Time // peers that didn't answer, and when
	noted map[subject]note             // what peers said with their answers
}

// ErrUnsent marks an error of Send after which the peer surely has heard nothing.
var ErrUnsent = errors.New("forwarder: not sent")

// Group returns what runs statements of a group, and whether the group is known.
func (f *Forwarder) Group(name string) (carrier.Runner, bool) {
	g, ok := f.Local(name)
	if !ok {
		return nil, false
	}
	return &path{f: f, group: g}, true
}

// Sample asks a peer for a position of a group's leader that is taken after the
// question.
func (f *Forwarder) Sample(group string) (tracker.Mark, bool) {
	p, ok := f.peer(wish{group: group, leader: true})
	if !ok {
		return tracker.Mark{}, false
	}
	ctx, cancel := context.WithTimeout(context.Background(), sampleTimeout)
	defer cancel()
	resp, err := f.ask(ctx, p, request{Action: takeSample, Group: group, Left: sampleTimeout})
	if err != nil || resp.Refused || resp.Answer.Code != carrier.OK {
		return tracker.Mark{}, false
	}
	return resp.Answer.Mark, true
}

// wish is what a peer is looked for.
type wish struct {
	group     string
	workspace string
	leader    bool                    // only the leader will do
	tried     map[netip.AddrPort]bool // these are passed over
}

// peer returns a peer that carries for a group and reaches its leader: one of
// the own availability zone, if there is any, or the first in the order of the
// statement's workspace. Where the leader isn't needed, one that
// doesn't reach it will do when there is no other: while a leader is replaced all
// carriers miss it, and their samples stay young enough for some seconds.
func (f *Forwarder) peer(w wish) (Candidate, bool) {
	var best []Candidate
	rank := 0
	now := f.Now()
	for _, p := range f.Gateways(w.group) {
		if !p.Address.IsValid() || w.tried[p.Address] || f.shunned(p, now) {
			continue
		}
		reaches := f.trouble(w.group, p, now).IsLeaderReachable()
		own := f.rank(p, reaches)
		switch {
		case w.leader && !reaches, own < rank && w.workspace == "":
		case w.workspace != "" && len(best) > 0 && !f.precedes(w, p, best[0], now):
		case w.workspace != "" || own > rank:
			best, rank = []Candidate{p}, own
		default:
			best = append(best, p)
		}
	}
	if len(best) == 0 {
		return Candidate{}, false
	}
	return best[rand.IntN(len(best))], true
}

// rank says how good a peer is for a statement: one that reaches the leader before one
// that doesn't, then one of the own availability zone before others.
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

// HasLiveGateway reports whether a live peer carries for a group, whatever it finds of the
// leader: while that is being replaced all carriers find it bad, and a process that
// took itself for cut off would go to the upstreams on its own.
func (f *Forwarder) HasLiveGateway(group string) bool {
	now := f.Now()
	for _, p := range f.Gateways(group) {
		if !f.shunned(p, now) {
			return true
		}
	}
	return false
}

// Blind reports whether every peer that carries for a group, as far as is known, is cut
// off from whichever upstream leads next. Waiting for them is in vain: see the comment
// in carrier. Where one of them says nothing lately, as many as a statement is offered
// to have to say so.
func (f *Forwarder) Blind(group string) bool {
	blind, silent := 0, 0
	now := f.Now()
	for _, p := range f.Gateways(group) {
		trouble, known := f.word(group, p, now)
		switch {
		case !known:
			silent++
		case trouble != gossiper.Isolated:
			return false
		default:
			blind++
		}
	}
	return blind > 0 && (silent == 0 || blind >= hops)
}

// shunned reports whether a peer didn't answer lately and hasn't been heard since.
func (f *Forwarder) shunned(p Candidate, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	at, lost := f.lost[p.Address]
	return lost && now.Sub(at) < shunFor && !p.LastSeen.After(at)
}

// miss passes a peer over for a while.
func (f *Forwarder) miss(p Candidate, err error) {
	f.Log.Info("forwarder: peer lost", zap.String("peer", p.Name), zap.Duration("heard", f.Now().Sub(p.LastSeen)), zap.Error(err))
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lost == nil {
		f.lost = map[netip.AddrPort]time.Time{}
	}
	f.lost[p.Address] = f.Now()
}

// ask sends a request to a peer.
func (f *Forwarder) ask(ctx context.Context, p Candidate, r request) (response, error) {
	payload, err := json.Marshal(r)
	if err != nil {
		return response{}, errors.Wrap(err, "forwarder: request")
	}
	answer, err := f.Send(ctx, p.Address, payload)
	if err != nil {
		f.miss(p, err)
		return response{}, err
	}
	var resp response
	if err = json.Unmarshal(answer, &resp); err != nil {
		return response{}, errors.Wrap(err, "forwarder: response")
	}
	f.note(r.Group, p, resp.Trouble)
	return resp, nil
}

// bounded returns a context that ends a little after a job's time.
func bounded(j *carrier.Job) (context.Context, context.CancelFunc) {
	return context.WithDeadline(context.Background(), j.Deadline.Add(slack))
}
