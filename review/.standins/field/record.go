package main

import (
	"bufio"
	"fmt"
	"os"
	"strconv"
	"sync"
	"time"
)

// record writes what was sent, run and answered, one line each, with the seconds since the
// start. It also keeps what the checks need.
type record struct {
	began time.Time

	mu   sync.Mutex
	file *os.File
	out  *bufio.Writer
	// sent holds the texts that callers sent, by request, runs what backends ran, and rows what
	// they returned.
	sent map[string]string
	runs []run
	rows map[string]string
}

// run is a statement that a backend ran.
type run struct{ backend, from, id, text string }

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: f, out: bufio.NewWriter(f), sent: map[string]string{}, rows: map[string]string{}}, nil
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(fmt.Sprintf(format, args...))
}

func (r *record) write(text string) {
	fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.began).Seconds(), text)
}

// sending records a statement before it is sent.
func (r *record) sending(to, id, text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent[id] = text
	r.write(fmt.Sprintf("caller sends %s to %s: %s", id, to, strconv.QuoteToASCII(text)))
}

func (r *record) answered(id string, a reply) {
	r.line("caller gets %s: %s", id, a)
}

func (r *record) ran(backend, from, id, text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if id == "-" {
		return
	}
	r.runs = append(r.runs, run{backend, from, id, text})
	r.write(fmt.Sprintf("%s runs %s from %s: %s", backend, id, from, strconv.QuoteToASCII(text)))
}

func (r *record) returned(id, row string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rows[id] = row
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
