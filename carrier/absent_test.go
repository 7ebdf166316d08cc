package carrier

import (
	"context"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"basildale.example/basildale/cataloger"
	"basildale.example/basildale/tracker"
)

// Guards against a group that stays without a leader: the leader is lost soon after a replica
// has left, and the replica counted as one that may have the only confirmed copy of a commit
// until the leader had stated a position a second later.
func TestEndedReplicaIsAccountedForAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newReplacedGroup()
		defer s.registry.Stop()
		dial := s.registry.Dial
		gone := context.DeadlineExceeded
		s.registry.Dial = func(ctx context.Context, u cataloger.Upstream, workspace string) (Link, error) {
			if u.ID == "b" {
				return nil, gone
			}
			return dial(ctx, u, workspace)
		}
		leader := upstreamAtPort("a", 1)
		leader.Leads = true
		s.registry.SetUpstreams([]cataloger.Upstream{leader, upstreamAtPort("c", 3)})
		is.Equal(len(s.Observe().Upstreams), 3)
		s.CheckAbsent()
		time.Sleep(absentCheckInterval)
		is.Equal(len(s.Observe().Upstreams), 3) // it does not answer, and may go on receiving

		s.absent["b"].left = true
		s.CheckAbsent()
		time.Sleep(absentCheckInterval)
		is.Equal(len(s.Observe().Upstreams), 2) // it had announced that it leaves

		s.accounted, s.minReceived = nil, tracker.Mark{}
		s.registry.SetUpstreams([]cataloger.Upstream{leader, upstreamAtPort("b", 2), upstreamAtPort("c", 3)})
		s.registry.SetUpstreams([]cataloger.Upstream{leader, upstreamAtPort("c", 3)})
		is.Equal(len(s.Observe().Upstreams), 3)
		gone = syscall.ECONNREFUSED
		s.CheckAbsent()
		time.Sleep(50 * time.Millisecond)
		is.Equal(len(s.Observe().Upstreams), 2)
		is.Equal(s.Observe().MinReceived, mark(1, 20)) // as the leader stated since
	})
}

// Guards against the same where another process takes the lease over: it must learn from the
// record that the replica is accounted for.
func TestRosterNamesAccountedReplicas(t *testing.T) {
	is := is.New(t)
	g, _ := newRestartGroup()
	g.registry.SetUpstreams([]cataloger.Upstream{upstreamStartedAt("a", 1)})
	other, _ := newRestartGroup()
	other.registry.SetUpstreams([]cataloger.Upstream{upstreamStartedAt("a", 1)})
	is.Equal(len(other.Observe().Upstreams), 2)
	g.absent["b"].endedAt = time.Unix(1000, 0)
	g.recordLeader(g.upstreams[0], time.Unix(1001, 0), mark(1, 130))
	r := g.Roster()
	is.Equal(r.Accounted, []string{"b"})
	is.Equal(len(r.Members), 1)
	is.Equal(len(other.Roster().Merge(r).Members), 1)
	other.RestoreRoster(r)
	is.Equal(len(other.Observe().Upstreams), 1)
	is.Equal(other.Observe().MinReceived, mark(1, 130))
	other.registry.SetUpstreams([]cataloger.Upstream{upstreamStartedAt("a", 1), upstreamStartedAt("b", 1)})
	is.Equal(len(other.Roster().Accounted), 0) // it is back and may confirm commits again
}
