package framer

import (
	"encoding/binary"
	"fmt"
)

const (
	// HeaderSize is the size of a regular frame's header: type and length.
	HeaderSize = 5
	// StartupHeaderSize is the size of a startup packet's header: length and code.
	StartupHeaderSize = 8
	// MaxStartup is the greatest startup packet that any server accepts, in bytes.
	MaxStartup = 10000

	lengthSize = 4
)

// Codes of startup packets.
const (
	CodeStartup = 196608 // protocol 3.0
	CodeTLS     = 80877103
	CodeGSS     = 80877104
	CodeCancel  = 80877102
)

// LengthError reports a frame whose length is impossible or above the limit.
type LengthError struct {
	// Type is the frame's type, 0 for a startup packet.
	Type byte
	// Length is the length that the frame states, in bytes.
	Length uint32
	// Limit is the greatest length allowed; 0 means that the length is too
	// small to be one.
	Limit int
}

// Error names the frame, its length and the limit.
func (e *LengthError) Error() string {
	name := "startup packet"
	if e.Type != 0 {
		name = fmt.Sprintf("message %q", e.Type)
	}
	if e.Limit == 0 {
		return fmt.Sprintf("framer: %s has the impossible length %d", name, e.Length)
	}
	return fmt.Sprintf("framer: %s of %d bytes is above the limit of %d", name, e.Length, e.Limit)
}

// TooLarge reports whether the length was above the limit, not impossible.
func (e *LengthError) TooLarge() bool { return e.Limit > 0 }

// Frame is one whole message. Raw is a part of the buffer it was cut from.
type Frame struct {
	Type byte
	Raw  []byte
}

// Body returns what follows the header.
func (f Frame) Body() []byte { return f.Raw[HeaderSize:] }

// Head is the header of a frame whose body may not have arrived.
type Head struct {
	Type byte
	// Size is the size of the whole frame with its header, in bytes.
	Size int
}

// Peek reads the header at the start of buf. ok is false when buf is too short
// for one. limit bounds the whole frame in bytes; 0 means none.
func Peek(buf []byte, limit int) (h Head, ok bool, err error) {
	if len(buf) < HeaderSize {
		return Head{}, false, nil
	}
	length := binary.BigEndian.Uint32(buf[1:HeaderSize])
	if length < lengthSize {
		return Head{}, false, &LengthError{Type: buf[0], Length: length}
	}
	if limit > 0 && uint64(length)+1 > uint64(limit) {
		return Head{}, false, &LengthError{Type: buf[0], Length: length, Limit: limit}
	}
	return Head{Type: buf[0], Size: int(length) + 1}, true, nil
}

// Cut cuts the frame at the start of buf. n is its size, or 0 when buf doesn't
// hold all of it yet. limit bounds the whole frame in bytes; 0 means none.
func Cut(buf []byte, limit int) (f Frame, n int, err error) {
	h, ok, err := Peek(buf, limit)
	if err != nil || !ok || len(buf) < h.Size {
		return Frame{}, 0, err
	}
	return Frame{Type: h.Type, Raw: buf[:h.Size]}, h.Size, nil
}

// Startup is one whole startup packet. Body is a part of the buffer it was cut
// from and follows the code.
type Startup struct {
	Code uint32
	Body []byte
}

// CutStartup cuts the startup packet at the start of buf. n is its size, or 0
// when buf doesn't hold all of it yet. Packets above MaxStartup are an error.
func CutStartup(buf []byte) (s Startup, n int, err error) {
	if len(buf) < lengthSize {
		return Startup{}, 0, nil
	}
	length := binary.BigEndian.Uint32(buf)
	if length < StartupHeaderSize {
		return Startup{}, 0, &LengthError{Length: length}
	}
	if length > MaxStartup {
		return Startup{}, 0, &LengthError{Length: length, Limit: MaxStartup}
	}
	if len(buf) < int(length) {
		return Startup{}, 0, nil
	}
	code := binary.BigEndian.Uint32(buf[lengthSize:])
	return Startup{Code: code, Body: buf[StartupHeaderSize:length]}, int(length), nil
}

// CString reads the string at the start of b up to its zero byte. ok is false
// when there is none.
func CString(b []byte) (s, rest []byte, ok bool) {
	for i, c := range b {
		if c == 0 {
			return b[:i], b[i+1:], true
		}
	}
	return nil, nil, false
}
