// Package throttler limits the rate of each workspace's operations across the whole
// fleet. A workspace has a token bucket whose tokens are produced by all processes and
// spent at one.
//
// Every process produces the same part of every workspace's tokens: of n processes, each
// produces one nth of them, for as long as it runs. It does not produce single tokens but
// credits time: the span since its last credit. Workspaces are divided among shards, and
// each shard has an owner, a process that collects the spans of all processes and grants
// operations for them. A token expires a fixed time after it was produced: as long as the
// quota's tolerance allows, which makes the burst. So nothing needs to be handed over when the
// owner changes: the tokens of the old one expire by themselves.
//
// So the limit does not depend on which processes consider themselves owners. Two halves
// of a partitioned fleet have two owners of a shard, each with the tokens of its half. A
// process that restarts begins to produce tokens when it starts, but credits no span
// before it knows how large the fleet is. A span is lost if its message is lost or late,
// or if its owner dies. Where the limit would be in doubt, fewer operations are granted.
//
// The package decides and does not send: a Node takes events and returns the messages to
// send. It has no clock of its own; times are those of a clock that also counts the time
// in which the machine is suspended.
//
// A ranked process (Node.Ranked) spends a workspace's tokens on its more urgent operations
// first. It collects verdicts by an Inquiry, which asks the next processes while the owner
// does not answer; these claim the time of the others. It gives refused operations successive
// turns, and counts grants by window, so that tokens that were not spent in time are not lost
// to a workspace with a lasting demand. The limit holds among processes of both kinds.
//
// # Usage
//
//	n := &throttler.Node{Self: name, Tolerance: tolerance, StartedAt: startedAt}
//	n.IsFleetKnown = true // once the process knows the whole fleet
//	n.SetFleet(self, others, size, now)
//	send(n.Tick(now)) // several times in a CreditInterval
//	send(n.Receive(message, from, quotas, now))
//	owner, remote := n.Owner(workspace)
//	verdict, out := n.Take(workspace, quota, now) // at the owner
//
// Ranked, for each operation:
//
//	q := &throttler.Inquiry{Ask: ask, Until: until, NewID: newID}
//	verdict, done, out := q.Step(n, now) // at q.Wake(), and after each q.Reply(message, now)
package throttler
