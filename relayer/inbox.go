package relayer

import "sync"

// bufferSize is the size of a lent buffer. An answer is written when this much
// is gathered; frames above it are passed on in pieces.
const bufferSize = 16 << 10

// buffers lends the working space of sessions, so that an idle session holds
// none.
type buffers struct{ small sync.Pool }

func (b *buffers) get() []byte {
	if p, ok := b.small.Get().(*[bufferSize]byte); ok {
		return p[:]
	}
	return new([bufferSize]byte)[:]
}

// put takes back a buffer of the usual size; a grown one is left to the
// garbage collector.
func (b *buffers) put(p []byte) {
	if cap(p) == bufferSize {
		b.small.Put((*[bufferSize]byte)(p[:bufferSize]))
	}
}

// inbox holds the bytes of a caller that have been read and not handled.
type inbox struct {
	buf  []byte
	r, w int
}

func (b *inbox) bytes() []byte { return b.buf[b.r:b.w] }

func (b *inbox) drop(n int) {
	b.r += n
	if b.r == b.w {
		b.r, b.w = 0, 0
	}
}

// room makes room for at least one more byte, and for size bytes in all from
// the first that is not handled. Buffers come from the pool until a message is
// larger than one.
func (b *inbox) room(p *buffers, size int) []byte {
	if b.buf == nil {
		b.buf = p.get()
	}
	size = max(size, b.w-b.r+1)
	switch {
	case size > len(b.buf):
		grown := make([]byte, max(size, min(2*len(b.buf), 1<<20)))
		b.w = copy(grown, b.bytes())
		p.put(b.buf)
		b.buf, b.r = grown, 0
	case b.r+size > len(b.buf):
		b.w = copy(b.buf, b.bytes())
		b.r = 0
	}
	return b.buf[b.w:]
}

// rest gives the buffer back when nothing is in it.
func (b *inbox) rest(p *buffers) {
	if b.buf != nil && b.r == b.w {
		p.put(b.buf)
		*b = inbox{}
	}
}
