package throttler

import (
	"fmt"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"basildale.example/basildale/internal/matcher"
)

// verdictDue is the objective of the most urgent operations.
const verdictDue = 150 * time.Millisecond

// newRankedFleet is newFleet with all processes ranked, or none.
func newRankedFleet(n int, ranked bool) *fleet {
	f := newFleet(n, tolerance, large, 1)
	f.ranked = func(*process) bool { return ranked }
	for _, p := range f.processes {
		p.node.Ranked = ranked
	}
	return f
}

// faults are the faults after which the first verdicts are counted. Processes that end stay
// away, but after a loss of power.
var faults = []struct {
	name   string
	inject func(f *fleet, owner *process)
}{
	{"none", func(*fleet, *process) {}},
	{"owner ends", func(_ *fleet, owner *process) { owner.down = true }},
	{"owner is paused for 1s", func(f *fleet, owner *process) {
		owner.paused = true
		f.after(time.Second, func() { f.resume(owner) })
	}},
	{"owner and every other process end", func(f *fleet, owner *process) {
		owner.down = true
		for i := 0; i < len(f.processes); i += 2 {
			f.processes[i].down = true
		}
	}},
	{"fleet is cut in two", func(f *fleet, _ *process) {
		for i := 0; i < len(f.processes); i += 2 {
			f.processes[i].partition = 1
		}
	}},
	{"a tenth of the datagrams is lost", func(f *fleet, _ *process) { f.lossRate = 0.1 }},
	{"all lose power for 1s", func(f *fleet, _ *process) {
		for _, p := range f.processes {
			p.down = true
		}
		f.run(time.Second)
		for _, p := range f.processes {
			f.start(p)
		}
	}},
}

// ownerOf returns the owner of the simulated workspace.
func (f *fleet) ownerOf() *process {
	owner, _ := f.processes[1].node.Owner("w")
	for _, p := range f.processes {
		if f.name(p) == owner.Name {
			return p
		}
	}
	return nil
}

// Guards against callers that wait for their verdict beyond their objective when the owner
// does not answer: what 100 operations a second get in the first and second second after a
// fault, of a quota of 117, at 88 processes.
func TestVerdictsAfterFaults(t *testing.T) {
	is := is.New(t)
	var out strings.Builder
	late := false
	fmt.Fprintln(&out, "quota   after                              second  granted  refused  unsure  longest ms  datagrams")
	for _, fault := range faults {
		for _, ranked := range []bool{false, true} {
			f := newRankedFleet(88, ranked)
			f.run(5 * time.Second)
			fault.inject(f, f.ownerOf())
			for second := 1; second <= 2; second++ {
				f.granted, f.refused, f.unsure, f.took = nil, 0, 0, nil
				sent := f.sent
				f.load(100, all(88), time.Second)
				f.run(time.Second)
				longest := time.Duration(0)
				for _, d := range f.took {
					longest = max(longest, d)
				}
				rule := map[bool]string{false: "plain", true: "ranked"}[ranked]
				fmt.Fprintf(&out, "%-7s %-34s %6d %8d %8d %7d %11d %10d\n", rule, fault.name, second, len(f.granted), f.refused-f.unsure, f.unsure, longest.Milliseconds(), f.sent-sent)
				late = late || ranked && longest > verdictDue
			}
		}
	}
	matcher.Golden(t, filepath.Join("testdata", "faults.golden"), out.String())
	is.True(!late)
}

// Guards against a rolling change of the setting that refuses or delays operations: ranked
// processes ask owners with the plain rule, and the other way round, also when the owner ends.
func TestMixedFleetServes(t *testing.T) {
	is := is.New(t)
	for _, rankedOwner := range []bool{false, true} {
		f := newRankedFleet(20, false)
		f.run(4 * time.Second)
		owner := f.ownerOf()
		var ranked []int
		for i, p := range f.processes {
			p.node.Ranked = i%2 == 0
			if p == owner {
				p.node.Ranked = rankedOwner
			} else if i%2 == 0 {
				ranked = append(ranked, i)
			}
		}
		f.load(0.6*large.Rate, all(20), 5*time.Second)
		f.run(6 * time.Second)
		is.Equal(f.refused, 0)
		owner.down = true
		f.took = nil
		f.load(0.4*large.Rate, ranked, 3*time.Second)
		f.run(4 * time.Second)
		for _, d := range f.took {
			is.True(d <= verdictDue)
		}
		is.True(f.unsure <= len(f.took)/20)
		t.Logf("owner ranked %v: %d refused and %d unsure of %d", rankedOwner, f.refused-f.unsure, f.unsure, len(f.took))
	}
}

// Guards against a wrong claim, after a lost reply, that takes the time of the fleet from an
// owner that answers, and against an owner that is leaving and is reported as silent.
func TestWrongClaimsAndLeavingOwners(t *testing.T) {
	is := is.New(t)
	f := newRankedFleet(5, true)
	f.run(4 * time.Second)
	owner := f.ownerOf()
	var claimant, other *process
	for _, p := range f.processes {
		if p != owner {
			claimant, other = other, p
		}
	}
	for range 20 {
		f.send(claimant, claimant.node.claimShard(Shard("w"), f.now.Add(claimant.skew)))
		f.run(250 * time.Millisecond)
	}
	now := f.now.Add(owner.skew)
	is.True(coverage(&owner.node.ledger.credited[Shard("w")], now) > 0.99)
	is.True(!other.node.HasClaims())
	owner.node.Leaving = true
	f.run(time.Second)
	next, _ := other.node.Owner("w")
	is.True(next.Name != f.name(owner))
	is.Equal(len(other.node.Excluded()), 0)
}

// Guards against a process whose state grows with each claim of a process that it does not
// know, and that credits its time to one.
func TestClaimsOfUnknownProcessesAreIgnored(t *testing.T) {
	is := is.New(t)
	f := newRankedFleet(3, true)
	f.run(4 * time.Second)
	owner := f.ownerOf()
	p := f.processes[0]
	if p == owner {
		p = f.processes[1]
	}
	owner.down = true
	known := len(p.node.ownerClocks)
	credited := 0
	for i := range 1000 {
		now := f.now.Add(p.skew)
		m := Message{Kind: Claim, From: ID(i + 1), To: NewID(f.name(p)), Shard: Shard("w"), OwnerClock: now.UnixNano()}
		for _, e := range p.node.Receive(&m, p.address, nil, now) {
			if e.Message.To == m.From && e.Message.Span > 0 {
				credited++
			}
		}
		f.run(time.Millisecond)
	}
	is.True(len(p.node.ownerClocks) <= known)
	is.Equal(credited, 0)
}
