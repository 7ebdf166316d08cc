package auditor

import (
	"bufio"
	"io"
	"runtime"
	"sync"

	"github.com/cockroachdb/errors"
)

const (
	// longestLine bounds a log line; those of the processes have up to a kilobyte.
	longestLine = 1 << 20
	// batchBytes is how much text is parsed at a time: long enough that handing it over costs
	// little, short enough that those in flight take a few megabytes.
	batchBytes = 128 << 10
	// maxParsers bounds the goroutines that parse.
	maxParsers = 8
)

// batch is a part of a log.
type batch struct {
	text    []byte
	ends    []int  // of the lines in text
	lines   []line // those that the audit uses
	skipped int    // lines that can't be read
	parsed  chan struct{}
}

func newBatch() *batch {
	return &batch{text: make([]byte, 0, batchBytes), parsed: make(chan struct{})}
}

func (b *batch) parse() {
	defer close(b.parsed)
	from := 0
	for _, end := range b.ends {
		l, ok := parse(b.text[from:end])
		from = end
		switch {
		case !ok:
			b.skipped++
		case l.relevant():
			b.lines = append(b.lines, l)
		}
	}
}

// Read takes in the lines of one log. They are parsed by several goroutines and counted in
// their order.
func (a *Audit) Read(r io.Reader) error {
	parsers := min(runtime.GOMAXPROCS(0), maxParsers)
	work, order := make(chan *batch, parsers), make(chan *batch, 2*parsers)
	var running sync.WaitGroup
	for range parsers {
		running.Go(func() {
			for b := range work {
				b.parse()
			}
		})
	}
	var err error
	running.Go(func() {
		defer close(order)
		defer close(work)
		err = split(r, func(b *batch) {
			order <- b
			work <- b
		})
	})
	for b := range order {
		<-b.parsed
		a.skipped += b.skipped
		for i := range b.lines {
			a.add(&b.lines[i])
		}
	}
	running.Wait()
	return errors.Wrap(err, "auditor: read a log")
}

// split calls f with the lines of a log in batches.
func split(r io.Reader, f func(*batch)) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, longestLine)
	b := newBatch()
	for s.Scan() {
		b.text = append(b.text, s.Bytes()...)
		b.ends = append(b.ends, len(b.text))
		if len(b.text) >= batchBytes {
			f(b)
			b = newBatch()
		}
	}
	f(b)
	return s.Err()
}
