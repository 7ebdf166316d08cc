package tracker

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

// shards is the number of parts of [Sessions], each with a lock of its own.
const shards = 32

// defaultSessions bounds the entries of [Sessions] when Limit is zero: 2^16 of
// them take about 10 MB.
const defaultSessions = 1 << 16

// Key names a session of a tenant in one database group.
type Key struct {
	Tenant  string
	Session string
	Group   string
}

// Answer is what is known of a session's mark.
type Answer struct {
	// Mark is the latest mark that was heard of.
	Mark Mark `json:"mark,omitzero"`
	// Known says that no acknowledged write of the session is past Mark. When it
	// is false the mark has to be found by a check of the primary's position.
	Known bool `json:"known,omitempty"`
	// Token goes with the result of that check to [Sessions.Complete].
	Token uint64 `json:"token,omitempty"`
}

// Sessions holds the marks of sessions, bounded in number. An entry is complete
// once a check of the primary's position has covered the time before it was
// made; every write since then has to be reported by [Sessions.Put] before it
// is acknowledged. Entries leave in the order of their last use.
//
// A lost entry is never a lost mark: the session becomes unknown, and an unknown
// session is checked again. The zero value works. It may be used from several
// goroutines.
type Sessions struct {
	// Limit bounds the entries. Zero means 65536. It is spread over 32 parts, so
	// some leave a little earlier.
	Limit int
	// Seed makes tokens of one process differ from those of its predecessor at
	// the same address. It should be random, or the time of the start.
	Seed uint64

	parts [shards]part
}

// part is one shard: a map and a list in the order of last use.
type part struct {
	mu      sync.Mutex
	entries map[Key]*entry
	ring    entry // sentinel: next is the latest used, prev the first to go
	serial  uint64
}

// entry is what is known of one session.
type entry struct {
	key        Key
	mark       Mark
	complete   bool
	token      uint64
	prev, next *entry
}

// Get returns what is known of a session. If that is not everything, the entry
// is kept from here on, so that a write reported while the primary is being
// checked is not lost between the check and its result.
func (s *Sessions) Get(k Key) Answer {
	p := s.part(k)
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.use(k, s)
	return Answer{Mark: e.mark, Known: e.complete, Token: e.token}
}

// Put takes in the mark of a write. It has to be called before the write is
// acknowledged to the caller.
func (s *Sessions) Put(k Key, m Mark) {
	p := s.part(k)
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.use(k, s)
	e.raise(m)
}

// Complete takes in that the primary's log ended at m after [Sessions.Get] gave
// the token. It returns what is known then.
//
// The token keeps a late result from a new entry. The sequence it prevents: Get
// makes an entry, the check finds M1, a write M2 is put, the entry is evicted (or
// the process restarted), and M1 arrives. Taken in, it would pass for complete
// although M2 is past it, and the session would not see its own write.
func (s *Sessions) Complete(k Key, token uint64, m Mark) Answer {
	p := s.part(k)
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.use(k, s)
	if e.token == token {
		e.complete = true
		e.raise(m)
	}
	return Answer{Mark: e.mark, Known: e.complete, Token: e.token}
}

// Clear forgets every session: all become unknown. It is for the moment at which
// writes may have been acknowledged that were not reported here.
func (s *Sessions) Clear() {
	for i := range s.parts {
		p := &s.parts[i]
		p.mu.Lock()
		p.entries = nil
		p.ring = entry{}
		p.mu.Unlock()
	}
}

// Len returns the number of entries.
func (s *Sessions) Len() int {
	n := 0
	for i := range s.parts {
		p := &s.parts[i]
		p.mu.Lock()
		n += len(p.entries)
		p.mu.Unlock()
	}
	return n
}

func (s *Sessions) part(k Key) *part {
	h := xxhash.Sum64String(k.Session) ^ xxhash.Sum64String(k.Group)
	return &s.parts[h%shards]
}

func (s *Sessions) limit() int {
	if s.Limit > 0 {
		return max(1, s.Limit/shards)
	}
	return defaultSessions / shards
}

// use finds or makes the entry and moves it to the front.
func (p *part) use(k Key, s *Sessions) *entry {
	if p.entries == nil {
		p.entries = make(map[Key]*entry)
		p.ring.prev, p.ring.next = &p.ring, &p.ring
	}
	e, ok := p.entries[k]
	if !ok {
		e = p.add(k, s)
	} else {
		e.unlink()
	}
	e.link(&p.ring)
	return e
}

func (p *part) add(k Key, s *Sessions) *entry {
	if len(p.entries) >= s.limit() {
		last := p.ring.prev
		last.unlink()
		delete(p.entries, last.key)
	}
	p.serial++
	e := &entry{key: k, token: s.Seed + p.serial}
	p.entries[k] = e
	return e
}

func (e *entry) raise(m Mark) {
	if e.mark.Less(m) {
		e.mark = m
	}
}

func (e *entry) unlink() {
	e.prev.next, e.next.prev = e.next, e.prev
}

func (e *entry) link(ring *entry) {
	e.prev, e.next = ring, ring.next
	ring.next.prev = e
	ring.next = e
}
