package spreader

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

const hot, small = uint32(1), uint32(2)

var order = []string{"a", "b", "c", "d", "e", "f"}

// fleet is six gateways, of which each has what choose sends there.
type fleet struct {
	Group
	now  time.Time
	sent map[string]float64 // statements at a gateway, beside the small workspaces'
}

func newFleet() *fleet { return &fleet{now: time.Unix(1000, 0), sent: map[string]float64{}} }

// report has each gateway report two small statements and its part of the hot workspace's.
func (f *fleet) report() {
	f.now = f.now.Add(500 * time.Millisecond)
	for _, name := range order {
		f.Report(name, Load{2 + f.sent[name], 2 + f.sent[name], map[uint32]float64{hot: f.sent[name], small: 0.5}}, f.now)
	}
}

// play sends statements of the hot workspace, demand of them at a time, for some reports.
func (f *fleet) play(demand float64, reports int) (changes []Change) {
	for range reports {
		counts := map[string]float64{}
		for range 100 {
			name, change := f.Choose(hot, order, f.now)
			counts[name] += demand / 100
			if change != Unchanged {
				changes = append(changes, change)
			}
		}
		f.sent = counts
		f.report()
	}
	return changes
}

// Guards against a workspace that fills one gateway while others have room, against one that
// moves to and fro, and against small workspaces that lose their connections to it.
func TestLargeWorkspaceIsDivided(t *testing.T) {
	is := is.New(t)
	f := newFleet()
	changes := f.play(12, 4)
	is.Equal(changes[0], Spread)
	is.Equal(f.sent["a"] > 0, true)
	for _, name := range order {
		is.True(2+f.sent[name] <= FullFactor*4)
	}
	is.True(len(f.play(12, 10)) <= 1) // the effect of the first division has been seen
	is.Equal(f.play(12, 100), nil)    // it stays as it is
	name, _ := f.Choose(small, order, f.now)
	is.Equal(name, "a")
	f.play(3, 20)
	is.True(f.IsSpread(hot)) // the first gateway has no room for all of it
	f.play(0.4, 20)
	is.True(!f.IsSpread(hot))
	is.True(f.sent["a"] > 0.39)
}

// Guards against two large workspaces that leave their common first gateway and return to it by
// turns.
func TestTwoLargeWorkspacesShareTheirFirstGateway(t *testing.T) {
	is := is.New(t)
	f := newFleet()
	sent := map[uint32]map[string]float64{}
	for n := range 40 {
		f.now = f.now.Add(500 * time.Millisecond)
		for _, name := range order {
			f.Report(name, Load{1 + sent[1][name] + sent[3][name], 1 + sent[1][name] + sent[3][name], map[uint32]float64{1: sent[1][name], 3: sent[3][name]}}, f.now)
		}
		for _, id := range []uint32{1, 3} {
			sent[id] = map[string]float64{}
			for range 100 {
				name, _ := f.Choose(id, order, f.now)
				sent[id][name] += 0.06
			}
		}
		if n >= 10 {
			is.True(1+sent[1]["a"]+sent[3]["a"] <= FullFactor*3+0.2) // the parts are rounded to statements
			is.True(1+sent[1]["a"]+sent[3]["a"] >= 0.8*3)
		}
	}
}

// Guards against spreading on little load, where one statement more makes a gateway full, and
// on reports that are lost or of some gateways only.
func TestAffinityDecidesWithoutLoad(t *testing.T) {
	is := is.New(t)
	f := newFleet()
	now := time.Unix(1000, 0)
	first := func() string { name, _ := f.Choose(hot, order, now); return name }
	is.Equal(first(), "a") // nothing has been reported
	for _, name := range order {
		f.Report(name, Load{0.1, 0.1, nil}, now)
	}
	f.Report("a", Load{3, 3, map[uint32]float64{hot: 3}}, now.Add(1))
	is.Equal(FullFactor*3.5/6 < 1, true)
	is.Equal(first(), "a")
	f = newFleet()
	f.Report("a", Load{9, 9, map[uint32]float64{hot: 9}}, now)
	is.Equal(first(), "a") // the only one that is known
	f.Report("b", Load{1, 1, nil}, now)
	f.Choose(hot, order, now)
	is.True(f.IsSpread(hot))
	now = now.Add(ReportTTL)
	is.Equal(first(), "a") // reports have stopped
	is.True(!f.IsSpread(hot))
	name, _ := f.Choose(hot, nil, now)
	is.Equal(name, "")
}

// Guards against statements for a gateway that has died: the parts of the others remain.
func TestGatewayThatDiesIsLeftOut(t *testing.T) {
	is := is.New(t)
	f := newFleet()
	f.play(12, 6)
	left := order[1:]
	for range 20 {
		name, _ := f.Choose(hot, left, f.now)
		is.True(name != "a" && name != "")
	}
}

// Guards against what this process has just sent to a gateway not counting until the next
// report, and against a count that never falls.
func TestOwnStatementsCount(t *testing.T) {
	is := is.New(t)
	f := newFleet()
	f.report()
	for range 12 {
		f.Begin("a", f.now)
	}
	even, ok := f.evenShare(order, f.now)
	is.True(ok)
	is.Equal(even, 4.0)
	is.True(f.isFull("a", even, f.now))
	for range 13 {
		f.End("a")
	}
	is.Equal(f.gateways["a"].load(), 2.0)
}

// Guards against memory that grows with the names in reports.
func TestWhatIsKeptIsBounded(t *testing.T) {
	is := is.New(t)
	f := newFleet()
	for i := range uint32(10 * maxGateways) {
		f.Report(fmt.Sprint(i), Load{1, 1, map[uint32]float64{i: 1}}, f.now)
		f.Report("a", Load{1, 1, map[uint32]float64{i: 1}}, f.now.Add(time.Duration(i)))
	}
	is.Equal(len(f.gateways), maxGateways)
	is.True(len(f.gateways["a"].uses) <= maxUses)
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{6, 32, 128} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			g, now := &Group{}, time.Unix(1000, 0)
			var names []string
			for i := range n {
				names = append(names, fmt.Sprint("proxy-", i))
				g.Report(names[i], Load{2, 2, map[uint32]float64{hot: 0.2}}, now)
			}
			g.Report(names[0], Load{float64(3 * n), float64(3 * n), map[uint32]float64{hot: float64(3 * n)}}, now.Add(time.Second))
			for b.Loop() {
				g.Choose(hot, names, now.Add(time.Second))
			}
			if !g.IsSpread(hot) {
				b.Error("not spread")
			}
		})
	}
}

// Guards against a division that is given up where the parts of a workspace are small because
// there are many gateways: all of it would go to the first one.
func TestLargeWorkspaceIsDividedOverManyGateways(t *testing.T) {
	is := is.New(t)
	var many []string
	for i := range 40 {
		many = append(many, fmt.Sprintf("p%02d", i))
	}
	var g Group
	now := time.Unix(1000, 0)
	sent := map[string]float64{many[0]: 90}
	for range 40 {
		now = now.Add(500 * time.Millisecond)
		for _, name := range many {
			g.Report(name, Load{0.25 + sent[name], 0.25 + sent[name], map[uint32]float64{hot: sent[name]}}, now)
		}
		counts := map[string]float64{}
		for range 900 {
			name, _ := g.Choose(hot, many, now)
			counts[name] += 0.1
		}
		sent = counts
	}
	even := 0.25 + 90/40.0
	for _, name := range many {
		is.True(0.25+sent[name] <= FullFactor*even)
	}
}

// Guards against a large workspace that is forgotten because reports name more workspaces than
// are kept.
func TestLargestUsesAreKept(t *testing.T) {
	is := is.New(t)
	for range 20 { // uses are read in any order
		var g Group
		now := time.Unix(1000, 0)
		uses := map[uint32]float64{hot: 1}
		for id := range uint32(2 * maxUses) {
			uses[10+id] = 0.01
		}
		g.Report("a", Load{10, 2, uses}, now)
		g.Report("a", Load{10, 2, uses}, now.Add(100*time.Millisecond))
		is.True(g.MayChoose(hot, now.Add(time.Second)))
		is.True(len(g.gateways["a"].uses) <= maxUses)
	}
}
