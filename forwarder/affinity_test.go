package forwarder

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"basildale.example/basildale/carrier"
	"basildale.example/basildale/gossiper"
)

func (f *fleet) runFor(workspace string) carrier.Answer {
	runner, _ := f.Group("g")
	return runner.Run(&carrier.Job{Workspace: workspace, Arrived: f.now, Deadline: time.Now().Add(time.Second)}, carrier.Command{Verb: carrier.Read, ID: "r"})
}

// A workspace's statements of a group go to one proxy, those of many to all of them.
func TestAWorkspaceHasAProxyOfItsOwn(t *testing.T) {
	is := is.New(t)
	f := newFleet("a", "b", "c", "home")
	used := map[string]int{}
	for i := range 200 {
		workspace := fmt.Sprint("w", i)
		f.asked = nil
		for range 3 {
			is.Equal(f.runFor(workspace).Code, carrier.OK)
		}
		is.Equal(f.asked[0], f.asked[1])
		is.Equal(f.asked[0], f.asked[2])
		used[f.asked[0].String()]++
	}
	is.Equal(len(used), 4)
	for _, n := range used {
		is.True(n > 25) // of 50 in the mean
	}
}

// Guards against a workspace whose statements fail while its proxy is away: the next in
// its order carries them, and always the same one.
func TestTheNextInOrderCarries(t *testing.T) {
	is := is.New(t)
	f := newFleet("a", "b", "c")
	is.Equal(f.runFor("w").Code, carrier.OK)
	first := f.asked[0]
	f.fails[first] = errLost
	f.asked = nil
	is.Equal(f.runFor("w").Code, carrier.OK)
	is.Equal(f.asked[0], first)
	second := f.asked[1]
	is.True(second != first)
	f.now = f.now.Add(time.Second)
	f.asked = nil
	is.Equal(f.runFor("w").Code, carrier.OK)
	is.Equal(f.asked[0], second)
}

// Guards against work for the leader at a proxy that doesn't reach it.
func TestAProxyThatReachesTheLeaderGoesFirst(t *testing.T) {
	is := is.New(t)
	f := newFleet("a", "b", "c")
	for _, p := range f.peers[:2] {
		p.Groups["g"] = gossiper.GroupState{IsGateway: true, LeaderFault: gossiper.Unreachable}
	}
	for i := range 20 {
		f.asked = nil
		is.Equal(f.runFor(fmt.Sprint("w", i)).Code, carrier.OK)
		is.Equal(f.asked[0], at(2))
	}
}
