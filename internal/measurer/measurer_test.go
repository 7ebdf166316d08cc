package measurer

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"basildale.example/basildale/internal/matcher"
)

// cases lists the runs of the comparison.
func cases() []Case {
	var list []Case
	for _, use := range []Use{Stay, Move, Alternate, Double, Blend} {
		for way := AlwaysPrimary; way <= Mix; way++ {
			list = append(list, Case{Way: way, Use: use, Patience: 100 * time.Millisecond})
		}
	}
	for trouble := ProxyDies; trouble <= PeerSilent; trouble++ {
		for way := AlwaysPrimary; way <= Mix; way++ {
			list = append(list, Case{Way: way, Use: Blend, Trouble: trouble, Patience: 100 * time.Millisecond})
		}
	}
	for way := AlwaysPrimary; way <= Mix; way++ {
		list = append(list, Case{Way: way, Use: Blend, Sessions: 400, Patience: 100 * time.Millisecond})
	}
	for _, ms := range []int{0, 20, 50, 200} {
		list = append(list, Case{Way: Mix, Use: Alternate, Patience: time.Duration(ms) * time.Millisecond})
	}
	for _, ms := range []int{20, 200, 500} {
		list = append(list, Case{Way: Mix, Use: Alternate, Sample: time.Duration(ms) * time.Millisecond, Patience: 100 * time.Millisecond})
	}
	for _, trouble := range []Trouble{NoTrouble, ReplicaSlow, ReplicaLags} {
		for pick := ByRouter; pick <= RoundRobin; pick++ {
			list = append(list, Case{Way: Carried, Use: Stay, Trouble: trouble, Pick: pick, Sessions: 240, Patience: 50 * time.Millisecond})
		}
	}
	return list
}

// TestComparison plays all cases and compares them with the golden file, exactly.
func TestComparison(t *testing.T) {
	is := is.New(t)
	list := cases()
	lines := make([]string, len(list))
	t.Run("cases", func(t *testing.T) {
		for i, c := range list {
			t.Run(fmt.Sprint(i), func(t *testing.T) {
				t.Parallel()
				r := Run(c)
				lines[i] = r.String()
				is.New(t).Equal(r.Stale, 0) // reads that missed a write of their session
			})
		}
	})
	got := Header() + "\n" + strings.Join(lines, "\n") + "\n"
	matcher.Golden(t, "testdata/comparison.golden", got)
}
