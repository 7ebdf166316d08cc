package carrier

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"basildale.example/basildale/cataloger"
)

// Guards against memory that grows with the number of workspaces, against a hot workspace that
// disappears among 10,000 small ones, and against service time that is lost or counted twice
// when accounts make room.
func TestUsageOfManyWorkspacesIsBounded(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var u usage
	for i := range 10_000 {
		for _, name := range []string{fmt.Sprint("w", i), "hot"} {
			a := u.begin(name, now)
			a.end(time.Millisecond, now)
		}
		is.True(len(u.accounts) <= maxUsageAccounts)
	}
	list := u.list(now)
	is.Equal(list[0], WorkspaceUsage{"hot", 10 * time.Second, 0})
	is.Equal(list[1], WorkspaceUsage{OtherWorkspaces, (10_000 - maxUsageAccounts + 1) * time.Millisecond, 0})
	var sum time.Duration
	for _, w := range list {
		sum += w.Busy
	}
	is.Equal(sum, 20*time.Second)
	is.Equal(len(u.list(now.Add(usageSeconds*time.Second))), 0) // older use no longer counts
}

// Guards against a statement whose account is given away while it runs, and against counts
// that stay behind when all places are taken by running statements.
func TestRunningStatementsKeepTheirAccount(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var u usage
	var open []*usageAccount
	for i := range maxUsageAccounts + 5 {
		open = append(open, u.begin(fmt.Sprint("w", i), now))
	}
	is.Equal(len(u.list(now)), maxUsageAccounts+1)
	is.Equal(u.list(now)[0], WorkspaceUsage{OtherWorkspaces, 0, 5})
	for i, a := range open {
		now = now.Add(time.Duration(i%2) * time.Second / 10)
		a.end(time.Second, now)
	}
	for _, w := range u.list(now) {
		is.Equal(w.Running, 0)
	}
}

// Guards against data races between statements that begin and end and an operator who asks.
func TestUsageIsReadWhileStatementsRun(t *testing.T) {
	is := is.New(t)
	c := &Registry{Now: time.Now, Log: zap.NewNop()}
	c.SetUpstreams([]cataloger.Upstream{{ID: "u1", Group: "g", Slots: 4}})
	g, _ := c.Group("g")
	g.activate()
	u := g.findUpstream("u1")
	var group sync.WaitGroup
	for i := range 8 {
		group.Go(func() {
			for range 200 {
				g.mu.Lock()
				a := u.usage.begin(fmt.Sprint("w", i), c.Now())
				g.mu.Unlock()
				g.mu.Lock()
				a.end(time.Millisecond, c.Now())
				g.mu.Unlock()
				c.Usage()
			}
		})
	}
	group.Wait()
	list := c.Usage()
	is.Equal(len(list), 1)
	is.Equal(len(list[0].Workspaces), 8)
	is.Equal(list[0].Workspaces[0], WorkspaceUsage{"w0", 200 * time.Millisecond, 0})
	is.Equal(list[0].Slots, 4)
}

func BenchmarkUsage(b *testing.B) {
	for _, n := range []int{maxUsageAccounts, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			names := make([]string, n)
			for i := range names {
				names[i] = fmt.Sprint("workspace-", i)
			}
			var u usage
			now := time.Unix(1000, 0)
			i := 0
			for b.Loop() {
				i++
				u.begin(names[i%n], now).end(time.Millisecond, now.Add(time.Duration(i)*time.Millisecond))
			}
		})
	}
}
