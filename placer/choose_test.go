package placer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"basildale.example/basildale/tracker"
)

func three() []Candidate {
	const usual = 33 * time.Millisecond
	return []Candidate{
		{IsLeader: true, SameZone: true, MaxConnections: 3, Latency: usual},
		{SameZone: true, MaxConnections: 3, Latency: usual},
		{MaxConnections: 3, Latency: usual},
	}
}

func TestChoice(t *testing.T) {
	behind := tracker.Mark{Pos: 9}
	for _, test := range []struct {
		name   string
		change func(c []Candidate)
		need   Need
		want   int
		reason Reason
	}{
		{"a replica of the own zone", func([]Candidate) {}, Need{}, 1, LowestCost},
		{"the leader where only it may", func([]Candidate) {}, Need{LeaderOnly: true}, 0, LeaderRequired},
		{"another zone when the own is busy", func(c []Candidate) { c[1].InFlight = 2 }, Need{}, 0, LowestCost},
		{"the far replica when both near ones are busy", func(c []Candidate) { c[0].InFlight, c[1].InFlight = 2, 2 }, Need{}, 2, LowestCost},
		{"no slow replica", func(c []Candidate) { c[1].Latency = 200 * time.Millisecond; c[0].InFlight = 1 }, Need{}, 2, LowestCost},
		{"no replica that is behind", func(c []Candidate) { c[1].Lagging = true }, Need{MinMark: behind}, 0, LowestCost},
		{"a replica that was behind and has caught up", func(c []Candidate) { c[1].Lagging, c[1].Mark = true, behind }, Need{MinMark: behind}, 1, LowestCost},
		{"not where it has failed", func(c []Candidate) { c[1].Tried = true }, Need{}, 0, LowestCost},
		{"none that is leaving", func(c []Candidate) { c[0].Leaving, c[1].Leaving = true, true }, Need{}, 2, LowestCost},
		{"one that is leaving when nothing else is left", func(c []Candidate) { c[0].Ejected, c[2].Ejected, c[1].Leaving = true, true, true }, Need{}, 1, LowestCost},
		{"nobody when nobody answers", func(c []Candidate) { c[0].Ejected, c[1].Ejected, c[2].Ejected = true, true, true }, Need{}, None, NoneAvailable},
		{"nobody for a silent leader", func(c []Candidate) { c[0].Ejected = true }, Need{LeaderOnly: true}, None, LeaderUnresponsive},
		{"nobody without a leader", func(c []Candidate) { c[0].IsLeader = false }, Need{LeaderOnly: true}, None, NoLeader},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			c := three()
			test.change(c)
			got, reason := Choose(c, test.need)
			is.Equal(got, test.want)
			is.Equal(reason, test.reason)
		})
	}
}

// Symptom: replicas stand idle while others queue. Sequence: reads come at a rate
// that one upstream can't serve. Cause: the nearest is always chosen.
func TestLoadIsSpread(t *testing.T) {
	is := is.New(t)
	c := three()
	for range 30 {
		i, _ := Choose(c, Need{})
		c[i].InFlight++
	}
	for i := range c {
		is.True(c[i].InFlight >= 8) // each has about a third
	}
}
