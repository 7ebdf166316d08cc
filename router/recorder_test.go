package router

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

func TestRecorderExplains(t *testing.T) {
	is := is.New(t)
	var r Recorder
	add := func(ms int, group, session string, target int, why Reason) {
		r.Add(Record{At: at(ms), Group: group, Session: session, Decision: Decision{Action: Go, Target: target, Reason: why}})
	}
	add(1, "g", "a", 0, PrimaryWrite)
	add(2, "g", "a", 0, PrimaryMark)
	add(3, "g", "b", 1, ReplicaInZone)
	add(4, "h", "a", 2, ReplicaElsewhere)
	is.Equal(len(r.Last(Filter{}, 10)), 4)
	is.Equal(r.Last(Filter{Session: "a"}, 1)[0].Group, "h") // the newest first
	is.Equal(len(r.Last(Filter{Session: "a", Group: "g"}, 10)), 2)
	is.Equal(r.Last(Filter{Primary: true}, 10)[0].Decision.Reason, PrimaryMark)
	is.Equal(r.Last(Filter{Targets: Mask(0).With(1)}, 10)[0].Session, "b")
	counts := r.Counts()
	is.Equal(counts[PrimaryWrite], uint64(1))
	is.Equal(counts[WaitReplica], uint64(0))
}

func TestRecorderIsBounded(t *testing.T) {
	is := is.New(t)
	r := Recorder{Size: 64}
	for i := range 10000 {
		r.Add(Record{At: at(i), Session: fmt.Sprint(i)})
	}
	is.Equal(len(r.Last(Filter{}, 10000)), 64)
	counts := r.Counts()
	is.Equal(counts[PrimaryWrite], uint64(10000))
}

func TestRecorderAllocatesNothing(t *testing.T) {
	var r Recorder
	rec := Record{At: at(1), Group: "g", Session: "s"}
	r.Add(rec)
	is.New(t).Equal(testing.AllocsPerRun(100, func() { r.Add(rec) }), 0.0)
}

func BenchmarkRecorder(b *testing.B) {
	var r Recorder
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		rec := Record{At: at(1), Group: "g", Session: "s"}
		for pb.Next() {
			r.Add(rec)
		}
	})
}
