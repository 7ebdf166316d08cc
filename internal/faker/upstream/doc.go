// Package upstream is a stand-in for a database group, for tests and for the
// demonstration. It implements the upstream contract of docs/CONTRACTS.md over
// PostgreSQL protocol 3 on loopback sockets, with a small subset of SQL over
// tables in memory.
//
// An [Upstream] is one database process: a listener, its sessions, its tables
// and its log of committed transactions. A [Group] is several upstreams of which
// the first starts as the primary. Replicas pull the primary's log in the
// background and apply each entry once it is older than their lag.
//
// Isolation is optimistic: a transaction reads committed rows and its own
// writes, and its commit fails with 40001 (or 23505 for an insert) when another
// one has changed the same rows in between. Settings made by SET are not undone
// by ROLLBACK. The basildale_* functions use none of the statement slots.
//
// # Usage
//
//	g, err := upstream.NewGroup(upstream.Options{Size: 3, Lag: 20 * time.Millisecond})
//	if err != nil {
//		return err
//	}
//	defer g.Close()
//	conn, err := pgx.Connect(ctx, "postgres://app@"+g.Upstreams[0].Addr().String()+"/app")
//
// Faults are methods of Upstream: Cut, Freeze, Crash, Slow, LoseAnswers; Restore
// and Thaw end them.
package upstream
