// Package dialer opens data connections to upstreams and reads their frames out
// of one flat buffer for each connection.
//
// A connection is blocking and belongs to one goroutine at a time. Whole frames
// are parts of its buffer and live until the next call; frames larger than the
// buffer can be taken in pieces, so that no answer has to be held whole.
//
// # Usage
//
//	d := &dialer.Dialer{User: "booking", Password: "...", Database: "billet"}
//	conn, err := d.Dial(ctx, address)
//	if err != nil {
//		return err
//	}
//	conn.SetDeadline(deadline)
//	if err := conn.Send(query); err != nil {
//		return err
//	}
//	head, err := conn.Head()
//
// After any error the connection is out of step and has to be closed.
package dialer
