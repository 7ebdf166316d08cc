package main

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// stuck is a reader that takes nothing until it is let go.
type stuck struct {
	free chan struct{}
	mu   sync.Mutex
	got  bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.free
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(p)
}

// Symptom: requests hang. Sequence: whoever reads standard output stops, under
// load. Cause: a line is written where it is made, and waits for the reader.
func TestSlowReaderOfTheLogHoldsNothingUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := &stuck{free: make(chan struct{})}
		b := newBounded(out)
		for range 2 * boundedLines {
			n, err := b.Write([]byte("line\n"))
			is.NoErr(err)
			is.Equal(n, 5)
		}
		close(out.free)
		b.close()
		<-b.done
		text := out.got.String()
		is.True(strings.Count(text, "line\n") >= boundedLines)
		is.True(strings.Contains(text, `"msg":"log: lines dropped"`))
	})
}

// Guards against a process that never ends because nobody reads its log: the mark of the end waited
// for room in a full queue, without a bound.
func TestProcessEndsThoughItsLogIsNotRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := &stuck{free: make(chan struct{})}
		b := newBounded(out)
		for range 2 * boundedLines {
			_, err := b.Write([]byte("line\n"))
			is.NoErr(err)
		}
		time.Sleep(2 * boundedPause) // the writer has a batch, and waits for the reader
		for range boundedLines {
			_, err := b.Write([]byte("line\n"))
			is.NoErr(err)
		}
		began := time.Now()
		b.close()
		is.Equal(time.Since(began), boundedClose)
		close(out.free)
		b.lines <- nil // ends the writer
		<-b.done
	})
}
