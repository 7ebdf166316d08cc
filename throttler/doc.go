// Package throttler bounds what each workspace may ask of the whole fleet, as a token
// bucket whose tokens are made by all processes and spent at one.
//
// Every process makes the same part of every workspace's tokens: of n processes, each
// makes one nth of them, for as long as it runs. It makes no tokens one by one but gives
// away time: the span since it last gave some. Workspaces are divided among shards, and
// each shard has a holder, a process that collects such spans from all and grants
// operations for them. A token can be spent only for as long after it was made as its
// quota's burst lasts at its rate, so that nothing needs to be handed over when the
// holder changes: what the old one holds ends by itself.
//
// A process that doesn't know yet how many there are makes none.
//
// So the bound doesn't rest on who believes to be the holder. Two halves of a fleet that
// is cut in two have two holders of a shard, each with the tokens of its half. A process
// that starts again begins to make tokens when it starts. A span that is lost, late or
// given to a holder that dies is lost. Where the bound would be in doubt, fewer are
// granted.
//
// The package decides and doesn't send: a Node takes events and returns what is to be
// sent. It has no clock of its own; times are those of a clock that also counts the time
// in which the machine is suspended.
//
// # Usage
//
//	n := &throttler.Node{Self: name, Terms: terms}
//	n.Join(self, others, size, now)
//	send(n.Tick(now)) // some times in a Period
//	send(n.Receive(message, from, quotas, now))
//	holder, remote := n.Holder(workspace)
//	verdict, out := n.Take(workspace, quota, now) // at the holder
package throttler
