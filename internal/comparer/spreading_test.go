package comparer

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"basildale.example/basildale/internal/matcher"
	"basildale.example/basildale/spreader"
)

// Guards against one workspace that fills a gateway while others have room, and against small
// workspaces that lose their connections because of it.
func TestWorkspaceWithHalfOfTheRequests(t *testing.T) {
	is := is.New(t)
	var b strings.Builder
	for _, seed := range []uint64{1, 2, 3} {
		var openings [2]int
		for n, spread := range []bool{false, true} {
			c := ConnectionsCase{
				Name: "half", Workspaces: 86, Gateways: 6, Connections: 21, Rate: 300, Hot: 7.3, Fair: true, Duration: 30 * time.Second,
				Slots: 12, Forwarders: 24, Spread: spread,
			}
			var r ConnectionsResult
			var s *spreading
			synctest.Test(t, func(*testing.T) { r, s = playSpreading(c, seed) })
			ratio, excess := s.Fullest()
			largest, others := s.Moved()
			openings[n] = r.OthersOpenings
			fmt.Fprintf(&b, "seed %d, spread %v: fullest gateway %.2f of the even share, at most %.1f statements above the bound in a second\n  largest at %d gateways, %d others at more than one\n%s",
				seed, spread, ratio, excess, largest, others, r.String())
			if spread {
				is.True(ratio <= spreader.FullFactor)
				is.True(excess <= float64(c.Forwarders))
				is.Equal(others, 0)
			}
		}
		is.True(openings[1] <= openings[0])
	}
	matcher.Golden(t, "testdata/spreading.golden", b.String())
}
