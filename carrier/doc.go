// Package carrier runs statements and transactions on the upstreams of database groups,
// which replicate their data and confirm commits themselves.
//
// A Group tracks the upstreams of one group: which one leads, which are leaving, the
// position of the leader's log at known times, and which do not answer. Package placer
// chooses the upstream for each statement, which then gets a pooled connection and is
// retried on another upstream as long as that is safe. An outcome that cannot be known is
// reported as in doubt, never guessed.
//
// With [Features].ExpectedPlacement, or AdaptivePlacement where other availability zones are
// far, reads that a replica may serve go where they are expected to be answered first, and
// a few that are late are sent once more. See docs/design/expected-placement.md.
//
// Three rules keep reads correct even where this process's view is out of date:
//
//   - A read that must see every commit runs inside a transaction that only the
//     current leader accepts. A former leader refuses its BEGIN.
//   - A read with bounded staleness names a position of the leader's log that was
//     requested within the allowed age. An upstream whose log lacks it refuses.
//   - A read that must see its session's writes names the position of the last one
//     in the same way.
//
// The package does not depend on a wire protocol: a Link is a connection of any protocol.
// Ages are measured by a clock that also counts the time in which the machine is suspended.
//
// # Usage
//
//	c := &carrier.Registry{Dial: dial, Now: now, Log: log}
//	c.SetUpstreams(upstreams)
//	group, ok := c.Group("billet-db")
//	answer := group.Run(&carrier.Job{Freshness: cataloger.BoundedStaleness, MaxStaleness: age, Arrived: now(), Deadline: deadline}, command)
package carrier
