package comparer

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"basildale.example/basildale/internal/matcher"
)

// playConnections plays a load in virtual time.
func playConnections(t *testing.T, c ConnectionsCase, seed uint64) (result ConnectionsResult) {
	synctest.Test(t, func(*testing.T) { result = PlayConnections(c, seed) })
	return result
}

// Guards against connections that are closed although their workspace needs them next, and
// against a hot workspace that takes the connections of others.
func TestConnectionLoads(t *testing.T) {
	var b strings.Builder
	for _, c := range []ConnectionsCase{
		{Name: "a third of a group's requests", Rate: 1076.0 / 8 / 3},
		{Name: "all of a group's requests", Rate: 1076.0 / 8},
		{Name: "a third, the largest at 7.5 times", Rate: 1076.0 / 8 / 3, Hot: 7.5},
		{Name: "all, the largest at 5 times", Rate: 1076.0 / 8, Hot: 5},
	} {
		for _, c.Fair = range []bool{false, true} {
			c.Workspaces, c.Gateways, c.Connections, c.Duration = 86, 6, 8, 60*time.Second
			r := playConnections(t, c, 1)
			fmt.Fprintf(&b, "%s: %s\n%s", c.Name, map[bool]string{false: "plain", true: "fair"}[c.Fair], r.String())
		}
	}
	matcher.Golden(t, "testdata/connections.golden", b.String())
}

// calm is the load that the failures come on top of.
func calm() ConnectionsCase {
	return ConnectionsCase{Workspaces: 86, Gateways: 6, Connections: 8, Rate: 1076.0 / 8, Duration: 20 * time.Second, Fair: true}
}

// Guards against a stampede of openings when all connections are reset at once: each gateway
// opens two at a time, and not more of them than requests need.
func TestResetOfAllConnections(t *testing.T) {
	is := is.New(t)
	c := calm()
	before := playConnections(t, c, 2)
	c.ResetEvery = 4 * time.Second
	r := playConnections(t, c, 2)
	is.True(r.MaxOpening <= 2*c.Gateways)
	is.True(r.Openings <= before.Openings+4*c.Gateways*c.Connections) // four resets
	is.Equal(r.InTime, r.Asked)
}

// Guards against requests that wait for nothing when the setting is switched while others
// wait.
func TestConnectionSharingSwitchedUnderLoad(t *testing.T) {
	is := is.New(t)
	c := calm()
	c.SwitchEvery = 300 * time.Millisecond
	r := playConnections(t, c, 3)
	is.Equal(r.InTime, r.Asked)
}
