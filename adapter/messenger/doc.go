// Package messenger carries requests between the proxies of the fleet: JSON-RPC
// 2.0 over TCP, one connection for each pair of peers, opened by the first
// request either side has and closed when it has been idle.
//
// All requests and answers are the types in messages.go. The package decides
// nothing: [Handler] hands each request to a function, and the calls return what
// the peer answered or one of the errors of this package.
//
// # Bounds
//
// A message is at most MaxMessage bytes long; the length is checked before any
// memory is taken for it. At most MaxInFlight requests are under way on a
// connection in each direction; one more ends at once with [ErrBusy] and hasn't
// run. Each request has a deadline, which travels with it so that the peer stops
// working on it too; an answer after the deadline reaches nobody. The ids of
// requests rise over the whole life of a process and are never used twice.
//
// # Authentication
//
// Right after connect both sides prove that they know the shared key: the
// listener sends a random challenge, the dialling side answers with an HMAC over
// it, its own random value and both addresses, and the listener answers with an
// HMAC of its own. This keeps strangers and peers of another fleet out. It
// doesn't hide or protect what follows against someone who can change packets on
// their way; for that set TLS, and the proofs are tied to that TLS connection.
// With mutual TLS the key can be left out.
//
// # Usage
//
//	m := &messenger.Messenger{
//		Self:    messenger.Peer{Addr: addr, Start: start},
//		Keys:    [][]byte{key},
//		Handler: messenger.Handler{Ping: answerPing},
//	}
//	go m.Serve(ln)
//	defer m.Close()
//
//	ctx, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
//	defer cancel()
//	ack, err := m.Ping(ctx, peer, messenger.Ping{From: self})
package messenger
