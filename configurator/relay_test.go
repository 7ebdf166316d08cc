package configurator

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// groupObject returns an object of the usual size: a group with three upstreams.
func groupObject(t testing.TB, i, connections int) Object {
	t.Helper()
	e := Entry{
		ID:   ID{KindGroup, fmt.Sprintf("group-%d", i)},
		Meta: Meta{Writer: "anna", Time: time.Unix(1_000_000, 0).UTC(), Nonce: fmt.Sprintf("%032x", connections)},
		Spec: &Group{Pool: "ticketing", Databases: []string{fmt.Sprintf("tickets%d", i)}, Slots: 5, Connections: connections},
	}
	for range pastNonces {
		e.Meta.Past = append(e.Meta.Past, fmt.Sprintf("%032x", connections))
	}
	for j := range 3 {
		at := Upstream{Name: string(rune('a' + j)), Zone: "vejle-hal"}
		at.Address = mustAddr(i, j)
		e.Spec.(*Group).Upstreams = append(e.Spec.(*Group).Upstreams, at)
	}
	v, err := e.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return Object{Name: e.ID.String(), Version: uint64(i + 1), Value: v}
}

// quantile returns the value below which a share of the sorted values lies.
func quantile(sorted []time.Duration, share float64) time.Duration {
	return sorted[min(len(sorted)-1, int(share*float64(len(sorted))))]
}

// delays puts changes, each when the last has settled, and returns how long each
// took to each proxy that lives. Every such proxy must have it by then.
func delays(t *testing.T, f *fleet, changes int, settle time.Duration) []time.Duration {
	t.Helper()
	var all []time.Duration
	for i := range changes {
		put := f.Now
		v := f.put(groupObject(t, i%3, 100+i))
		f.RunFor(settle)
		for _, p := range f.proxies {
			if p.dead {
				continue
			}
			at, ok := p.at[v]
			if !ok {
				t.Fatalf("%s has version %d and not %d", p.Self.Address, p.Version(), v)
			}
			all = append(all, at.Sub(put))
		}
	}
	slices.Sort(all)
	return all
}

func show(ds []time.Duration) string {
	ms := func(d time.Duration) string { return fmt.Sprintf("%6.0f", float64(d)/1e6) }
	return fmt.Sprintf("median %s ms, 99th %s ms, worst %s ms", ms(quantile(ds, 0.5)), ms(quantile(ds, 0.99)), ms(ds[len(ds)-1]))
}

// roots returns a zone's watchers.
func roots(f *fleet, zone string) []*proxy {
	var found []*proxy
	for _, p := range f.proxies {
		if p.Self.Zone == zone && p.Watching() {
			found = append(found, p)
		}
	}
	return found
}

// faults are what can happen to the way of a change, alone and together.
var faults = []struct {
	name  string
	start func(*fleet)
}{
	{"nothing", func(*fleet) {}},
	{"a watcher of each zone dead, not noticed", func(f *fleet) {
		for _, p := range f.proxies {
			if p.Watching() && p == roots(f, p.Self.Zone)[0] {
				p.dead = true
			}
		}
	}},
	{"all watchers of a zone dead, not noticed", func(f *fleet) {
		for _, p := range roots(f, "zone-1") {
			p.dead = true
		}
	}},
	{"a zone cut off from the platform", func(f *fleet) {
		f.cut = func(p *proxy) bool { return p.Self.Zone == "zone-1" }
	}},
	{"a tenth of the messages lost", func(f *fleet) { f.loss = 0.1 }},
	{"the platform a second slow", func(f *fleet) { f.slow = time.Second }},
}

// Symptom: a proxy serves under an older preset for minutes. Sequence: one of the
// faults, or two, while a change is on its way. Cause: the change's one way to the
// proxy was the one that failed.
//
// The golden file holds the delays; they are exact, in virtual time.
func TestDelayUnderFaults(t *testing.T) {
	t.Parallel()
	var b strings.Builder
	b.WriteString("9 proxies, 3 zones, 5 seeds, 10 changes each, faults alone and in pairs\n")
	for i, first := range faults {
		for j, second := range faults[i:] {
			if j == 0 && i > 0 {
				continue // stands with the first, which is no fault
			}
			var all []time.Duration
			for seed := range uint64(5) {
				f := newFleet(t, seed, 9, 3, 1, nil)
				first.start(f)
				second.start(f)
				all = append(all, delays(t, f, 10, 12*time.Second)...)
			}
			slices.Sort(all)
			name := first.name
			if second.name != first.name {
				name = strings.TrimPrefix(name+" + ", "nothing + ") + second.name
			}
			fmt.Fprintf(&b, "%s: %s\n", name, show(all))
		}
	}
	golden(t, "faults.golden", b.String())
}

// Symptom: a proxy that starts in an outage refuses everyone, or serves under an
// older configuration than its peers. Sequence: the platform goes down, a new
// proxy starts; some of its peers are behind. Cause: it waited for the platform,
// or took the first answer.
func TestFreshInOutage(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, 9, 3, 1, nil)
	f.part = func(_, _ *proxy) bool { return true }
	f.cut = func(p *proxy) bool { return p.Self.Zone != "zone-2" }
	f.put(groupObject(t, 0, 40))
	f.RunFor(time.Second)
	ahead := 0
	for _, p := range f.proxies {
		ahead += int(p.Version())
	}
	is.True(ahead > 0 && ahead < 9) // some have it, some are behind
	f.cut = func(*proxy) bool { return true }
	f.part = func(_, _ *proxy) bool { return false }
	fresh := f.add(9, 0, 0)
	began := f.Now
	f.tellMembers()
	for fresh.joined.IsZero() {
		f.RunFor(time.Millisecond)
	}
	is.Equal(fresh.Version(), uint64(1))
	golden(t, "fresh.golden", fmt.Sprintf("fresh proxy in an outage serves after %.0f ms\n", float64(fresh.joined.Sub(began))/1e6))
}

// Symptom: a preset that was replaced an hour ago is in force again. Sequence: a
// proxy that was cut off comes back and hands on what it holds; a message from
// before arrives late. Cause: what comes last was taken for what is newest.
func TestOldVersionsAreNeverTaken(t *testing.T) {
	is := is.New(t)
	objects := exampleObjects(t)
	r := &Relay{Self: Member{Address: mustAddr(0, 0), Zone: "vejle-hal"}}
	now := time.Unix(0, 0)
	var watch Watch
	for _, c := range r.Handle(MembersChanged{}, now) {
		watch = c.(Watch)
	}
	r.Handle(WatchAnswered{Seq: watch.Seq, After: watch.After, Items: objects}, now)
	is.True(r.Serving())
	used := objects[3] // the active object
	is.Equal(used.Name, "active/damplinjerne")
	used.Version = 20
	used.Value = []byte(strings.Replace(string(used.Value), "everyday", "christmas", 1))
	r.Handle(PeerSent{Delta: Delta{From: 11, Head: 20, Items: []Object{used}}}, now)
	is.Equal(r.Config().Workspaces["damplinjerne"].Name, "christmas")
	for _, old := range []Delta{
		{From: 0, Head: 11, Items: objects},
		{From: 3, Head: 4, Items: objects[3:4]},
		{From: 19, Head: 20, Items: []Object{{Name: used.Name, Version: 20, Value: objects[3].Value}}},
	} {
		is.Equal(len(r.Handle(PeerSent{Delta: old}, now)), 0)
	}
	r.Handle(PeerTold{Tell: Tell{Version: 11}}, now)
	is.Equal(r.Version(), uint64(20))
	is.Equal(r.Config().Workspaces["damplinjerne"].Name, "christmas")
}

// Symptom: some proxies go on with a pool that others no longer have. Sequence: an
// object is deleted from the platform by other means than ours. Cause: a deletion
// has no value, and what can't be read was left as it was.
func TestDeletionsByOthers(t *testing.T) {
	is := is.New(t)
	r := &Relay{Self: Member{Address: mustAddr(0, 0), Zone: "vejle-hal"}}
	now := time.Unix(0, 0)
	r.Handle(MembersChanged{}, now)
	r.Handle(WatchAnswered{Seq: 1, Items: exampleObjects(t)}, now)
	is.Equal(len(r.Config().Callers), 2)
	gone := []Object{
		{Name: "caller/kiosk", Version: 12, Deleted: true},
		{Name: "preset/everyday", Version: 13, Deleted: true},
	}
	r.Handle(PeerSent{Delta: Delta{From: 11, Head: 13, Items: gone}}, now)
	is.Equal(len(r.Config().Callers), 1)
	is.Equal(r.Config().Workspaces["damplinjerne"].Name, "everyday") // in force until another is
}

// Symptom: a whole fleet that restarts in an outage serves without any
// configuration. Sequence: all are fresh, ask one another, and all say version 0.
// Cause: a fresh member's version was taken for knowledge.
func TestAllFreshInOutage(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, 0, 1, 1, []Object{groupObject(t, 0, 35)})
	f.cut = func(*proxy) bool { return true }
	for i := range 9 {
		f.add(i, i%3, 0)
	}
	f.tellMembers()
	f.RunFor(time.Minute)
	for _, p := range f.proxies {
		is.True(!p.Serving())
	}
	f.cut = func(*proxy) bool { return false }
	f.RunFor(20 * time.Second)
	for _, p := range f.proxies {
		is.True(p.Serving())
		is.Equal(p.Version(), uint64(1))
	}
}

func mustAddr(i, j int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 8), byte(i), byte(j)}), 5432)
}
