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
		{Leads: true, Local: true, Places: 3, Latency: usual},
		{Local: true, Places: 3, Latency: usual},
		{Places: 3, Latency: usual},
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
		{"a replica of the own zone", func([]Candidate) {}, Need{}, 1, Cheapest},
		{"the leader where only it may", func([]Candidate) {}, Need{Leader: true}, 0, ByNeed},
		{"another zone when the own is busy", func(c []Candidate) { c[1].Running = 2 }, Need{}, 0, Cheapest},
		{"the far replica when both near ones are busy", func(c []Candidate) { c[0].Running, c[1].Running = 2, 2 }, Need{}, 2, Cheapest},
		{"no slow replica", func(c []Candidate) { c[1].Latency = 200 * time.Millisecond; c[0].Running = 1 }, Need{}, 2, Cheapest},
		{"no replica that is behind", func(c []Candidate) { c[1].Behind = true }, Need{Since: behind}, 0, Cheapest},
		{"a replica that was behind and has caught up", func(c []Candidate) { c[1].Behind, c[1].Mark = true, behind }, Need{Since: behind}, 1, Cheapest},
		{"not where it has failed", func(c []Candidate) { c[1].Tried = true }, Need{}, 0, Cheapest},
		{"none that is leaving", func(c []Candidate) { c[0].Leaving, c[1].Leaving = true, true }, Need{}, 2, Cheapest},
		{"one that is leaving when nothing else is left", func(c []Candidate) { c[0].Barred, c[2].Barred, c[1].Leaving = true, true, true }, Need{}, 1, Cheapest},
		{"nobody when nobody answers", func(c []Candidate) { c[0].Barred, c[1].Barred, c[2].Barred = true, true, true }, Need{}, None, NoneLeft},
		{"nobody for a silent leader", func(c []Candidate) { c[0].Barred = true }, Need{Leader: true}, None, Silent},
		{"nobody without a leader", func(c []Candidate) { c[0].Leads = false }, Need{Leader: true}, None, NoLeader},
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
		c[i].Running++
	}
	for i := range c {
		is.True(c[i].Running >= 8) // each has about a third
	}
}
