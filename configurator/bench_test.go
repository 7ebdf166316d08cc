package configurator

import (
	"runtime"
	"testing"
	"time"
)

// full returns a relay that serves with the objects of the greatest fleet: 4,600
// groups in one pool.
func full(b *testing.B) *Relay {
	b.Helper()
	objects := make([]Object, 0, 4700)
	add := func(id ID, spec Spec) {
		e := Entry{ID: id, Spec: spec}
		v, err := e.Encode()
		if err != nil {
			b.Fatal(err)
		}
		objects = append(objects, Object{Name: id.String(), Version: uint64(len(objects) + 1), Value: v})
	}
	add(ID{KindPreset, "everyday"}, &Preset{Workspace: "dj", Classes: map[string]Class{ClassBooking: {}}})
	add(ID{KindActive, "dj"}, &Active{Preset: "everyday"})
	add(ID{KindWorkspace, "dj"}, &Workspace{Zones: []string{"vejle-hal"}})
	add(ID{KindPool, "ticketing"}, &Pool{Workspace: "dj"})
	for i := range 4600 {
		o := groupObject(b, i, 35)
		o.Version = uint64(len(objects) + 1)
		objects = append(objects, o)
	}
	r := &Relay{Self: Member{Address: mustAddr(0, 0), Zone: "vejle-hal"}}
	now := time.Unix(0, 0)
	for _, c := range r.Handle(MembersChanged{}, now) {
		if w, ok := c.(Watch); ok {
			r.Handle(WatchAnswered{Seq: w.Seq, After: w.After, Items: objects}, now)
		}
	}
	if !r.Serving() || r.Version() != uint64(len(objects)) {
		b.Fatal("the relay doesn't serve")
	}
	return r
}

// What a fresh member pays once for the whole configuration, and what it holds
// from then on.
func BenchmarkJoin(b *testing.B) {
	var r *Relay
	for b.Loop() {
		r = full(b)
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := []*Relay{full(b), full(b)}
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(r)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(len(kept)), "held-B")
	runtime.KeepAlive(kept)
}

// What every member pays for a change: the configuration is built anew.
func BenchmarkBuild(b *testing.B) {
	r := full(b)
	for b.Loop() {
		r.Config()
	}
}

// What a member pays four times a second.
func BenchmarkTick(b *testing.B) {
	r := full(b)
	now := time.Unix(10, 0)
	for b.Loop() {
		now = now.Add(tickEvery)
		r.Handle(Ticked{}, now)
	}
}
