package leaver

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// testHost simulates the environment of a Process: callers, the platform and its
// lagging list, the deputies and the owner of the shares. Time is virtual.
type testHost struct {
	now                 time.Time
	process             *Process
	idle                int
	busy                map[string]time.Time // sessions with a request in progress, and when it ends
	neverIdle           []Session            // sessions that never become idle
	arrivals            int                  // callers per second that connect while the list has this process as live
	listedAfter         time.Duration        // from the announcement until the list has it; 0: never
	platformDownFor     time.Duration        // the platform answers nothing until then
	refusals            int                  // number of handover attempts that fail
	sharesNeverReturned bool                 // ReturnShares gets no answer
	countsLate          bool                 // SessionCounts arrive one CountSessions late
	lastArrivals        int                  // callers that connect right before the listener is closed
	platformNotifiedAt  time.Time
	delayedCounts       *SessionCounts
	begin               time.Time
	closed              bool
	ended               int
	finished            int
	maxEnded            int // most sessions ended by one command
	exit                *Exit
	trace               []string
}

func newTestHost() *testHost {
	now := time.Unix(1_800_000_000, 0)
	return &testHost{now: now, begin: now, process: &Process{}, busy: make(map[string]time.Time)}
}

func (h *testHost) handle(ev Event) {
	for _, c := range h.process.Handle(ev, h.now) {
		h.execute(c)
	}
}

func (h *testHost) execute(c Command) {
	switch c := c.(type) {
	case AnnouncePeers:
		h.note("peers notified")
	case AnnouncePlatform:
		up := h.now.Sub(h.begin) >= h.platformDownFor
		if up && h.platformNotifiedAt.IsZero() {
			h.platformNotifiedAt = h.now
			h.note("platform notified")
		}
		h.handle(Announced{OK: up})
	case HandOver:
		h.refusals--
		h.handle(HandedOver{Group: c.Group, To: "deputy", OK: h.refusals < 0})
	case CountSessions:
		h.answerCount(c)
	case CloseListener:
		h.closed, h.idle = true, h.idle+h.lastArrivals
		h.note("listener closed")
	case EndIdle:
		n := min(c.Limit, h.idle)
		h.idle, h.ended, h.maxEnded = h.idle-n, h.ended+n, max(h.maxEnded, n)
	case ReturnShares:
		h.note("shares returned")
		if !h.sharesNeverReturned {
			h.handle(SharesReturned{OK: true})
		}
	case Exit:
		h.exit = &c
	}
}

func (h *testHost) answerCount(c CountSessions) {
	counts := SessionCounts{Number: c.Number, Idle: h.idle, Busy: append([]Session(nil), h.neverIdle...), Ended: h.ended, Finished: h.finished}
	for id := range h.busy {
		counts.Busy = append(counts.Busy, Session{ID: id, Tenant: "damplinjerne"})
	}
	if h.countsLate {
		if h.delayedCounts != nil {
			h.handle(*h.delayedCounts)
		}
		h.delayedCounts = &counts
		return
	}
	h.handle(counts)
}

func (h *testHost) note(s string) {
	h.trace = append(h.trace, fmt.Sprintf("%v %s", h.now.Sub(h.begin), s))
}

// run advances time by d in steps of 50 ms, or until the process has ended.
func (h *testHost) run(d time.Duration) {
	const step = 50 * time.Millisecond
	for end := h.now.Add(d); h.now.Before(end) && h.exit == nil; {
		h.now = h.now.Add(step)
		passed := h.now.Sub(h.begin)
		for id, until := range h.busy {
			if !h.now.Before(until) {
				delete(h.busy, id)
				h.idle, h.finished = h.idle+1, h.finished+1
			}
		}
		inList := h.platformNotifiedAt.IsZero() || h.listedAfter == 0 || h.now.Sub(h.platformNotifiedAt) < h.listedAfter
		if passed%time.Second == 0 {
			if inList && !h.closed {
				h.idle += h.arrivals
			}
			h.handle(Listed{Live: inList})
		}
		if next := h.process.Next(); !next.IsZero() && !next.After(h.now) {
			h.handle(Tick{})
		}
	}
}

func TestStops(t *testing.T) {
	second := time.Second
	interrupted := func(h *testHost) []Session { return h.exit.Summary.Interrupted }
	tests := []struct {
		name   string
		guards string // the failure that the case guards against
		set    func(*testHost)
		check  func(*is.I, *testHost)
	}{
		{
			"nothing to do", "An idle process waits for its deadline.",
			func(h *testHost) { h.listedAfter = second },
			func(is *is.I, h *testHost) { is.True(h.exit.Summary.Ended.Sub(h.begin) < 4*second) },
		},
		{
			"list lags", "Callers are refused because the load balancer reads an old list and sends them after the listener is closed.",
			func(h *testHost) { h.listedAfter, h.arrivals, h.idle = 6*second, 10, 100 },
			func(is *is.I, h *testHost) {
				is.Equal(h.ended, 100+5*10) // every caller that connected, none refused
				is.True(strings.HasPrefix(h.trace[2], "8"))
			},
		},
		{
			"list never has it as leaving", "The stop never ends because it waits for the list without a bound.",
			func(h *testHost) { h.arrivals, h.idle = 1, 10 },
			func(is *is.I, h *testHost) { is.True(h.exit.Summary.Ended.Sub(h.begin) < 20*second) },
		},
		{
			"platform down for the whole stop", "The stop never ends because the platform does not answer.",
			func(h *testHost) { h.platformDownFor, h.idle = time.Hour, 10 },
			func(is *is.I, h *testHost) { is.True(h.exit.Summary.PlatformNotNotified) },
		},
		{
			"platform down at first", "The platform is never notified because the announcement is sent only once.",
			func(h *testHost) { h.platformDownFor, h.listedAfter = 3*second, 2*second },
			func(is *is.I, h *testHost) {
				is.True(!h.exit.Summary.PlatformNotNotified)
				is.True(!h.platformNotifiedAt.IsZero())
			},
		},
		{
			"long request", "A request is interrupted because it takes longer than the list lags.",
			func(h *testHost) { h.listedAfter, h.busy["a"] = second, h.now.Add(30*second) },
			func(is *is.I, h *testHost) {
				is.Equal(h.finished, 1)
				is.True(h.exit.Summary.Ended.Sub(h.begin) >= 30*second)
			},
		},
		{
			"many idle sessions", "All callers reconnect at the same moment because all sessions are ended at once.",
			func(h *testHost) { h.listedAfter, h.idle = second, 5200 },
			func(is *is.I, h *testHost) {
				is.Equal(h.ended, 5200)
				is.True(h.maxEnded <= 5200/40)
			},
		},
		{
			"leadership not taken at first", "A group has no leader until the lease expires because the deputy refuses twice.",
			func(h *testHost) { h.listedAfter, h.refusals = second, 2 },
			func(is *is.I, h *testHost) { is.Equal(h.exit.Summary.GroupsHandedOver, []string{"billet-db-2>deputy"}) },
		},
		{
			"shares never confirmed", "The stop hangs at its last step.",
			func(h *testHost) { h.listedAfter, h.sharesNeverReturned = second, true },
			func(is *is.I, h *testHost) { is.True(!h.exit.Summary.ConnectionSharesReturned) },
		},
		{
			"counts come late", "A caller that connected right before the listener was closed is interrupted because an older count is taken as proof that no session is left.",
			func(h *testHost) { h.listedAfter, h.countsLate, h.lastArrivals = 2*second, true, 1 },
			func(is *is.I, h *testHost) { is.Equal(h.idle, 0) },
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := newTestHost()
			tt.set(h)
			h.handle(Begin{Cause: Drain, Groups: []string{"billet-db-2"}})
			h.run(2 * time.Minute)
			is.True(h.exit != nil)
			is.Equal(h.exit.Code, 0)
			is.Equal(len(interrupted(h)), 0)
			is.Equal(h.idle+len(h.busy), 0) // no session was left when it ended
			tt.check(is, h)
		})
	}
}

func TestForcedStopReportsInterruptedSessions(t *testing.T) {
	// Guards against a process that hangs when a caller holds a transaction open, or
	// that ends at the deadline or a second signal without reporting the sessions it
	// interrupted.
	open := Session{ID: "17", Tenant: "quetzaltenango", Transaction: true}
	tests := []struct {
		name   string
		signal time.Duration
		cause  Cause
		want   Reason
		ended  time.Duration
	}{
		{"deadline", time.Hour, Signal, Deadline, DefaultStopTimeout},
		{"second signal", 5 * time.Second, Signal, SecondSignal, 5 * time.Second},
		{"drain after a signal changes nothing", 5 * time.Second, Drain, Deadline, DefaultStopTimeout},
		{"platform after a signal changes nothing", 5 * time.Second, Platform, Deadline, DefaultStopTimeout},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := newTestHost()
			h.listedAfter, h.idle, h.neverIdle = time.Second, 3, []Session{open}
			h.refusals = 1000
			h.handle(Begin{Cause: Signal, Groups: []string{"fiestas-base-1"}})
			h.run(min(tt.signal, 2*time.Minute))
			if h.exit == nil {
				h.handle(Begin{Cause: tt.cause})
			}
			h.run(2 * time.Minute)
			s := h.exit.Summary
			is.Equal(h.exit.Code, 1)
			is.Equal(s.Reason, tt.want)
			is.Equal(s.Ended.Sub(s.Began), tt.ended)
			is.Equal(s.Interrupted, []Session{open})
			is.Equal(s.GroupsNotHandedOver, []string{"fiestas-base-1"})
			is.True(strings.Contains(s.String(), "1 cut quetzaltenango/17(transaction)"))
			is.Equal(len(h.process.Handle(Tick{}, h.now.Add(time.Hour))), 0) // over
		})
	}
}
