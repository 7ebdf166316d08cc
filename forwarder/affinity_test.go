package forwarder

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"basildale.example/basildale/carrier"
	"basildale.example/basildale/gossiper"
)

func (f *fleet) runForWorkspace(workspace string) carrier.Answer {
	runner, _ := f.Group("g")
	return runner.Run(&carrier.Job{Workspace: workspace, Arrived: f.now, Deadline: time.Now().Add(time.Second)}, carrier.Command{Verb: carrier.Read, ID: "r"})
}

// A workspace's statements of a group go to one proxy, those of many workspaces to all.
func TestWorkspaceHasItsOwnGateway(t *testing.T) {
	is := is.New(t)
	f := newFleet("a", "b", "c", "home")
	used := map[string]int{}
	for i := range 200 {
		workspace := fmt.Sprint("w", i)
		f.called = nil
		for range 3 {
			is.Equal(f.runForWorkspace(workspace).Code, carrier.OK)
		}
		is.Equal(f.called[0], f.called[1])
		is.Equal(f.called[0], f.called[2])
		used[f.called[0].String()]++
	}
	is.Equal(len(used), 4)
	for _, n := range used {
		is.True(n > 25) // of 50 in the mean
	}
}

// Guards against a workspace whose statements fail while its proxy is away: the proxy with
// the next highest affinity runs them, and always the same one.
func TestNextInOrderReplacesLostGateway(t *testing.T) {
	is := is.New(t)
	f := newFleet("a", "b", "c")
	is.Equal(f.runForWorkspace("w").Code, carrier.OK)
	first := f.called[0]
	f.sendErrors[first] = errLost
	f.called = nil
	is.Equal(f.runForWorkspace("w").Code, carrier.OK)
	is.Equal(f.called[0], first)
	second := f.called[1]
	is.True(second != first)
	f.now = f.now.Add(time.Second)
	f.called = nil
	is.Equal(f.runForWorkspace("w").Code, carrier.OK)
	is.Equal(f.called[0], second)
}

// Guards against statements for the leader at a proxy that does not reach it.
func TestGatewayThatReachesLeaderGoesFirst(t *testing.T) {
	is := is.New(t)
	f := newFleet("a", "b", "c")
	for _, p := range f.peers[:2] {
		p.Groups["g"] = gossiper.GroupState{IsGateway: true, LeaderFault: gossiper.Unreachable}
	}
	for i := range 20 {
		f.called = nil
		is.Equal(f.runForWorkspace(fmt.Sprint("w", i)).Code, carrier.OK)
		is.Equal(f.called[0], at(2))
	}
}
