// Package listener takes caller connections and serves them on nbio's event
// loop, so that an idle connection costs no goroutine and no buffer.
//
// Connections are accepted on a listener of our own and handed to the engine:
// a listener can then be closed while its connections go on, and stopping right
// after the start is safe. Events are edge triggered and nothing is read for a
// connection before its handler asks: bytes that a handler doesn't want yet
// stay in the kernel, which makes the caller wait. Writing is bounded the same
// way: Write blocks while too much is unsent.
//
// # Usage
//
//	l := &listener.Listener{
//		Address: netip.MustParseAddrPort("127.0.0.1:0"),
//		Open:    func(c *listener.Conn) listener.Handler { return newSession(c) },
//	}
//	if err := l.Start(); err != nil {
//		return err
//	}
//	defer l.Stop()
//	fmt.Println(l.Bound())
package listener
