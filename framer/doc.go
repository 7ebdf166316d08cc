// Package framer cuts the frames of PostgreSQL's protocol 3 out of a byte
// stream by their length. It looks at no contents: a frame stays a part of the
// caller's buffer, so cutting allocates nothing.
//
// A regular frame is one type byte, a length of four bytes that counts itself
// but not the type, and the body. A startup packet has no type byte; its body
// begins with a code of four bytes that tells a startup from a TLS request and
// a cancel request.
//
// # Usage
//
//	for len(buf) > 0 {
//		frame, n, err := framer.Cut(buf, limit)
//		if err != nil {
//			return err // the stream can't be read any further
//		}
//		if n == 0 {
//			break // wait for more bytes
//		}
//		handle(frame.Type, frame.Body())
//		buf = buf[n:]
//	}
//
// Errors are *LengthError: after one the stream has no known frame border, so
// the connection has to be closed.
package framer
