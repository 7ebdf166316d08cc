package daemon

import (
	"cmp"
	"context"
	"math"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"basildale.example/basildale/adapter/keeper"
	"basildale.example/basildale/controller"
	"basildale.example/basildale/leaver"
	"basildale.example/basildale/membership"
)

// CutError ends Run when the stop had to cut something: at its deadline or by a
// second signal. It names what was cut.
type CutError struct{ Summary leaver.Summary }

// Error returns the summary.
func (e *CutError) Error() string { return "daemon: stop cut short: " + e.Summary.String() }

// Hasten is a second signal: a stop that runs ends at once, with a CutError.
// Before the end of Run's context and before Drain it begins a stop.
func (d *Daemon) Hasten() {
	d.once.Do(d.prepare)
	select {
	case d.hastened <- struct{}{}:
	default: // one waits already
	}
}

// callers serves callers until the stop that signal or Drain begins is over.
func (d *Daemon) callers(signal context.Context) error {
	serving, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- d.server.Run(serving) }()
	select {
	case <-d.server.Started():
		close(d.started)
	case err := <-ended:
		return err
	}
	err := d.stop(signal)
	cancel()
	return errors.CombineErrors(err, <-ended)
}

// stopping drives the stop of one process. It belongs to one goroutine.
type stopping struct {
	d       *Daemon
	process leaver.Process
	wanted  map[string]time.Time // groups to be led by another, since when
	events  chan leaver.Event
	silent  bool // the platform didn't take the last announcement
	exit    *leaver.Exit
}

// stopBacklog is more than the outcomes that can be under way at once.
const stopBacklog = 16

// stop waits until the process is to stop, and carries the stop out. It returns
// when callers are gone; the error says what was cut, if anything was.
func (d *Daemon) stop(ctx context.Context) error {
	s := &stopping{d: d, process: d.Leave, wanted: map[string]time.Time{}, events: make(chan leaver.Event, stopBacklog)}
	fit(&s.process, d.Settings.Stop)
	signal, drained := ctx.Done(), (<-chan struct{})(d.drained)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for s.exit == nil {
		var ev leaver.Event
		select {
		case <-signal:
			signal = nil
			// An orchestrator sends its one signal after an operator's drain too:
			// that is no wish to cut.
			ev = leaver.Tick{}
			if !s.process.Leaving() {
				ev = leaver.Begin{Cause: leaver.Signal, Groups: s.led()}
			}
		case <-d.hastened:
			// A last count, so that all that is cut is named.
			s.handle(s.load(math.MaxInt))
			ev = leaver.Begin{Cause: leaver.Signal, Groups: s.led()}
		case <-drained:
			drained = nil
			ev = leaver.Begin{Cause: leaver.Drain, Groups: s.led()}
		case ev = <-s.events:
			if a, ok := ev.(leaver.Announced); ok {
				s.silent = !a.OK
			}
		case l := <-d.listings:
			ev = l
			if !l.Live && !s.process.Leaving() {
				ev = leaver.Begin{Cause: leaver.Platform, Groups: s.led()}
			}
		case <-timer.C:
			ev = leaver.Tick{}
		}
		s.handle(ev)
		if next := s.process.Next(); !next.IsZero() {
			timer.Reset(max(0, time.Until(next)))
		}
	}
	return s.ended()
}

// fit sets what is not set so that it fits the limit: a wait for the list that is
// as long as the whole stop would have each stop end at its deadline.
func fit(p *leaver.Process, limit time.Duration) {
	p.StopTimeout = cmp.Or(p.StopTimeout, limit, leaver.DefaultStopTimeout)
	p.MaxListAge = cmp.Or(p.MaxListAge, min(leaver.DefaultMaxListAge, p.StopTimeout/3))
	p.BalancerDelay = cmp.Or(p.BalancerDelay, min(leaver.DefaultBalancerDelay, p.StopTimeout/6))
	p.IdleDrainDuration = cmp.Or(p.IdleDrainDuration, min(leaver.DefaultIdleDrainDuration, p.StopTimeout/4))
}

func (s *stopping) ended() error {
	if s.exit.Code == 0 {
		s.d.Log.Info("daemon: stopped", zap.Stringer("summary", s.exit.Summary))
		return nil
	}
	s.d.Log.Error("daemon: stop cut short", zap.Stringer("summary", s.exit.Summary))
	s.d.server.Cut()
	return &CutError{Summary: s.exit.Summary}
}

// led returns the groups that are led here. Where there is no other proxy to
// take them they aren't handed over: nobody could answer.
func (s *stopping) led() []string {
	if !s.others() {
		return nil
	}
	var list []string
	r := s.d.coordinator.Config()
	if r == nil {
		return nil
	}
	for _, g := range r.Groups {
		if v := s.d.coordinator.View(g.Name); v != nil && v.Leader == s.self() {
			list = append(list, g.Name)
		}
	}
	return list
}

func (s *stopping) self() string { return controller.MemberID(s.d.Peers(), s.d.Seed) }

// askWithin bounds a question to the control goroutine, so that a stop gets on
// while that one hangs.
const askWithin = time.Second

// others reports whether a live proxy is there that doesn't leave as well.
func (s *stopping) others() bool {
	found := false
	ctx, cancel := context.WithTimeout(context.Background(), askWithin)
	defer cancel()
	err := s.d.coordinator.Ask(ctx, func(c *controller.Controller) {
		for _, m := range c.Members() {
			found = found || m.Addr != s.d.Peers() && !m.Leaving && m.Health == membership.Alive
		}
	})
	if err != nil {
		s.d.Log.Warn("daemon: members not known during the stop", zap.Error(err))
		return false
	}
	return found
}

func (s *stopping) handle(ev leaver.Event) {
	for _, cmd := range s.process.Handle(ev, time.Now()) {
		s.carryOut(cmd)
	}
}

func (s *stopping) carryOut(cmd leaver.Command) {
	switch cmd := cmd.(type) {
	case leaver.AnnouncePeers:
		s.d.left.Store(true)
		s.d.coordinator.Tell(controller.Membership{Event: membership.Leave{}})
	case leaver.AnnouncePlatform:
		s.announce()
	case leaver.HandOver:
		if s.wanted[cmd.Group].IsZero() {
			s.wanted[cmd.Group] = time.Now()
		}
	case leaver.CloseListener:
		s.d.server.CloseListener()
	case leaver.CountSessions:
		s.handedOver()
		s.tell(s.load(cmd.Number))
	case leaver.EndIdle:
		s.d.server.EndIdle(cmd.Limit)
	case leaver.ReturnShares:
		s.returnShares()
	case leaver.Exit:
		s.exit = &cmd
	}
}

// tell queues an outcome for the next turn. A full backlog drops it: each of
// them is asked for again.
func (s *stopping) tell(ev leaver.Event) {
	select {
	case s.events <- ev:
	default:
	}
}

// leavingKind is the platform's kind of the announcements, by instance name.
const leavingKind = "leaving"

// announcement is what a balancer's operator may watch. After Until it says
// nothing any more: the run that wrote it has ended.
type announcement struct {
	Address netip.AddrPort `json:"address"`
	Zone    string         `json:"zone"`
	Until   time.Time      `json:"until"`
}

// onListed looks for this instance in the platform's list. One that isn't there
// says nothing while we serve: a list that lags doesn't have a new instance yet.
func (d *Daemon) onListed(proxies []membership.Instance) {
	i := slices.IndexFunc(proxies, func(p membership.Instance) bool { return p.Addr == d.Peers() })
	if i < 0 && !d.left.Load() {
		return
	}
	select {
	case d.listings <- leaver.Listed{Live: i >= 0 && !proxies[i].Leaving}:
	default: // the next list comes in a second
	}
}

// announce writes that this instance leaves. The platform's instance list takes
// no word from us. Without a platform there is no list that lags.
func (s *stopping) announce() {
	if s.d.platform == nil {
		s.tell(leaver.Listed{Live: false})
		return
	}
	a := announcement{Address: s.d.Callers(), Zone: s.d.Settings.Zone, Until: time.Now().Add(s.process.StopTimeout)}
	go func() { s.tell(leaver.Announced{OK: s.d.announce(a) == nil}) }()
}

func (d *Daemon) announce(a announcement) error {
	ctx, cancel := context.WithTimeout(context.Background(), putWithin)
	defer cancel()
	o, err := d.platform.Get(ctx, leavingKind, d.Settings.Name)
	if err != nil && !errors.Is(err, keeper.ErrMissing) {
		return errors.Wrap(err, "daemon: announce")
	}
	_, err = d.platform.Put(ctx, leavingKind, d.Settings.Name, o.Version, a)
	return errors.Wrap(err, "daemon: announce")
}

// handWithin bounds the wait for another leader. Proxies that stop at the same
// time may each take the other for a taker for as long as the membership takes to
// notice; deputies act by their own rank in any case.
const handWithin = 2 * time.Second

// handedOver looks whether others lead the groups now. While nobody else is left
// to take one, waiting for it is of no use: its lease runs out.
func (s *stopping) handedOver() {
	for group, since := range s.wanted {
		v := s.d.coordinator.View(group)
		switch {
		case v == nil:
			s.tell(leaver.HandedOver{Group: group, To: "nobody: the group is gone", OK: true})
		case v.Leader != s.self():
			s.tell(leaver.HandedOver{Group: group, To: v.Leader, OK: true})
		case !v.Leads && s.silent:
			// The deputies act by their own rank, though the record still has
			// our name: while the platform is down it can't be written.
			s.tell(leaver.HandedOver{Group: group, To: "the deputies", OK: true})
		case !s.others():
			s.tell(leaver.HandedOver{Group: group, To: "nobody: no other proxy is live", OK: true})
		case time.Since(since) > handWithin:
			s.tell(leaver.HandedOver{Group: group, To: "nobody in time", OK: true})
		default:
			continue
		}
		delete(s.wanted, group)
	}
}

func (s *stopping) load(number int) leaver.SessionCounts {
	l := s.d.server.Load()
	out := leaver.SessionCounts{Number: number, Idle: l.Idle, Ended: l.Ended, Finished: l.Finished}
	for _, b := range l.Busy {
		out.Busy = append(out.Busy, leaver.Session{
			ID: strconv.FormatUint(uint64(b.Process), 10), Tenant: b.Tenant, Transaction: b.Transaction,
		})
	}
	return out
}

func (s *stopping) returnShares() {
	if s.d.Return == nil {
		s.tell(leaver.SharesReturned{OK: true})
		return
	}
	go func() { s.tell(leaver.SharesReturned{OK: s.d.Return() == nil}) }()
}
