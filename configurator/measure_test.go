//go:build !race

// The fleets here are large and run in one goroutine: the race detector has
// nothing to find in them and takes minutes over it. The same relays run under it
// in the tests with nine proxies.

package configurator

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// size of a fleet under measure.
type size struct{ n, zones, regions int }

func (s size) String() string {
	return fmt.Sprintf("%4d proxies, %2d zones, %d regions", s.n, s.zones, s.regions)
}

var sizes = []size{{9, 3, 1}, {90, 5, 1}, {900, 15, 5}, {2500, 15, 5}}

// How long a change takes to every proxy as the fleet grows, and at full size with
// a fault.
func TestDelay(t *testing.T) {
	t.Parallel()
	var b strings.Builder
	for _, s := range sizes {
		f := newFleet(t, 1, s.n, s.zones, s.regions, nil)
		fmt.Fprintf(&b, "%s: %s\n", s, show(delays(t, f, 5, 2*time.Second)))
	}
	full := sizes[len(sizes)-1]
	for _, fault := range faults[1:5] {
		f := newFleet(t, 1, full.n, full.zones, full.regions, nil)
		fault.start(f)
		fmt.Fprintf(&b, "%s, %s: %s\n", full, fault.name, show(delays(t, f, 1, 12*time.Second)))
	}
	golden(t, "delay.golden", b.String())
}

// The calls to the platform and the bytes of a proxy, at rest and for a change.
func TestCost(t *testing.T) {
	t.Parallel()
	var b strings.Builder
	const rest, changes = 30, 5
	for _, s := range sizes {
		f := newFleet(t, 1, s.n, s.zones, s.regions, nil)
		calls, mean, most := f.cost(rest * time.Second)
		fmt.Fprintf(&b, "%s: at rest %.2f platform calls/s in all, %.0f B/s a proxy, %.0f the busiest\n",
			s, float64(calls)/rest, mean/rest, most/rest)
		idle := mean
		f.reset()
		for i := range changes {
			f.put(groupObject(t, 0, 200+i))
			f.RunFor(rest / changes * time.Second)
		}
		calls, mean, _ = f.total()
		perChange := (mean - idle) / changes
		fmt.Fprintf(&b, "%s: a change costs %d platform calls in all, %.0f B a proxy; at 2,700 a day and with the rest %.0f B/s a proxy\n",
			s, calls/changes, perChange, idle/rest+perChange*2700/86400)
	}
	fmt.Fprintf(&b, "a group's object has %d bytes\n", len(mustJSON(t, groupObject(t, 0, 35))))
	golden(t, "cost.golden", b.String())
}

// Symptom: the platform refuses calls, and every proxy is busy. Sequence: an
// operator applies hundreds of objects. Cause: each of them costs each watcher a
// call, and each proxy a new configuration.
func TestBurst(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var b strings.Builder
	const changes, apart = 200, 10 * time.Millisecond
	for _, s := range sizes[:3] {
		f := newFleet(t, 1, s.n, s.zones, s.regions, nil)
		f.reset()
		for i := range changes {
			f.put(groupObject(t, i, 35))
			f.RunFor(apart)
		}
		calls, mean, most := f.total()
		end := f.Now
		worst, adopted := time.Duration(0), 0
		f.RunFor(3 * time.Second)
		for _, p := range f.proxies {
			is.Equal(p.Version(), uint64(changes))
			worst = max(worst, p.at[changes].Sub(end))
			adopted = max(adopted, len(p.at))
		}
		seconds := (changes * apart).Seconds()
		fmt.Fprintf(&b, "%s: 100 changes/s for 2 s: %.0f platform calls/s in all, at most %.1f configurations/s a proxy, %.0f KB/s a proxy, %.0f the busiest; in force %.0f ms after the last\n",
			s, float64(calls)/seconds, float64(adopted)/seconds, mean/seconds/1024, most/seconds/1024, float64(worst)/1e6)
	}
	golden(t, "burst.golden", b.String())
}

func mustJSON(t *testing.T, v any) []byte {
	t.Helper()
	b, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// reset forgets what was counted.
func (f *fleet) reset() {
	for _, p := range f.proxies {
		p.calls, p.bytes = 0, 0
	}
}

// cost runs for a while and returns what it cost.
func (f *fleet) cost(d time.Duration) (calls int, mean, most float64) {
	f.reset()
	f.RunFor(d)
	return f.total()
}

func (f *fleet) total() (calls int, mean, most float64) {
	sum := 0
	for _, p := range f.proxies {
		calls += p.calls
		sum += p.bytes
		most = max(most, float64(p.bytes))
	}
	return calls, float64(sum) / float64(len(f.proxies)), most
}

// A fresh proxy of a full fleet takes 4,600 groups from its peers, and from the
// platform only the word that nothing is newer.
func TestFreshAtFullSize(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	objects := make([]Object, 4600)
	for i := range objects {
		objects[i] = groupObject(t, i, 35)
	}
	f := newFleet(t, 1, 10, 5, 5, objects)
	f.reset()
	fresh := f.add(10, 0, 0)
	began := f.Now
	f.tellMembers()
	for fresh.joined.IsZero() {
		f.RunFor(time.Millisecond)
	}
	is.Equal(fresh.Version(), uint64(4600))
	golden(t, "full.golden", fmt.Sprintf("fresh proxy with 4600 groups serves after %.0f ms, %d platform calls, %d KB from peers\n",
		float64(fresh.joined.Sub(began))/1e6, fresh.calls, fresh.bytes>>10))
}
