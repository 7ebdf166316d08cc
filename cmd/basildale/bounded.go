package main

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Bounds of the lines that wait to be written.
const (
	// boundedLines is some seconds of lines of a busy process, about 1.2 MB.
	boundedLines = 4096
	// boundedBatch is how much is gathered for one write.
	boundedBatch = 32 << 10
	// boundedPause is how long lines are gathered.
	boundedPause = 50 * time.Millisecond
	// boundedClose is how long the last lines may take at the end.
	boundedClose = 200 * time.Millisecond
)

// bounded is a writer that never blocks: lines wait in a queue for a goroutine
// that writes them. A reader of standard output that is slow or stopped would
// otherwise hold up every request that logs a line. Lines beyond the bound are
// dropped, and their number is written once there is room.
type bounded struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	done    chan struct{}
	once    sync.Once
}

func newBounded(out io.Writer) *bounded {
	b := &bounded{out: out, lines: make(chan []byte, boundedLines), done: make(chan struct{})}
	go b.run()
	return b
}

// Write queues a copy of a line. It always succeeds.
func (b *bounded) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case b.lines <- line:
	default:
		b.dropped.Add(1)
	}
	return len(p), nil
}

// close writes what waits, within a bound. A queue that is full and isn't emptied takes no mark
// of the end either, and the process has to end all the same.
func (b *bounded) close() {
	b.once.Do(func() {
		timeout := time.After(boundedClose)
		select {
		case b.lines <- nil:
		case <-timeout:
			return
		}
		select {
		case <-b.done:
		case <-timeout:
		}
	})
}

func (b *bounded) run() {
	defer close(b.done)
	batch := make([]byte, 0, boundedBatch)
	for line := range b.lines {
		if line == nil {
			return
		}
		time.Sleep(boundedPause)
		batch = append(batch[:0], line...)
		over := false
		for len(batch) < boundedBatch && !over && len(b.lines) > 0 {
			next := <-b.lines
			over = next == nil
			batch = append(batch, next...)
		}
		if n := b.dropped.Swap(0); n > 0 {
			batch = fmt.Appendf(batch, "{\"level\":\"warn\",\"msg\":\"log: lines dropped\",\"lines\":%d}\n", n)
		}
		_, _ = b.out.Write(batch) // where it fails there is nobody to tell
		if over {
			return
		}
	}
}
