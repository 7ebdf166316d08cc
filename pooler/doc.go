// Package pooler keeps open connections of any kind warm and gives each to one
// owner at a time.
//
// A pool has a limit that may change while it is used. Who asks when the limit
// is reached waits in line, first come first served, until a connection comes
// back or the context ends. The pool does no I/O and has no clock and no
// goroutine of its own: Dial and Close are seams, and opening runs in the
// goroutine of the one who asks.
//
// Connections may belong to owners, such as the workspace that an upstream was told
// when they were opened. GetFor and TryGetFor give out those of one owner only, Get and
// TryGet any. The limit counts all of them together.
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
// Every connection from Get goes back by exactly one Put or Discard.
package pooler
