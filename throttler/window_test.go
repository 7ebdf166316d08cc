package throttler

import (
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"basildale.example/basildale/cataloger"
	"basildale.example/basildale/internal/matcher"
)

// Guards against a workspace with a demand beyond its quota that gets less than each window
// allows: what is granted per second over 30 s at three times the quota, at 40 processes.
func TestSustainedDemand(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var out strings.Builder
	fmt.Fprintln(&out, "quota: rate  burst   allowed/s   granted/s: plain  ranked   fullest window: plain  ranked  allowed")
	for _, quota := range []cataloger.Quota{small, {Rate: 20, Burst: 20}, large, {Rate: 165, Burst: 165}, {Rate: 100, Burst: 10}, {Rate: 1000, Burst: 1000}} {
		var rates [2]float64
		var fullest [2]int
		var allowed float64
		for i := range 2 {
			f := newFleet(40, tolerance, quota, 1)
			for _, p := range f.processes {
				p.node.Ranked = i == 1
			}
			f.run(4 * time.Second)
			f.load(3*quota.Rate, all(40), 35*time.Second)
			f.run(5 * time.Second)
			before := len(f.granted)
			f.run(30 * time.Second)
			rates[i], fullest[i], allowed = float64(len(f.granted)-before)/30, f.maxGranted(tolerance.Window), f.allowed()
			is.True(float64(fullest[i]) <= allowed)
		}
		is.True(rates[1] >= rates[0])
		fmt.Fprintf(&out, "%11.0f %6.0f %11.1f %18.1f %7.1f %22d %7d %8.0f\n", quota.Rate, quota.Burst, allowed/tolerance.Window.Seconds(), rates[0], rates[1], fullest[0], fullest[1], allowed)
	}
	matcher.Golden(t, filepath.Join("testdata", "sustained.golden"), out.String())
}

// Guards against a window rule that is too lax for other windows than 5 s, whose grants are
// counted in wider buckets, and against credits that are kept for too short a time.
func TestWindowRuleOfOtherWindows(t *testing.T) {
	is := is.New(t)
	for _, window := range []time.Duration{time.Second, 1700 * time.Millisecond, 7 * time.Second, 20 * time.Second, time.Minute} {
		tolerance := Tolerance{Window: window, Excess: 0.1, Slack: 20}
		quota := cataloger.Quota{Rate: 30, Burst: 20}
		rng := rand.New(rand.NewPCG(1, 2))
		n := Node{Self: "a", Tolerance: tolerance, StartedAt: time.Unix(1000, 0), IsFleetKnown: true, Ranked: true}
		now := time.Unix(1010, 0)
		n.SetFleet(Member{Name: "a"}, nil, 1, now)
		f := fleet{tolerance: tolerance, quota: quota}
		for end := now.Add(3*window + 10*time.Second); now.Before(end); now = now.Add(time.Duration(rng.IntN(12)) * time.Millisecond) {
			n.Tick(now)
			if v, _ := n.TakeRanked(Ask{Workspace: "w", Quota: quota, Rank: 1, Left: time.Second}, now); v.Granted {
				f.granted = append(f.granted, now)
			}
		}
		is.True(float64(f.maxGranted(window)) <= f.allowed())
		t.Logf("window %s: %d of %.0f", window, f.maxGranted(window), f.allowed())
		is.True(float64(f.maxGranted(window)) >= 0.8*f.allowed())
	}
}

// Guards against a lowered limit that takes effect late by the window rule.
func TestLoweredRankedQuotaAppliesAtOnce(t *testing.T) {
	is := is.New(t)
	f := newRankedFleet(9, true)
	f.run(4 * time.Second)
	f.load(2*large.Rate, all(9), 30*time.Second)
	f.run(10 * time.Second)
	f.quota = small
	f.run(tolerance.Window)
	f.granted = nil
	f.run(15 * time.Second)
	is.True(float64(f.maxGranted(tolerance.Window)) <= f.allowed())
	is.True(len(f.granted) > 0)
}

// Guards against more than a window allows while the rule is switched back and forth: what
// one rule grants must count for the other.
func TestSwitchedRulesHoldInEveryWindow(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	for _, every := range []time.Duration{300 * time.Millisecond, 900 * time.Millisecond, 2500 * time.Millisecond, 6 * time.Second} {
		f := newRankedFleet(5, false)
		f.run(4 * time.Second)
		f.load(6*large.Rate, all(5), 40*time.Second)
		for range int(40 * time.Second / every) {
			for _, p := range f.processes {
				p.node.Ranked = !p.node.Ranked
			}
			f.run(every)
		}
		is.True(float64(f.maxGranted(tolerance.Window)) <= f.allowed())
	}
}

// Guards against verdicts that stay undecided for as long as the fleet counts processes that
// have ended: 10 minutes.
func TestRankedRefusalsAreSureAfterManyEnded(t *testing.T) {
	is := is.New(t)
	f := newRankedFleet(20, true)
	f.run(4 * time.Second)
	for i, p := range f.processes {
		p.down = i >= 6
	}
	for _, p := range f.processes[:6] {
		var others []Member
		for _, o := range f.processes[:6] {
			if o != p {
				others = append(others, Member{Name: f.name(o), Address: o.address})
			}
		}
		p.node.SetFleet(Member{Name: f.name(p)}, others, len(f.processes), f.now.Add(p.skew))
	}
	f.run(3 * time.Second)
	f.load(2*large.Rate, all(6), 5*time.Second)
	f.run(6 * time.Second)
	is.True(f.refused > 500)
	is.Equal(f.unsure, 0)
}

// Guards against a panic of a process that serves within a Window of the start of its
// machine: its clock counts from there.
func TestWindowRuleSoonAfterBoot(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, int64(300*time.Millisecond))
	n := Node{Self: "a", Tolerance: Tolerance{Window: time.Minute, Excess: 0.1, Slack: 20}, StartedAt: now, IsFleetKnown: true, Ranked: true}
	n.SetFleet(Member{Name: "a"}, nil, 1, now)
	granted := 0
	for end := now.Add(10 * time.Second); now.Before(end); now = now.Add(20 * time.Millisecond) {
		n.Tick(now)
		if v, _ := n.TakeRanked(Ask{Workspace: "w", Quota: cataloger.Quota{Rate: 30, Burst: 20}, Rank: 1, Left: time.Second}, now); v.Granted {
			granted++
		}
	}
	is.True(granted > 200)
}
