package proxier

import (
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"basildale.example/basildale/adapter/keeper"
	"basildale.example/basildale/versioner"
)

// Symptom: the calls to the store grow with the fleet. Sequence: one process reads a
// kind as a whole; the others hear of that only from it, each few seconds, and read
// for themselves meanwhile. Cause: what was heard isn't told on.
func TestWhatWasReadIsToldOn(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var reader, between, last checks
	reader.done("config", now)
	now = now.Add(300 * time.Millisecond)
	between.hear(reader.ages(now), now)
	now = now.Add(400 * time.Millisecond)
	last.hear(between.ages(now), now)
	is.Equal(now.Sub(last.last("config")), 700*time.Millisecond)
	last.hear([]time.Duration{time.Minute, unread}, now) // older news changes nothing
	is.Equal(now.Sub(last.last("config")), 700*time.Millisecond)
	is.True(last.last("servers").IsZero()) // nobody has read those
}

// page answers every call with an empty list.
type page struct{}

func (page) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader("{}"))}, nil
}

// Symptom: processes that start together make ten calls to the store each. Sequence:
// they list everything; 1.5 s later each takes the kinds to be unwatched and watches,
// and each change is answered and paid for 68 times. Cause: only a check counts as a
// look at the store, and the first one comes later.
func TestTheFirstListCountsAsACheck(t *testing.T) {
	is := is.New(t)
	p := of(0, 68)
	p.Log = zap.NewNop()
	p.store = &keeper.Client{Addrs: []netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:1")}, Transport: page{}}
	f := p.follower("config", func([]keeper.Object, versioner.Version) {}, nil)
	began := bootClock()
	is.NoErr(f.step(t.Context()))
	is.True(f.listed)
	is.True(!p.checks.last("config").Before(began))
}

// Symptom: changes of the upstreams are heard of 2 s late after a loss of power
// everywhere, or each is paid for by every process. Sequence: a fleet starts; nobody
// has heard of anybody. Cause: everyone waits for word of the others, or everyone
// watches.
func TestTwoOfAFleetThatHasJustStartedWatch(t *testing.T) {
	is := is.New(t)
	watching := 0
	for i := range 68 {
		p := of(i, 68)
		p.checks.done("config", bootClock())
		if p.watches("config", configCheck) {
			watching++
		}
		p.learned.Store(false)
		is.True(!p.watches("config", configCheck)) // it doesn't know the others
	}
	is.Equal(watching, watchers)
}

// Symptom: the store is asked for everything by each process of a large fleet when it
// comes back, and from then on each change is answered and paid for as many times.
// Sequence: it is away for four seconds. Cause: all processes take it that those who
// watch have died, at the same moment.
func TestFewReadAStoreThatComesBack(t *testing.T) {
	is := is.New(t)
	const fleet = 195
	procs := make([]*Proxier, fleet)
	for i := range procs {
		procs[i] = of(i, fleet)
	}
	for _, test := range []struct {
		away        time.Duration
		least, most int
	}{
		{configCheck, watchers, watchers},
		{4 * time.Second, 2, 10},         // one of them may be cut off itself
		{7 * time.Second, 10, 100},       // by then the others are more likely to be
		{time.Minute, fleet, fleet},      // nobody finds it: everyone tries
		{unread, fleet, fleet},           // never read
		{1000 * time.Hour, fleet, fleet}, // whatever the time
	} {
		watching := 0
		for _, p := range procs {
			p.checks = checks{}
			p.checks.done("config", bootClock().Add(-test.away))
			if p.watches("config", configCheck) {
				watching++
			}
		}
		is.True(watching >= test.least)
		is.True(watching <= test.most)
	}
}

// Symptom: a process has its configuration and no upstreams for half a second.
// Sequence: the store is back; one call finds it, the others wait for their next try.
// Cause: each kind is followed by itself.
func TestOneCallThatFindsTheStoreWakesTheOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var back signal
		began := time.Now()
		waiting := follower{back: &back, retry: lastRetry, log: zap.NewNop()}
		finder := follower{back: &back, down: true, log: zap.NewNop()}
		go func() {
			time.Sleep(10 * time.Millisecond)
			finder.report(nil)
		}()
		waiting.pause(t.Context())
		is.Equal(time.Since(began), 10*time.Millisecond)
		(*signal)(nil).send() // one who has nobody to tell
	})
}
