// Package relayer serves callers' sessions: startup, statements, transactions
// and answers, between a caller's connection and connections to upstreams.
//
// A [Relay] holds what all sessions of a proxy share; its function fields are
// the seams to routing, pools, confirmation and settling. A [Session] is one
// caller connection. It has no goroutine while it is idle: an event starts its
// worker, which reads what has arrived, carries out whole units (a simple query,
// or extended messages up to a Sync or Flush) in their order, and ends when
// nothing is left. An open transaction keeps its upstream connection without a
// goroutine.
//
// Nothing is read from a caller before it is needed, and no answer is held
// whole: a caller that sends too fast or reads too slowly makes the other side
// wait. Only the end of an answer, from the last CommandComplete on, is kept
// back until a write is confirmed, because that end is the acknowledgement.
//
// What became of a unit is a retrier.Outcome, never a guess. An upstream
// connection whose answer was given up is closed and not used again.
//
// # Usage
//
//	relay := &relayer.Relay{
//		Login:   login,
//		Route:   route,
//		Acquire: acquire,
//		Release: release,
//	}
//	l := &listener.Listener{
//		Address: address,
//		Open: func(c *listener.Conn) listener.Handler { return relay.Open(c) },
//	}
package relayer
