package contract_test

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"basildale.example/basildale/adapter/commander"
	"basildale.example/basildale/tracker"
)

func TestUpstreamContract(t *testing.T) {
	addrs := addresses(t)
	for _, c := range []struct {
		name string
		run  func(*fixture)
	}{
		{"roles and whom a replica follows", roles},
		{"a mark is reported after each commit that wrote", marks},
		{"a wait ends early at the mark, else in time", waits},
		{"a replica applies and refuses writes", replicas},
		{"a fence stops writes and is idempotent", fences},
		{"a stale fence changes nothing", staleFence},
		{"promote only when fenced at the term", promotes},
		{"a fenced replica takes nothing more", fencedReplica},
		{"follow drops the tail", dropsTail},
		{"a stale follow changes nothing", staleFollow},
		{"a write of an old term doesn't run", oldTerm},
		{"a fence between statement and commit refuses the commit", fencedCommit},
		{"settle of a committed request", settleDone},
		{"settle of an unknown request refuses it for good", settleUnknown},
		{"settle refuses an open transaction's commit", settleOpen},
		{"a refusal survives a promotion", settlePromoted},
		{"only a primary settles", settleReplica},
	} {
		t.Run(c.name, func(t *testing.T) { c.run(newFixture(t, addrs)) })
	}
}

func roles(f *fixture) {
	f.is.Equal(f.state(0).Role, tracker.Primary)
	f.is.Equal(f.state(0).Term, f.term)
	f.is.Equal(f.state(0).Mark.Term, f.term)
	f.is.True(!f.state(0).Primary.IsValid())
	for i := 1; i < len(f.addrs); i++ {
		f.is.Equal(f.state(i).Role, tracker.Replica)
		f.is.Equal(f.state(i).Term, f.term)
		f.is.Equal(f.state(i).Primary, f.addrs[0])
	}
}

func marks(f *fixture) {
	conn := f.connect(0)
	last := f.write(conn, "simple")
	f.is.Equal(f.state(0).Mark, last)
	result := conn.ExecParams(f.ctx, "INSERT INTO "+table+" (id, seat) VALUES ($1, 2)", [][]byte{[]byte(f.run + "extended")}, nil, nil, nil).Read()
	f.is.NoErr(result.Err)
	f.is.True(last.Less(f.reported(conn)))
	last = f.reported(conn)
	f.is.NoErr(f.exec(conn, "BEGIN"))
	f.is.NoErr(f.exec(conn, f.insert("one")))
	f.is.NoErr(f.exec(conn, f.insert("two")))
	f.is.Equal(f.reported(conn), last) // nothing has committed yet
	f.is.NoErr(f.exec(conn, "COMMIT"))
	f.is.True(last.Less(f.reported(conn)))
	f.is.Equal(f.reported(conn), f.state(0).Mark)
}

func waits(f *fixture) {
	m := f.write(f.connect(0), "a")
	f.reach(1, m)
	beyond := tracker.Mark{Term: m.Term, Pos: m.Pos + 1000}
	a, err := f.control.Wait(f.ctx, f.addrs[1], beyond, time.Now().Add(time.Millisecond))
	f.is.NoErr(err)
	f.is.Equal(a.Mark, m)
}

func replicas(f *fixture) {
	m := f.write(f.connect(0), "a")
	for i := 1; i < len(f.addrs); i++ {
		f.is.True(f.reach(i, m).Confirms(m))
		f.is.True(f.holds(i, "a"))
		f.is.Equal(code(f.exec(f.connect(i), f.insert("b"))), "25006")
	}
}

func fences(f *fixture) {
	conn := f.connect(0)
	f.write(conn, "a")
	first, err := f.control.Fence(f.ctx, f.addrs[0], f.next())
	f.is.NoErr(err)
	f.is.Equal(first.Role, tracker.Fenced)
	f.is.Equal(first.Term, f.next())
	f.is.Equal(code(f.exec(conn, f.insert("b"))), "BD002")
	f.is.True(!f.holds(0, "b"))
	again, err := f.control.Fence(f.ctx, f.addrs[0], f.next())
	f.is.NoErr(err)
	f.is.Equal(again, first)
}

func staleFence(f *fixture) {
	for _, i := range []int{0, 1} {
		before := f.reach(i, f.state(0).Mark) // nothing is under way any more
		for _, term := range []tracker.Term{{}, f.term} {
			_, err := f.control.Fence(f.ctx, f.addrs[i], term)
			f.is.True(errors.Is(err, commander.ErrStale))
		}
		f.is.Equal(f.state(i), before)
	}
}

func promotes(f *fixture) {
	_, err := f.control.Promote(f.ctx, f.addrs[1], f.next())
	f.is.True(errors.Is(err, commander.ErrStale)) // not fenced
	_, err = f.control.Promote(f.ctx, f.addrs[1], f.term)
	f.is.True(errors.Is(err, commander.ErrStale)) // a replica at the term
	_, err = f.control.Fence(f.ctx, f.addrs[1], f.next())
	f.is.NoErr(err)
	_, err = f.control.Promote(f.ctx, f.addrs[1], f.term)
	f.is.True(errors.Is(err, commander.ErrStale)) // fenced at a later term
	first, err := f.control.Promote(f.ctx, f.addrs[1], f.next())
	f.is.NoErr(err)
	f.is.Equal(first.Role, tracker.Primary)
	f.is.Equal(first.Mark.Term, f.next())
	again, err := f.control.Promote(f.ctx, f.addrs[1], f.next())
	f.is.NoErr(err)
	f.is.Equal(again, first)
}

func fencedReplica(f *fixture) {
	fenced, err := f.control.Fence(f.ctx, f.addrs[1], f.next())
	f.is.NoErr(err)
	m := f.write(f.connect(0), "a")
	f.reach(2, m)
	f.is.Equal(f.state(1).Mark, fenced.Mark)
}

func dropsTail(f *fixture) {
	old := f.connect(0)
	f.reach(1, f.write(old, "kept"))
	for _, i := range []int{1, 2} {
		_, err := f.control.Fence(f.ctx, f.addrs[i], f.next())
		f.is.NoErr(err)
	}
	tail := f.write(old, "tail")
	f.term = f.next()
	promoted, err := f.control.Promote(f.ctx, f.addrs[1], f.term)
	f.is.NoErr(err)
	f.is.NoErr(f.follow(0, f.term, 1))
	a := f.reach(0, promoted.Mark)
	f.is.True(!a.Confirms(tail))
	f.is.True(f.holds(0, "kept"))
	f.is.True(!f.holds(0, "tail"))
	f.reach(0, f.write(f.connect(1), "after"))
	f.is.True(f.holds(0, "after"))
}

func staleFollow(f *fixture) {
	before := f.state(1)
	f.is.True(errors.Is(f.follow(1, tracker.Term{}, 0), commander.ErrStale))
	f.is.Equal(f.state(1).Term, before.Term)
	f.is.True(errors.Is(f.follow(0, f.term, 1), commander.ErrStale)) // primary at the term
	f.is.Equal(f.state(0).Role, tracker.Primary)
}

func oldTerm(f *fixture) {
	conn := f.connect(0)
	f.write(conn, "a")
	f.lead(0)
	f.is.Equal(code(f.exec(conn, f.insert("b"))), "BD002")
	f.is.True(!f.holds(0, "b"))
	f.write(conn, "c")
}

func fencedCommit(f *fixture) {
	conn := f.connect(0)
	f.write(conn, "a")
	f.is.NoErr(f.exec(conn, "BEGIN; "+f.insert("b")))
	f.lead(0)
	f.is.Equal(code(f.exec(conn, "COMMIT")), "BD002")
	f.is.True(!f.holds(0, "b"))
}

func settleDone(f *fixture) {
	conn := f.connect(0)
	f.is.NoErr(f.exec(conn, f.request("q")))
	m := f.write(conn, "a")
	f.is.Equal(f.settle(0, "q"), commander.Settlement{Done: true, Mark: m})
	f.write(conn, "b") // the ID named one write only
	f.is.Equal(f.settle(0, "q"), commander.Settlement{Done: true, Mark: m})
}

func settleUnknown(f *fixture) {
	first := f.settle(0, "q")
	f.is.True(!first.Done)
	conn := f.connect(0)
	f.is.NoErr(f.exec(conn, f.request("q")))
	f.is.True(f.exec(conn, f.insert("a")) != nil)
	f.is.True(!f.holds(0, "a"))
	f.is.Equal(f.settle(0, "q"), first)
}

func settleOpen(f *fixture) {
	conn := f.connect(0)
	f.is.NoErr(f.exec(conn, "BEGIN; "+f.request("q")+"; "+f.insert("a")))
	f.is.True(!f.settle(0, "q").Done)
	f.is.True(f.exec(conn, "COMMIT") != nil)
	f.is.True(!f.holds(0, "a"))
}

// Symptom: a booking that was reported as not run is there after a failover.
// Sequence: the caller's proxy settles the booking as not run; the primary is
// replaced; a late copy of the booking reaches the new primary.
// Cause: the refusal was known to the old primary only.
func settlePromoted(f *fixture) {
	refused, done := f.settle(0, "q"), f.connect(0)
	f.is.NoErr(f.exec(done, f.request("r")))
	m := f.write(done, "r")
	f.reach(1, refused.Mark)
	f.reach(1, m)
	f.lead(1)
	conn := f.connect(1)
	f.is.NoErr(f.exec(conn, f.request("q")))
	f.is.True(f.exec(conn, f.insert("q")) != nil)
	f.is.True(!f.holds(1, "q"))
	f.is.Equal(f.settle(1, "r"), commander.Settlement{Done: true, Mark: m})
}

func settleReplica(f *fixture) {
	_, err := f.control.Settle(f.ctx, f.addrs[1], f.run+"q")
	f.is.True(errors.Is(err, commander.ErrNotPrimary))
	conn := f.connect(0)
	f.is.NoErr(f.exec(conn, f.request("q")))
	f.write(conn, "q") // not refused
}
