package router

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// The bounds of a [Recorder].
const (
	recorderParts  = 16
	defaultRecords = 4096
)

// Record is a decision that was made.
type Record struct {
	At       time.Time
	Group    string
	Session  string
	Decision Decision
}

// Recorder keeps the latest decisions for explanations, and counts all of them
// by reason. It is spread over parts by session, each with a lock of its own,
// that is held for the copy of one record. The zero value works. It may be used
// from several goroutines.
type Recorder struct {
	// Size bounds the records kept. Zero means 4096.
	Size int

	parts [recorderParts]recorderPart
}

// recorderPart is one part: a ring of records, and counters.
type recorderPart struct {
	counts [Reasons]atomic.Uint64
	mu     sync.Mutex
	ring   []Record
	next   int
	_      [64]byte // keeps the locks of two parts off one cache line
}

// Add keeps and counts a decision. The strings are kept as long as the record.
func (r *Recorder) Add(rec Record) {
	p := &r.parts[xxhash.Sum64String(rec.Session)%recorderParts]
	if i := int(rec.Decision.Reason); i < Reasons {
		p.counts[i].Add(1)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ring == nil {
		size := r.Size
		if size <= 0 {
			size = defaultRecords
		}
		p.ring = make([]Record, max(1, size/recorderParts))
	}
	p.ring[p.next] = rec
	p.next = (p.next + 1) % len(p.ring)
}

// Counts returns how many decisions were made for each reason.
func (r *Recorder) Counts() [Reasons]uint64 {
	var sum [Reasons]uint64
	for i := range r.parts {
		for reason := range sum {
			sum[reason] += r.parts[i].counts[reason].Load()
		}
	}
	return sum
}

// Filter says which records are asked for. A zero field takes all.
type Filter struct {
	Group   string
	Session string
	// Targets are the upstreams asked for.
	Targets Mask
	// Primary asks for the reads that went to the primary only.
	Primary bool
}

// takes reports whether the filter lets a record through.
func (f *Filter) takes(rec *Record) bool {
	d := &rec.Decision
	switch {
	case rec.At.IsZero():
		return false
	case f.Group != "" && f.Group != rec.Group, f.Session != "" && f.Session != rec.Session:
		return false
	case f.Targets != 0 && (d.Target < 0 || !f.Targets.Has(d.Target)):
		return false
	case f.Primary && (d.Reason == PrimaryWrite || d.Reason >= ReplicaInZone):
		return false
	}
	return true
}

// Last returns at most n of the latest records that the filter takes, the newest
// first.
func (r *Recorder) Last(f Filter, n int) []Record {
	var found []Record
	for i := range r.parts {
		p := &r.parts[i]
		p.mu.Lock()
		for j := range p.ring {
			if f.takes(&p.ring[j]) {
				found = append(found, p.ring[j])
			}
		}
		p.mu.Unlock()
	}
	slices.SortStableFunc(found, func(a, b Record) int { return b.At.Compare(a.At) })
	return found[:min(n, len(found))]
}
