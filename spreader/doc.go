// Package spreader decides which of a group's gateways runs a statement, where a workspace is
// too large for the gateway that is first in its affinity order.
//
// A gateway is full when it has more than 1.25 times the even share of the group's statements.
// A large workspace whose first gateway is full is divided over the gateways in its order, each
// of which takes what it has room for. Small workspaces stay at their first gateway.
//
// Everything is a function of (state, event, now). The state of one group at one process is a
// [Group]: the loads that gateways have reported, what the process has in flight there, and how
// it divides large workspaces.
//
// # Usage
//
//	g := &spreader.Group{}
//	g.Report("proxy-1", spreader.Load{Statements: 3, Uses: uses}, now)
//	gateway, _ := g.Choose(id, []string{"proxy-1", "proxy-2"}, now)
//	g.Begin(gateway)
//	defer g.End(gateway)
package spreader
