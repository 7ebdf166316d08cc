package leaver

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// host is what a Process leaves: callers, the platform and its lagging list, the
// deputies and whoever grants shares. Time is virtual.
type host struct {
	now      time.Time
	process  *Process
	idle     int
	busy     map[string]time.Time // sessions under way, until when
	stuck    []Session            // never become idle
	arrivals int                  // callers that come in each second while the list has this process
	listed   time.Duration        // from the announcement until the list says so; 0: never
	platform time.Duration        // the platform answers nothing until then
	refusals int                  // attempts to hand over that fail
	mute     bool                 // shares are never confirmed
	slow     bool                 // a Load arrives one Count late
	last     int                  // callers that connect right before the listener is closed
	told     time.Time
	late     *SessionCounts
	begin    time.Time
	closed   bool
	ended    int
	finished int
	largest  int // most sessions ended by one command
	exit     *Exit
	trace    []string
}

func newHost() *host {
	now := time.Unix(1_800_000_000, 0)
	return &host{now: now, begin: now, process: &Process{}, busy: make(map[string]time.Time)}
}

func (h *host) give(ev Event) {
	for _, c := range h.process.Handle(ev, h.now) {
		h.carry(c)
	}
}

func (h *host) carry(c Command) {
	switch c := c.(type) {
	case AnnouncePeers:
		h.note("peers told")
	case AnnouncePlatform:
		up := h.now.Sub(h.begin) >= h.platform
		if up && h.told.IsZero() {
			h.told = h.now
			h.note("platform told")
		}
		h.give(Announced{OK: up})
	case HandOver:
		h.refusals--
		h.give(HandedOver{Group: c.Group, To: "deputy", OK: h.refusals < 0})
	case CountSessions:
		h.counted(c)
	case CloseListener:
		h.closed, h.idle = true, h.idle+h.last
		h.note("listener closed")
	case EndIdle:
		n := min(c.Limit, h.idle)
		h.idle, h.ended, h.largest = h.idle-n, h.ended+n, max(h.largest, n)
	case ReturnShares:
		h.note("shares given back")
		if !h.mute {
			h.give(SharesReturned{OK: true})
		}
	case Exit:
		h.exit = &c
	}
}

func (h *host) counted(c CountSessions) {
	load := SessionCounts{Number: c.Number, Idle: h.idle, Busy: append([]Session(nil), h.stuck...), Ended: h.ended, Finished: h.finished}
	for id := range h.busy {
		load.Busy = append(load.Busy, Session{ID: id, Tenant: "damplinjerne"})
	}
	if h.slow {
		if h.late != nil {
			h.give(*h.late)
		}
		h.late = &load
		return
	}
	h.give(load)
}

func (h *host) note(s string) {
	h.trace = append(h.trace, fmt.Sprintf("%v %s", h.now.Sub(h.begin), s))
}

// run lets d pass in steps of 50 ms, or until the process has ended.
func (h *host) run(d time.Duration) {
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
		inList := h.told.IsZero() || h.listed == 0 || h.now.Sub(h.told) < h.listed
		if passed%time.Second == 0 {
			if inList && !h.closed {
				h.idle += h.arrivals
			}
			h.give(Listed{Live: inList})
		}
		if next := h.process.Next(); !next.IsZero() && !next.After(h.now) {
			h.give(Tick{})
		}
	}
}

func TestStops(t *testing.T) {
	second := time.Second
	cut := func(h *host) []Session { return h.exit.Summary.Interrupted }
	tests := []struct {
		name  string
		tells string // symptom, sequence, cause
		set   func(*host)
		check func(*is.I, *host)
	}{
		{
			"nothing to do", "Symptom: an idle process waits for its deadline.",
			func(h *host) { h.listed = second },
			func(is *is.I, h *host) { is.True(h.exit.Summary.Ended.Sub(h.begin) < 4*second) },
		},
		{
			"list lags", "Symptom: callers are refused. Sequence: the balancer reads an old list and sends callers after the listener is closed.",
			func(h *host) { h.listed, h.arrivals, h.idle = 6*second, 10, 100 },
			func(is *is.I, h *host) {
				is.Equal(h.ended, 100+5*10) // all that came, none refused
				is.True(strings.HasPrefix(h.trace[2], "8"))
			},
		},
		{
			"list never says so", "Symptom: the stop never ends. Cause: it waits for the list without bound.",
			func(h *host) { h.arrivals, h.idle = 1, 10 },
			func(is *is.I, h *host) { is.True(h.exit.Summary.Ended.Sub(h.begin) < 20*second) },
		},
		{
			"platform down for the whole stop", "Symptom: as above.",
			func(h *host) { h.platform, h.idle = time.Hour, 10 },
			func(is *is.I, h *host) { is.True(h.exit.Summary.Unsaid) },
		},
		{
			"platform down at first", "Symptom: the platform is never told. Cause: it is told only once.",
			func(h *host) { h.platform, h.listed = 3*second, 2*second },
			func(is *is.I, h *host) {
				is.True(!h.exit.Summary.Unsaid)
				is.True(!h.told.IsZero())
			},
		},
		{
			"long request", "Symptom: a request is cut. Sequence: it takes longer than the list lags.",
			func(h *host) { h.listed, h.busy["a"] = second, h.now.Add(30*second) },
			func(is *is.I, h *host) {
				is.Equal(h.finished, 1)
				is.True(h.exit.Summary.Ended.Sub(h.begin) >= 30*second)
			},
		},
		{
			"many idle sessions", "Symptom: all callers reconnect in one moment. Cause: all sessions are ended at once.",
			func(h *host) { h.listed, h.idle = second, 5200 },
			func(is *is.I, h *host) {
				is.Equal(h.ended, 5200)
				is.True(h.largest <= 5200/40)
			},
		},
		{
			"leadership not taken at first", "Symptom: a group is without a leader until the lease ends. Sequence: the deputy refuses twice.",
			func(h *host) { h.listed, h.refusals = second, 2 },
			func(is *is.I, h *host) { is.Equal(h.exit.Summary.Groups, []string{"billet-db-2>deputy"}) },
		},
		{
			"shares never confirmed", "Symptom: the stop hangs at its last step.",
			func(h *host) { h.listed, h.mute = second, true },
			func(is *is.I, h *host) { is.True(!h.exit.Summary.Shares) },
		},
		{
			"counts come late", "Symptom: a caller that connected right before the listener was closed is cut. Cause: an older count is taken for the proof that nobody is left.",
			func(h *host) { h.listed, h.slow, h.last = 2*second, true, 1 },
			func(is *is.I, h *host) { is.Equal(h.idle, 0) },
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := newHost()
			tt.set(h)
			h.give(Begin{Cause: Drain, Groups: []string{"billet-db-2"}})
			h.run(2 * time.Minute)
			is.True(h.exit != nil)
			is.Equal(h.exit.Code, 0)
			is.Equal(len(cut(h)), 0)
			is.Equal(h.idle+len(h.busy), 0) // nobody was left when it ended
			tt.check(is, h)
		})
	}
}

func TestStopsThatCut(t *testing.T) {
	// Symptom: a process that can't finish hangs, or ends without saying whom it
	// cut. Sequence: a caller holds a transaction open; then the deadline or a
	// second signal comes.
	// Cause: no bound, or the list of what is left is thrown away.
	stuck := Session{ID: "17", Tenant: "quetzaltenango", Transaction: true}
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
			h := newHost()
			h.listed, h.idle, h.stuck = time.Second, 3, []Session{stuck}
			h.refusals = 1000
			h.give(Begin{Cause: Signal, Groups: []string{"fiestas-base-1"}})
			h.run(min(tt.signal, 2*time.Minute))
			if h.exit == nil {
				h.give(Begin{Cause: tt.cause})
			}
			h.run(2 * time.Minute)
			s := h.exit.Summary
			is.Equal(h.exit.Code, 1)
			is.Equal(s.Reason, tt.want)
			is.Equal(s.Ended.Sub(s.Began), tt.ended)
			is.Equal(s.Interrupted, []Session{stuck})
			is.Equal(s.Kept, []string{"fiestas-base-1"})
			is.True(strings.Contains(s.String(), "1 cut quetzaltenango/17(transaction)"))
			is.Equal(len(h.process.Handle(Tick{}, h.now.Add(time.Hour))), 0) // over
		})
	}
}
