// Package forwarder forwards statements to a peer where this process cannot run them
// itself: it does not reach a group's leader, or has no share of the group's
// connections.
//
// The decision is made for each statement, and for each transaction as a whole. A
// statement runs in this process where it can, else at a peer that reports no fault of the
// leader, preferably of the same availability zone. Of the processes that can run a
// statement of a workspace, the gateway with the highest affinity is preferred, so that
// the workspace's statements share its connections. Where loads are bounded, a workspace that is
// too large for that gateway is divided over the next ones, as package spreader decides. A peer
// never forwards further. While no process reaches a leader, the statement waits here as it
// would without peers.
//
// Where substitutes are in use, a gateway that does not reach the leader names the process that
// has its connections on loan, and statements that need the leader go there. Loans executes
// what package delegator decides about loans.
//
// A failure on the way to a peer is treated as one on the way to an upstream: a read is
// sent again, a write or commit that was sent is in doubt, and a transaction whose commit
// was not sent is rolled back by the peer once it has been idle for too long.
//
// Requests and responses are JSON. What callers and upstreams write may be any bytes, which JSON
// strings can't hold: see the type text for their form, and the wire types for what travels.
//
// # Usage
//
//	f := &forwarder.Forwarder{Local: c.Group, Gateways: gateways, Send: send, Now: now, Log: log}
//	runner, ok := f.Group("billet-db")
//	answer := runner.Run(job, command)
package forwarder
