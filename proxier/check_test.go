package proxier

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"basildale.example/basildale/adapter/keeper"
	"basildale.example/basildale/versioner"
)

// Guards against calls to the store that grow with the fleet. One process reads a kind in
// full. If read times are not propagated, the others learn of it only from that process
// itself, every few seconds, and read the store themselves in between.
func TestReadTimesArePropagated(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var reader, relay, last readTimes
	reader.record("config", now)
	now = now.Add(300 * time.Millisecond)
	relay.merge(reader.ages(now), now)
	now = now.Add(400 * time.Millisecond)
	last.merge(relay.ages(now), now)
	is.Equal(now.Sub(last.lastRead("config")), 700*time.Millisecond)
	last.merge([]time.Duration{time.Minute, neverRead}, now) // an older read changes nothing
	is.Equal(now.Sub(last.lastRead("config")), 700*time.Millisecond)
	is.True(last.lastRead("servers").IsZero()) // no process has read this kind
}

// emptyPages answers every call with an empty list.
type emptyPages struct{}

func (emptyPages) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader("{}"))}, nil
}

// Guards against processes that start together and make ten calls to the store each. They all
// list everything at start. If only a check counts as a full read, each of them finds the
// kinds unwatched 1.5 s later, before the first check, and watches them, so that each change
// is delivered and paid for 68 times.
func TestFirstListCountsAsCheck(t *testing.T) {
	is := is.New(t)
	p := newTestProxier(0, 68)
	p.Log = zap.NewNop()
	p.store = &keeper.Client{Addrs: []netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:1")}, Transport: emptyPages{}}
	w := p.newStoreWatcher("config", func([]keeper.Object, versioner.Version) {}, nil)
	began := bootClock()
	is.NoErr(w.step(t.Context()))
	is.True(w.listed)
	is.True(!p.fullReads.lastRead("config").Before(began))
}

// Guards against two faults in a fleet that starts after a power loss, when no process has
// received anything from any other: if all wait for updates from the others, changes of the
// upstreams are noticed 2 s late; if all watch, every process pays for each change.
func TestTwoProcessesOfNewFleetWatch(t *testing.T) {
	is := is.New(t)
	watching := 0
	for i := range 68 {
		p := newTestProxier(i, 68)
		p.fullReads.record("config", bootClock())
		if p.shouldWatch("config", configCheckInterval) {
			watching++
		}
		p.peersKnown.Store(false)
		is.True(!p.shouldWatch("config", configCheckInterval)) // it does not know the others
	}
	is.Equal(watching, minWatchers)
}

// Guards against a whole fleet that lists everything from a store that was away for four
// seconds, and then watches it, so that each change is delivered and paid for as many times.
// This happens if all processes conclude at the same moment that those that watch are dead.
func TestFewProcessesWatchReturningStore(t *testing.T) {
	is := is.New(t)
	const fleet = 195
	procs := make([]*Proxier, fleet)
	for i := range procs {
		procs[i] = newTestProxier(i, fleet)
		procs[i].startedAt = time.Time{} // long ago
	}
	for _, test := range []struct {
		away        time.Duration
		least, most int
	}{
		{configCheckInterval, minWatchers, minWatchers},
		{4 * time.Second, 2, 10},         // one of them may be partitioned itself
		{7 * time.Second, 10, 100},       // by then the others are more likely to be partitioned
		{time.Minute, fleet, fleet},      // nobody reaches the store: everyone tries
		{neverRead, fleet, fleet},        // never read
		{1000 * time.Hour, fleet, fleet}, // any longer time
	} {
		watching := 0
		for _, p := range procs {
			p.fullReads = readTimes{}
			p.fullReads.record("config", bootClock().Add(-test.away))
			if p.shouldWatch("config", configCheckInterval) {
				watching++
			}
		}
		is.True(watching >= test.least)
		is.True(watching <= test.most)
	}
}

// Guards against a process that has its configuration but lacks upstreams for half a second
// after the store is back: one call reaches the store while the other kinds' watchers, which
// back off independently, still wait for their next attempt.
func TestSuccessfulCallWakesOtherWatchers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var storeBack signal
		began := time.Now()
		waiting := storeWatcher{storeBack: &storeBack, retryDelay: maxRetryDelay, log: zap.NewNop()}
		finder := storeWatcher{storeBack: &storeBack, isDown: true, log: zap.NewNop()}
		go func() {
			time.Sleep(10 * time.Millisecond)
			finder.logStoreState(nil)
		}()
		waiting.backOff(t.Context())
		is.Equal(time.Since(began), 10*time.Millisecond)
		(*signal)(nil).notify() // a nil signal is valid
	})
}

// Guards against a fleet whose processes all read lists of many pages as they start: those calls
// are most of its calls to the store.
func TestFewProcessesReadLongLists(t *testing.T) {
	for _, n := range []int{100, 1000, 2000} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			p := newTestProxier(0, n)
			readers, soon, last := 0, 0, time.Duration(0)
			for i := range n {
				p.Settings.Name = fmt.Sprint("p", i)
				p.ranks = rankCache{}
				last = max(last, deliveryDelay(p.readerRank("servers"), n))
				switch delay := deliveryDelay(p.readerRank("servers"), n); {
				case delay == 0:
					readers++
				case delay < deliveryTimeout+time.Second:
					soon++
				}
			}
			is.Equal(readers, minWatchers)
			is.True(soon <= max(50, n/4)) // without a delivery, so many in the first second
			is.True(last < peersUnknownTimeout)
		})
	}
}

// A list is read on after its first page only by a process whose peers don't deliver it, and one
// of a single page is read at once.
func TestListOfManyPagesWaitsForPeers(t *testing.T) {
	for _, test := range []struct {
		name          string
		pages         int
		isDelivered   bool
		reads, awaits int
		err           error
	}{
		{"one page", 1, true, 1, 0, nil},
		{"delivered", 15, true, 1, 1, errDelivered},
		{"not delivered", 15, false, 15, 1, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			reads, awaits, listed := 0, 0, 0
			w := &storeWatcher{onList: func(list []keeper.Object, _ versioner.Version) { listed = len(list) }}
			read := func(context.Context, string) (keeper.Page, error) {
				reads++
				return keeper.Page{Items: []keeper.Object{{Name: fmt.Sprint(reads)}}, Version: 7, More: reads < test.pages}, nil
			}
			await := func(_ context.Context, version versioner.Version) bool {
				awaits++
				is.Equal(version, atRevision(7))
				return test.isDelivered
			}
			_, err := w.list(t.Context(), read, await)
			is.True(errors.Is(err, test.err))
			is.Equal(reads, test.reads)
			is.Equal(awaits, test.awaits)
			if err == nil {
				is.Equal(listed, test.pages)
			}
		})
	}
}

// roundTripper answers a call.
type roundTripper func(*http.Request) (*http.Response, error)

func (f roundTripper) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// Guards against a store whose link stays full after a loss of power everywhere: processes whose
// peers have delivered a kind go on listing it, and the calls of those that lack it time out.
func TestDeliveredKindIsNotListed(t *testing.T) {
	for _, test := range []struct {
		name                     string
		isDelivered, shouldWatch bool
		calls                    int
	}{
		{"not delivered", false, false, 1},
		{"delivered", true, false, 0},
		{"delivered to a watcher", true, true, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithTimeout(t.Context(), standbyInterval/2)
				defer cancel()
				calls := 0
				store := &keeper.Client{Addrs: []netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:1")}, Transport: roundTripper(func(r *http.Request) (*http.Response, error) {
					calls++
					<-r.Context().Done()
					return nil, r.Context().Err()
				})}
				w := &storeWatcher{
					store: store, kind: "config", log: zap.NewNop(),
					isDelivered: func() bool { return test.isDelivered }, shouldWatch: func() bool { return test.shouldWatch },
				}
				w.run(ctx)
				is.Equal(calls, test.calls)
			})
		})
	}
}

// Guards against a fleet that comes back from a loss of power everywhere and fills the store's
// link: all processes read the configuration and the upstreams at once, every call times out,
// and all are repeated. In a large fleet two processes read them first, in a small one all.
func TestFirstListsOfLargeFleetAreLeftToReaders(t *testing.T) {
	for _, test := range []struct{ processes, readers int }{{9, 9}, {100, 100}, {1000, minWatchers}, {2000, minWatchers}} {
		t.Run(fmt.Sprint(test.processes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p := newTestProxier(0, test.processes)
				readers := 0
				for i := range test.processes {
					p.Settings.Name = fmt.Sprint("p", i)
					p.ranks = rankCache{}
					waited := false
					delivered := func() bool {
						defer func() { waited = true }()
						return waited // by the second check
					}
					if p.awaitTurn(t.Context(), "config", delivered) {
						readers++
					}
				}
				is.Equal(readers, test.readers)
			})
		})
	}
}

// Guards against a fleet in which every process lists the store a second after a loss of power
// everywhere: no process knows of a full read, so all checks are overdue and all are to watch.
func TestUnknownReadsAreNotOverdueAtStart(t *testing.T) {
	for _, n := range []int{100, 1000, 2000} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			p := newTestProxier(0, n)
			watching, due := 0, 0
			for i := range n {
				p.Settings.Name = fmt.Sprint("p", i)
				p.ranks = rankCache{}
				p.startedAt = bootClock() // ranking all processes takes longer than a check's interval on a busy machine
				if p.shouldWatch("config", configCheckInterval) {
					watching++
				}
				if p.checkDelay("config", configCheckInterval) <= configCheckInterval {
					due++
				}
			}
			is.Equal(watching, minWatchers)
			is.Equal(due, 1)
			is.Equal(p.lastFullRead("config"), p.startedAt) // no process knows of a read
		})
	}
}
