package carrier

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"basildale.example/basildale/cataloger"
)

// runScan runs statements of one workspace, with a scan of many others between them, and
// returns how many connections were opened for the workspace and the most that were open.
func runScan(t *testing.T, fair bool) (opened, maxOpen int64) {
	synctest.Test(t, func(t *testing.T) {
		var own, open, most atomic.Int64
		dial := func(_ context.Context, _ cataloger.Upstream, workspace string) (Link, error) {
			if workspace == "w" {
				own.Add(1)
			}
			most.Store(max(most.Load(), open.Add(1)))
			foreign := func(id, workspace string) { t.Error("statement of", id, "on a connection of", workspace) }
			return &countedLink{workspaceLink{workspace: workspace, onForeign: foreign}, func() { open.Add(-1) }}, nil
		}
		c := &Registry{
			Dial: dial, Now: time.Now, Log: zap.NewNop(),
			ConnectionShares: func(map[string]int, int) map[string]int { return map[string]int{"g": 3} },
			Features:         func() Features { return Features{FairConnections: fair} },
		}
		c.DivideConnections(1, []cataloger.GroupSettings{{Name: "g", MaxConnections: 6}})
		c.SetUpstreams([]cataloger.Upstream{{ID: "a", Group: "g", Leads: true, Slots: 4}})
		g, _ := c.Group("g")
		for i := range 90 {
			workspace := "w"
			if i%6 > 0 {
				workspace = fmt.Sprint(i)
			}
			j := &Job{Workspace: workspace, Arrived: time.Now(), Deadline: time.Now().Add(time.Second), Writes: true}
			if a := g.Run(j, Command{ID: workspace, Verb: Read}); a.Code != OK {
				t.Error(a.Text)
			}
			time.Sleep(50 * time.Millisecond)
		}
		c.Stop()
		synctest.Wait()
		opened, maxOpen = own.Load(), most.Load()
	})
	return opened, maxOpen
}

// Guards against workspaces with little demand that take the connection of one with much.
// In the first round all have the same demand, so it is opened once more. Without the
// setting the connection that has been idle longest is closed, as ever.
func TestFairConnectionsKeepThoseInDemand(t *testing.T) {
	is := is.New(t)
	opened, maxOpen := runScan(t, true)
	is.Equal(opened, int64(2))
	is.True(maxOpen <= 3)
	opened, maxOpen = runScan(t, false)
	is.Equal(opened, int64(15))
	is.True(maxOpen <= 3)
}
