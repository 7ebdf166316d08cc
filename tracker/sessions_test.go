package tracker

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

func key(i int) Key { return Key{Tenant: "t", Session: fmt.Sprint("s", i), Group: "g"} }

func TestSessionIsUnknownUntilChecked(t *testing.T) {
	is := is.New(t)
	var s Sessions
	is.True(!s.Get(key(1)).Known)
	s.Put(key(1), mark(1, 7))
	a := s.Get(key(1))
	is.True(!a.Known) // earlier writes may be past what was put
	a = s.Complete(key(1), a.Token, mark(1, 5))
	is.True(a.Known)
	is.Equal(a.Mark, mark(1, 7))
	s.Put(key(1), mark(1, 6)) // a late one lowers nothing
	is.Equal(s.Get(key(1)).Mark, mark(1, 7))
	s.Clear()
	is.True(!s.Get(key(1)).Known)
}

// Symptom: a session doesn't see its own write.
//
// Sequence: its mark is unknown, a check of the primary begins; a write is put;
// the entry is evicted by others; the check's result, from before the write,
// comes in.
//
// Cause: the result taken for the mark of an entry made after it.
func TestResultForAnEvictedEntryIsNotTaken(t *testing.T) {
	is := is.New(t)
	s := Sessions{Limit: shards} // one entry in each part
	token := s.Get(key(0)).Token
	s.Put(key(0), mark(1, 9))
	for i := 1; i < 20*shards; i++ {
		s.Put(key(i), mark(1, 1))
	}
	is.True(s.Len() <= shards)
	is.True(!s.Complete(key(0), token, mark(1, 5)).Known)
}

func TestLeastRecentlyUsedLeavesFirst(t *testing.T) {
	is := is.New(t)
	s := Sessions{Limit: 64 * shards}
	kept := s.Get(key(0))
	s.Complete(key(0), kept.Token, mark(1, 1))
	for i := 1; i < 50*shards; i++ {
		s.Get(key(i))
		is.True(s.Get(key(0)).Known)
	}
}

func TestKnownSessionAllocatesNothing(t *testing.T) {
	var s Sessions
	k := key(1)
	s.Get(k)
	is.New(t).Equal(testing.AllocsPerRun(100, func() {
		s.Get(k)
		s.Put(k, mark(1, 1))
	}), 0.0)
}
