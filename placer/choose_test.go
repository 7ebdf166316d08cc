package placer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"basildale.example/basildale/tracker"
)

func threeCandidates() []Candidate {
	const latency = 33 * time.Millisecond
	return []Candidate{
		{IsLeader: true, SameZone: true, MaxConnections: 3, Latency: latency},
		{SameZone: true, MaxConnections: 3, Latency: latency},
		{MaxConnections: 3, Latency: latency},
	}
}

func TestChoose(t *testing.T) {
	needed := tracker.Mark{Pos: 9}
	for _, test := range []struct {
		name   string
		change func(c []Candidate)
		need   Need
		want   int
		reason Reason
	}{
		{"a replica in the same zone", func([]Candidate) {}, Need{}, 1, LowestCost},
		{"the leader where only it may do the work", func([]Candidate) {}, Need{LeaderOnly: true}, 0, LeaderRequired},
		{"the leader when the replica in the same zone is busy", func(c []Candidate) { c[1].InFlight = 2 }, Need{}, 0, LowestCost},
		{"the replica in another zone when both in the same zone are busy", func(c []Candidate) { c[0].InFlight, c[1].InFlight = 2, 2 }, Need{}, 2, LowestCost},
		{"not a slow replica", func(c []Candidate) { c[1].Latency = 200 * time.Millisecond; c[0].InFlight = 1 }, Need{}, 2, LowestCost},
		{"not a lagging replica", func(c []Candidate) { c[1].Lagging = true }, Need{MinMark: needed}, 0, LowestCost},
		{"a replica that lagged and has caught up", func(c []Candidate) { c[1].Lagging, c[1].Mark = true, needed }, Need{MinMark: needed}, 1, LowestCost},
		{"not a candidate where it has failed", func(c []Candidate) { c[1].Tried = true }, Need{}, 0, LowestCost},
		{"not one that is leaving", func(c []Candidate) { c[0].Leaving, c[1].Leaving = true, true }, Need{}, 2, LowestCost},
		{"one that is leaving when nothing else is left", func(c []Candidate) { c[0].Ejected, c[2].Ejected, c[1].Leaving = true, true, true }, Need{}, 1, LowestCost},
		{"none when none answers", func(c []Candidate) { c[0].Ejected, c[1].Ejected, c[2].Ejected = true, true, true }, Need{}, None, NoneAvailable},
		{"none for an unresponsive leader", func(c []Candidate) { c[0].Ejected = true }, Need{LeaderOnly: true}, None, LeaderUnresponsive},
		{"none without a leader", func(c []Candidate) { c[0].IsLeader = false }, Need{LeaderOnly: true}, None, NoLeader},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			c := threeCandidates()
			test.change(c)
			got, reason := Choose(c, test.need)
			is.Equal(got, test.want)
			is.Equal(reason, test.reason)
		})
	}
}

// Guards against replicas that stay idle while statements queue at others: with reads at a
// rate that one upstream cannot serve, always choosing the nearest one would do that.
func TestLoadIsSpread(t *testing.T) {
	is := is.New(t)
	c := threeCandidates()
	for range 30 {
		i, _ := Choose(c, Need{})
		c[i].InFlight++
	}
	for i := range c {
		is.True(c[i].InFlight >= 8) // each has about a third
	}
}
