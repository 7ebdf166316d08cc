// Package pooler implements a pool of open connections of any kind, each used by one
// caller at a time.
//
// The limit of a pool may change while it is in use. Callers that find the limit
// reached wait in the order of their arrival until a connection is returned or their
// context ends. The pool does no I/O itself and has no clock and no goroutine of its own:
// Dial and Close are supplied by the user, and dialing runs in the goroutine of the caller.
//
// Connections may belong to owners, such as the workspace that was sent to the upstream
// when the connection was opened. GetFor and TryGetFor return only connections of one
// owner, Get and TryGet those of any. The limit counts all of them together.
//
// With Sharing the connections can be divided among the owners by their expected demand: who
// may open one, and whose idle one is closed for it. Otherwise the connection that has been
// idle longest is closed, and callers open connections in the order of their arrival. With the
// demand that another pool has seen, Preopen opens connections before callers ask for them.
//
// # Usage
//
//	pool := &pooler.Pool[*Conn]{Limit: 4, Dial: dial, Close: shut}
//	conn, err := pool.Get(ctx)
//	if err != nil {
//		return err // ctx ended, dialing failed or the pool is closed
//	}
//	if healthy {
//		pool.Put(conn)
//	} else {
//		pool.Discard(conn)
//	}
//
// Every connection from a Get or TryGet method must be returned by exactly one Put or
// Discard.
package pooler
