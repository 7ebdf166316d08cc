package steerer

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"basildale.example/basildale/finder"
	"basildale.example/basildale/relayer"
	"basildale.example/basildale/retrier"
	"basildale.example/basildale/router"
	"basildale.example/basildale/tracker"
)

const (
	// look is how often a waiting statement looks for a new view.
	look = 5 * time.Millisecond
	// back is when a refused caller may come back where nobody knows better.
	back = time.Second
	// defaultPatience is how long a read may wait for a replica.
	defaultPatience = 100 * time.Millisecond
	// defaultSlots is how many statements run on an upstream for this proxy
	// before the next one is expected to wait.
	defaultSlots = 2
)

// View is the latest view of a group. It never changes.
type View struct {
	Snapshot *tracker.Snapshot
	// Addresses and Leaving go by the indexes of the snapshot.
	Addresses []netip.AddrPort
	Leaving   []bool
	// Hold asks to hold new writes until then; zero: no.
	Hold time.Time
}

// Steerer routes units. Set the exported fields before its first use. It may be
// used from several goroutines.
type Steerer struct {
	// View returns the latest view of a group; false if there is no such group.
	View func(group string) (View, bool)
	// Find finds the mark of a session, as [finder.Finder.Find].
	Find func(ctx context.Context, key tracker.Key, deadline time.Time) (finder.Found, error)
	// Ready reports whether writes of named sessions can be acknowledged, as
	// [finder.Finder.Ready]. Nil means always.
	Ready func() bool
	// Refresh asks an upstream for its state and returns when that has reached
	// the view, or failed. Nil leaves it to the samples.
	Refresh func(ctx context.Context, group string, upstream netip.AddrPort)
	// Patience returns how long a read may wait for a replica. Nil means 100 ms.
	Patience func(r *relayer.Request) time.Duration
	// Slots is how many statements may run on one upstream for this proxy. Zero
	// means 2.
	Slots int
	// Random decides between equals. Nil takes the runtime's source.
	Random func() uint64
	// Recorder keeps the decisions; nil means nobody does.
	Recorder *router.Recorder

	once  sync.Once
	start time.Time
	mu    sync.Mutex
	loads map[string]*load
}

// load is the use of a group's upstreams.
type load struct {
	*router.Load
	addresses []netip.AddrPort
}

func (s *Steerer) prepare() {
	s.start = time.Now()
	s.loads = make(map[string]*load)
	if s.Random == nil {
		s.Random = rand.Uint64
	}
	if s.Slots == 0 {
		s.Slots = defaultSlots
	}
}

// load returns the use of a group's upstreams, begun anew when they change.
func (s *Steerer) load(group string, addresses []netip.AddrPort) *load {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.loads[group]
	if l == nil || !slices.Equal(l.addresses, addresses) {
		l = &load{Load: router.NewLoad(len(addresses), s.Slots, s.start), addresses: addresses}
		s.loads[group] = l
	}
	return l
}

// Route chooses the upstream for a unit, or refuses it. It waits until the
// unit's deadline at the longest.
func (s *Steerer) Route(ctx context.Context, r *relayer.Request) (relayer.Target, *relayer.Refusal) {
	s.once.Do(s.prepare)
	if !r.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, r.Deadline)
		defer cancel()
	}
	req := router.Request{Write: !r.Read(), Mark: r.Notes.Mark, Known: true, Deadline: r.Deadline, Random: s.Random()}
	if r.Notes.AnyAge {
		// An age of zero is stated too: then only the primary is young enough.
		req.Age = max(r.Notes.Age, 1)
	}
	if refusal := s.mark(ctx, r, &req); refusal != nil {
		return relayer.Target{}, refusal
	}
	req.Patience = time.Now().Add(s.patience(r))
	return s.decide(ctx, r, &req)
}

func (s *Steerer) patience(r *relayer.Request) time.Duration {
	if s.Patience == nil {
		return defaultPatience
	}
	return s.Patience(r)
}

// mark finds the mark of a read, and keeps it with the connection of a session
// without a name. A write of a named session needs other proxies to be there.
func (s *Steerer) mark(ctx context.Context, r *relayer.Request, req *router.Request) *relayer.Refusal {
	named := r.Notes.Session != ""
	switch {
	case req.Write && named && s.Ready != nil && !s.Ready():
		return refuse(retrier.Refused, time.Now().Add(back), "this proxy is cut off from the others")
	case req.Write, !named && r.Notes.Known:
		return nil
	}
	key := tracker.Key{Tenant: r.Account.Tenant, Session: r.Notes.Session, Group: r.Account.Group}
	found, err := s.Find(ctx, key, r.Deadline)
	if err != nil {
		return failed(err, found)
	}
	if req.Mark.Less(found.Mark) {
		req.Mark = found.Mark
	}
	if !named {
		r.Notes.Mark, r.Notes.Known = req.Mark, true
	}
	return nil
}

// decide decides, and again after each wait.
func (s *Steerer) decide(ctx context.Context, r *relayer.Request, req *router.Request) (relayer.Target, *relayer.Refusal) {
	var last router.Decision
	for {
		v, ok := s.View(r.Account.Group)
		if !ok {
			return relayer.Target{}, refuse(retrier.Forbidden, time.Time{}, "there is no such group")
		}
		now := time.Now()
		l := s.load(r.Account.Group, v.Addresses)
		req.Barred = barred(r, &v)
		d := router.Decide(req, v.Snapshot, l.Load, now)
		if d.Reason != last.Reason || d.Action != last.Action {
			s.record(r, d, now)
		}
		last = d
		held := req.Write && now.Before(v.Hold)
		switch {
		case d.Action == router.Go && !held:
			return s.target(r, &v, l, d, now), nil
		case d.Action == router.Refuse:
			return relayer.Target{}, refuse(retrier.Late, now.Add(back), "no upstream can answer in time")
		case d.Action == router.Ask:
			if _, err := s.Find(ctx, tracker.Key{Group: r.Account.Group}, r.Deadline); err != nil {
				return relayer.Target{}, failed(err, finder.Found{Retry: now.Add(back)})
			}
		case d.Reason == router.WaitReplica && s.Refresh != nil && !now.Add(look).Before(d.Until):
			s.pause(ctx, d.Until.Sub(now))
			s.Refresh(ctx, r.Account.Group, v.Addresses[d.Target])
			continue
		}
		s.pause(ctx, look)
		if err := ctx.Err(); err != nil {
			return relayer.Target{}, failed(err, finder.Found{})
		}
	}
}

// barred returns the upstreams that the unit may not go to: those that leave, and
// a replica that has just failed it. There is no other primary to go to.
func barred(r *relayer.Request, v *View) router.Mask {
	var m router.Mask
	for i, a := range v.Addresses {
		failed := a == r.Avoid && i != v.Snapshot.Primary
		if failed || i < len(v.Leaving) && v.Leaving[i] {
			m = m.With(i)
		}
	}
	return m
}

func (s *Steerer) record(r *relayer.Request, d router.Decision, now time.Time) {
	if s.Recorder == nil {
		return
	}
	s.Recorder.Add(router.Record{At: now, Group: r.Account.Group, Session: r.Notes.Session, Decision: d})
}

// pause waits for d or the end of ctx.
func (s *Steerer) pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// failed says what the caller is told when a mark can't be found.
func failed(err error, found finder.Found) *relayer.Refusal {
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return refuse(retrier.Late, found.Retry, "no upstream was found in time")
	}
	return refuse(retrier.Refused, found.Retry, "no primary is known for certain")
}

func refuse(cause retrier.Cause, retry time.Time, message string) *relayer.Refusal {
	return &relayer.Refusal{
		Outcome: retrier.Outcome{Kind: retrier.NotRun, Cause: cause, Back: retry},
		Message: message,
	}
}
