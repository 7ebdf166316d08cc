package carrier

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"basildale.example/basildale/cataloger"
)

// workspaceLink is an upstream's connection for one workspace. It reports statements of
// other workspaces that run on it. The id of each statement is its workspace.
type workspaceLink struct {
	slotLink
	workspace string
	onForeign func(id, workspace string)
}

func (o *workspaceLink) Exchange(_ time.Time, commands ...Command) ([]Answer, bool, error) {
	answers := make([]Answer, len(commands))
	for i, c := range commands {
		answers[i] = Answer{Signature: "-", Mark: mark(1, 1)}
		if c.Verb == Begin {
			answers[i].State = InTransaction
		}
		if c.ID != "" && c.ID != o.workspace {
			o.onForeign(c.ID, o.workspace)
		}
	}
	time.Sleep(time.Millisecond)
	return answers, true, nil
}

// Guards against a statement, a transaction or a retry of one workspace on a connection
// that was opened for another. The process's own commands may use any.
func TestStatementsUseConnectionsOfTheirWorkspace(t *testing.T) {
	is := is.New(t)
	synctest.Test(t, func(*testing.T) {
		var mu sync.Mutex
		var wrong []string
		opened, open, maxOpen := 0, 0, 0
		dial := func(_ context.Context, _ cataloger.Upstream, workspace string) (Link, error) {
			mu.Lock()
			defer mu.Unlock()
			opened++
			open++
			maxOpen = max(maxOpen, open)
			return &countedLink{workspaceLink{workspace: workspace, onForeign: func(id, linkWorkspace string) {
				mu.Lock()
				defer mu.Unlock()
				wrong = append(wrong, id+" on "+linkWorkspace)
			}}, func() {
				mu.Lock()
				defer mu.Unlock()
				open--
			}}, nil
		}
		c := &Registry{Dial: dial, Now: time.Now, Log: zap.NewNop(), ConnectionShares: func(map[string]int, int) map[string]int { return map[string]int{"g": 4} }}
		c.DivideConnections(1, []cataloger.GroupSettings{{Name: "g", MaxConnections: 8}})
		c.SetUpstreams([]cataloger.Upstream{{ID: "a", Group: "g", Leads: true, Slots: 4}})
		g, _ := c.Group("g")
		rng := rand.New(rand.NewPCG(3, 4))
		for range 400 {
			workspace := fmt.Sprint("w", rng.IntN(12))
			j := &Job{Request: workspace, Workspace: workspace, Arrived: time.Now(), Deadline: time.Now().Add(time.Second), Writes: rng.IntN(2) == 0}
			cmd := Command{ID: workspace, Verb: Read}
			if rng.IntN(3) > 0 {
				go g.Run(j, cmd)
			} else {
				go func() {
					tx, answer := g.Start(j, false, cmd)
					if answer.Code == OK {
						tx.Do(j, cmd)
						tx.Commit(j, Command{ID: workspace, Verb: Commit})
					}
				}()
			}
			if rng.IntN(4) == 0 {
				time.Sleep(time.Duration(rng.IntN(4)) * time.Millisecond)
			}
		}
		time.Sleep(2 * time.Second)
		seen := func() (int, int, []string) {
			mu.Lock()
			defer mu.Unlock()
			return opened, maxOpen, wrong
		}
		before, peak, foreign := seen()
		is.Equal(foreign, nil)
		is.True(peak <= 4)
		g.SampleLeader()
		after, _, _ := seen()
		is.Equal(after, before) // any connection will do
		c.Stop()
		synctest.Wait()
	})
}

// countedLink reports when a connection is closed.
type countedLink struct {
	workspaceLink
	closed func()
}

func (c *countedLink) Close() error {
	c.closed()
	return nil
}

// runReads simulates reads with bounded staleness, of many workspaces on three upstreams
// that accept a few connections. It returns the proportions of them that opened a
// connection and that ran on the leader.
func runReads(t *testing.T) (opening, led float64) {
	t.Helper()
	const (
		workspaces = 28
		share      = 7
		handshake  = 12 * time.Millisecond
		perSecond  = 20
		length     = 30 * time.Second
	)
	synctest.Test(t, func(*testing.T) {
		var mu sync.Mutex
		opened, ran, atLeader := 0, 0, 0
		dial := func(_ context.Context, _ cataloger.Upstream, workspace string) (Link, error) {
			time.Sleep(handshake)
			mu.Lock()
			defer mu.Unlock()
			opened++
			return &workspaceLink{workspace: workspace, onForeign: func(string, string) {}}, nil
		}
		c := &Registry{Dial: dial, Now: time.Now, Log: zap.NewNop(), ConnectionShares: func(map[string]int, int) map[string]int { return map[string]int{"g": share} }}
		c.DivideConnections(1, []cataloger.GroupSettings{{Name: "g", MaxConnections: share}})
		c.SetUpstreams([]cataloger.Upstream{{ID: "a", Group: "g", Leads: true, Slots: 2}, {ID: "b", Group: "g", Slots: 2}, {ID: "c", Group: "g", Slots: 2}})
		g, _ := c.Group("g")
		rng := rand.New(rand.NewPCG(3, 4))
		for now := time.Duration(0); now < length; {
			pause := time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second))
			time.Sleep(pause)
			now += pause
			// A few workspaces send most of the reads.
			workspace := fmt.Sprint("w", int(workspaces*rng.Float64()*rng.Float64()*rng.Float64()))
			j := &Job{
				Workspace: workspace, Freshness: cataloger.BoundedStaleness, MaxStaleness: 1500 * time.Millisecond,
				Arrived: time.Now(), ObjectiveAt: time.Now().Add(300 * time.Millisecond), Deadline: time.Now().Add(time.Second),
			}
			go func() {
				answer := g.Run(j, Command{ID: workspace, Verb: Read})
				mu.Lock()
				defer mu.Unlock()
				ran++
				if answer.Led {
					atLeader++
				}
			}()
		}
		time.Sleep(2 * time.Second)
		c.Stop()
		synctest.Wait()
		mu.Lock()
		defer mu.Unlock()
		opening, led = float64(opened)/float64(ran), float64(atLeader)/float64(ran)
	})
	return opening, led
}

// Guards against reads that open connections on all upstreams: a workspace's reads go to
// one replica, and to the leader only where no replica will do.
func TestReadsUseHomeReplica(t *testing.T) {
	is := is.New(t)
	opening, led := runReads(t)
	t.Logf("%.0f %% of the reads opened a connection, %.0f %% ran at the leader", 100*opening, 100*led)
	is.True(opening < 0.2)
	is.True(led < 0.05)
}
