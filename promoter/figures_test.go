package promoter_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"basildale.example/basildale/promoter"
)

func allNamed(names []string) []fault {
	var fs []fault
	for _, f := range faults() {
		if slices.Contains(names, f.name) {
			fs = append(fs, f)
		}
	}
	return fs
}

// TestFailoverGap measures the time without an acknowledged write, by fault and
// platform, and holds it to the aims.
func TestFailoverGap(t *testing.T) {
	t.Parallel()
	const seeds = 20
	var b strings.Builder
	fmt.Fprintf(&b, "%-46s %-6s %-14s %8s %8s %8s %8s\n", "fault", "zones", "platform", "median", "p99", "worst", "learned")
	for _, c := range []struct {
		names []string
		zones int
	}{
		{[]string{"primary crash"}, 3},
		{[]string{"primary silent"}, 3},
		{[]string{"primary silent"}, 4},
		{[]string{"primary cut off with its zone"}, 3},
		{[]string{"primary cut off with its zone"}, 4},
		{[]string{"primary silent", "leader dies at a step"}, 3},
		{[]string{"primary silent", "leader pauses at a step"}, 3},
	} {
		for _, platform := range []platformMode{platformUp, platformDown} {
			limit := 3 * time.Second
			if platform == platformUp {
				limit = 2 * time.Second
			}
			set := fault{apply: func(w *world) { w.platform.mode = platform }}
			got := many(seeds, options{zones: c.zones}, append([]fault{set}, allNamed(c.names)...)...)
			is := is.New(t)
			is.Equal(got.violations, nil)
			is.True(got.at(1) <= limit)
			is.True(got.at(0.5) <= 600*ms)
			fmt.Fprintf(&b, "%-46s %-6d %-14v %8v %8v %8v %8v\n", strings.Join(c.names, " + "), c.zones, platform,
				got.at(0.5), got.at(0.99), got.at(1), got.learned.Round(ms))
		}
	}
	golden(t, "gaps.txt", b.String())
}

// TestBaselines sets the protocol beside simpler ones on the same seeds.
func TestBaselines(t *testing.T) {
	t.Parallel()
	const seeds = 8
	var b strings.Builder
	fmt.Fprintf(&b, "%-28s %-46s %8s %8s %6s\n", "variant", "fault", "median", "worst", "lost")
	for _, v := range []struct {
		name string
		o    options
	}{
		{"as it is", options{}},
		{"no confirmation", options{noConfirm: true}},
		{"fixed timeout of 1 s", options{settings: promoter.Settings{Fixed: time.Second}}},
		{"no deputies", options{settings: promoter.Settings{NoDeputies: true}}},
	} {
		for _, names := range [][]string{
			{"primary silent"},
			{"primary cut off with its zone"},
			{"primary silent", "replicas behind"},
			{"primary silent", "leader dies at a step"},
		} {
			got := many(seeds, v.o, allNamed(names)...)
			fmt.Fprintf(&b, "%-28s %-46s %8v %8v %6d\n", v.name, strings.Join(names, " + "),
				got.at(0.5), got.at(1), got.lost)
		}
	}
	golden(t, "baselines.txt", b.String())
}

// Symptom: a healthy primary is replaced because it is busy. Sequence: its
// statements and probes take up to five times as long, with a long tail. Cause: a
// timeout that doesn't follow the latency seen, or one zone's word for it.
func TestFalsePromotions(t *testing.T) {
	t.Parallel()
	const seeds = 20
	var b strings.Builder
	slow := fault{apply: func(w *world) { w.primary().slow = 5 }}
	fmt.Fprintf(&b, "%-28s %8s %8s %12s\n", "variant", "usual", "spread", "promotions")
	for _, v := range []struct {
		name string
		set  promoter.Settings
	}{
		{"as it is", promoter.Settings{}},
		{"fixed timeout of 100 ms", promoter.Settings{Fixed: 100 * ms}},
		{"the same, one zone's word", promoter.Settings{Fixed: 100 * ms, Single: true}},
	} {
		for _, usual := range []options{
			{statement: 2 * ms, spread: 1.5},
			{statement: 30 * ms, spread: 0.8},
			{statement: 100 * ms, spread: 0.3},
		} {
			o := usual
			o.settings = v.set
			got := many(seeds, o, slow)
			is := is.New(t)
			is.Equal(got.lost, 0)
			is.True(v.set.Fixed > 0 || got.promotions == 0)
			fmt.Fprintf(&b, "%-28s %8v %8v %12d\n", v.name, usual.statement, usual.spread, got.promotions)
		}
	}
	golden(t, "false.txt", b.String())
}

// TestCostOfConfirmation measures what a booking waits for its confirmation, by
// replication lag, with 500 ms for each booking.
func TestCostOfConfirmation(t *testing.T) {
	t.Parallel()
	var b strings.Builder
	fmt.Fprintf(&b, "%-8s %-16s %10s %10s %6s %8s %8s\n", "lag", "acknowledged", "median", "p99", "acked", "not run", "unknown")
	for _, lag := range []time.Duration{0, 2 * ms, 10 * ms, 50 * ms, 200 * ms, 400 * ms, time.Second} {
		for _, without := range []bool{false, true} {
			w := newWorld(1, options{noConfirm: without, allowed: 500 * ms})
			w.RunUntil(epochStart.Add(warmUp))
			for _, u := range w.upstreams {
				u.lag = lag
			}
			w.delays, w.notRun, w.unknown = nil, 0, 0
			w.RunUntil(epochStart.Add(10 * time.Second))
			slices.Sort(w.delays)
			name := "by a replica"
			if without {
				name = "by the primary"
			}
			median, high := time.Duration(0), time.Duration(0)
			if n := len(w.delays); n > 0 {
				median, high = w.delays[n/2].Round(ms/10), w.delays[n*99/100].Round(ms/10)
			}
			fmt.Fprintf(&b, "%-8v %-16s %10v %10v %6d %8d %8d\n", lag, name,
				median, high, len(w.delays), w.notRun, w.unknown)
		}
	}
	golden(t, "confirmation.txt", b.String())
}
