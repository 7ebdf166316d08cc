// Package carrier brings statements and transactions to the upstreams of
// database groups that replicate and confirm by themselves.
//
// A Group follows the upstreams of one group: who leads, which are leaving, how
// far the leader's log had come at which moment, and which don't answer. Each
// statement is placed by package placer, gets a pooled connection, and is sent
// again elsewhere as long as that is harmless. What can't be known is said to be
// in doubt, never guessed.
//
// Three rules keep reads right whatever this process believes:
//
//   - A read that must see everything runs inside a transaction that only the
//     present leader accepts. A former leader refuses its BEGIN.
//   - A read that may be old names a position of the leader's log that was asked
//     for inside the allowed age. An upstream whose log lacks it refuses.
//   - A session's own writes are named the same way.
//
// The package knows no wire: a Link is a connection of some protocol. Ages are
// measured by a clock that also counts the time a machine is suspended.
//
// # Usage
//
//	c := &carrier.Carrier{Dial: dial, Now: now, Log: log}
//	c.Apply(upstreams)
//	group, ok := c.Group("billet-db")
//	reply := group.Run(carrier.Job{Need: carrier.Need{MaxAge: age}, Deadline: deadline}, command)
package carrier
