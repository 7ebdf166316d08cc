package messenger

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// stream carries JSON objects, each behind its length as a varint. The codecs of
// the library believe any length that the other side names; here a length above
// max closes the connection before memory is taken for it.
type stream struct {
	conn  net.Conn
	r     *bufio.Reader
	max   int           // bytes of a message that is read
	limit atomic.Int64  // bytes of a message that is written, as far as the peer is known to read it
	write time.Duration // longest time one message may take to be written

	mu   sync.Mutex   // one writer at a time
	in   int          // bytes of the message read last; only the reader uses it
	seen atomic.Int64 // messages read so far

	sent func(bytes int)
}

func newStream(conn net.Conn, limit int, write time.Duration) *stream {
	s := &stream{conn: conn, r: bufio.NewReader(conn), max: limit, write: write}
	s.limit.Store(int64(min(limit, DefaultMaxMessage)))
	return s
}

// WriteObject implements jsonrpc2.ObjectStream.
func (s *stream) WriteObject(obj any) error {
	body, err := json.Marshal(obj)
	if err != nil {
		return errors.Wrap(err, "messenger: encode")
	}
	if int64(len(body)) > s.limit.Load() {
		return errors.Wrapf(ErrSize, "%d bytes", len(body))
	}
	buf := make([]byte, 0, len(body)+binary.MaxVarintLen64)
	buf = binary.AppendUvarint(buf, uint64(len(body)))
	buf = append(buf, body...)
	s.mu.Lock()
	defer s.mu.Unlock()
	// A peer that stopped reading would hold every writer to it for good. The
	// deadline turns that into a closed connection: after half a message nothing
	// that follows could be read.
	s.conn.SetWriteDeadline(time.Now().Add(s.write))
	if _, err := s.conn.Write(buf); err != nil {
		s.conn.Close()
		return errors.Wrap(err, "messenger: write")
	}
	if s.sent != nil {
		s.sent(len(buf))
	}
	return nil
}

// ReadObject implements jsonrpc2.ObjectStream.
func (s *stream) ReadObject(v any) error {
	size, err := binary.ReadUvarint(s.r)
	if err != nil {
		return err
	}
	if size > uint64(s.max) {
		return errors.Wrapf(ErrSize, "%d bytes", size)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(s.r, body); err != nil {
		return err
	}
	s.in = len(body) + len(binary.AppendUvarint(nil, size))
	s.seen.Add(1)
	return json.Unmarshal(body, v)
}

// Close implements jsonrpc2.ObjectStream.
func (s *stream) Close() error { return s.conn.Close() }
