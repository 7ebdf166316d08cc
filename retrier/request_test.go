package retrier

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 12, 2, 9, 0, 0, 0, time.UTC)

func emptyBudget() *Budget {
	b := NewBudget(BudgetRate{Ratio: 0.1, Burst: 1, Floor: 0.001})
	b.Take(start)
	b.Take(start)
	return b
}

// Symptom: a caller is told the wrong outcome, or a statement runs twice.
// Sequence: one attempt ends in each way that an attempt can end.
// Cause: a rule of Decide applied to the wrong kind of statement.
func TestDecide(t *testing.T) {
	sale := Statement{Booking: true, Named: true}
	read := Statement{Read: true}
	back := start.Add(2 * time.Second)
	for _, c := range []struct {
		name   string
		st     Statement
		in     Outcome
		latest time.Time
		budget *Budget
		action Action
		reason Reason
		state  string
	}{
		{"done", sale, Outcome{Kind: Done}, time.Time{}, nil, Finish, Answered, StateNone},
		{"sale fenced", sale, Outcome{Kind: NotRun, Cause: Fenced}, time.Time{}, nil, Send, RetryNotRun, ""},
		{"sale lost", sale, Outcome{Kind: Unknown, Cause: Lost}, time.Time{}, nil, Settle, InDoubt, ""},
		{"sale unconfirmed", sale, Outcome{Kind: Unknown, Cause: Unconfirmed}, time.Time{}, nil, Settle, InDoubt, ""},
		{"sale lost, no id", Statement{Booking: true}, Outcome{Cause: Lost}, time.Time{}, nil, Finish, Unnamed, StateUnknown},
		{"read lost", read, Outcome{Kind: Unknown, Cause: Lost}, time.Time{}, nil, Send, RetryRead, ""},
		{"read lost, no time", read, Outcome{Cause: Lost}, start.Add(-1), nil, Finish, NoTime, StateUnknown},
		{"sale refused, no time", sale, Outcome{Kind: NotRun, Cause: Refused}, start, nil, Finish, NoTime, StateLate},
		{"back too late", sale, Outcome{Kind: NotRun, Cause: Busy, Back: back}, start.Add(time.Second), nil, Finish, NoTime, StateLate},
		{"queue says late", sale, Outcome{Kind: NotRun, Cause: Late}, time.Time{}, nil, Finish, NoTime, StateLate},
		{"frozen", sale, Outcome{Kind: NotRun, Cause: Frozen, Back: back}, start.Add(time.Second), nil, Finish, Denied, StateComeBack},
		{"over budget", sale, Outcome{Kind: NotRun, Cause: Refused}, time.Time{}, emptyBudget(), Finish, OverBudget, StateComeBack},
		{"bound to its transaction", Statement{Read: true, Bound: true}, Outcome{Kind: NotRun, Cause: Aborted}, time.Time{}, nil, Finish, BoundTx, StateComeBack},
		{"forbidden", read, Outcome{Kind: NotRun, Cause: Forbidden}, time.Time{}, nil, Finish, Denied, StateForbidden},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := c.budget
			if b == nil {
				b = NewBudget(BudgetRate{})
			}
			r := Request{Statement: c.st, Latest: c.latest, Seed: 7}
			d := Policy{}.Decide(&r, b, c.in, start)
			is.Equal(d.Action, c.action)
			is.Equal(d.Reason, c.reason)
			if d.Action != Finish {
				is.True(!d.At.Before(start))
				return
			}
			is.Equal(d.Outcome.SQLState(), c.state)
			if c.state == StateComeBack || c.state == StateLate {
				is.True(d.Outcome.Hint(start) != "") // a refused caller hears when to come back
			}
		})
	}
}

func TestUntil(t *testing.T) {
	is := is.New(t)
	read, ms := Statement{Read: true}, time.Millisecond
	is.Equal(Until(read, start, start.Add(100*ms), 5*ms), start.Add(50*ms))
	is.Equal(Until(read, start, start.Add(100*ms), 20*ms), start.Add(60*ms))
	is.Equal(Until(read, start, start.Add(100*ms), 50*ms), start.Add(100*ms))
	is.Equal(Until(Statement{}, start, start.Add(100*ms), 5*ms), start.Add(100*ms))
}

func TestHintRoundsUp(t *testing.T) {
	is := is.New(t)
	o := Outcome{Kind: NotRun, Cause: Busy, Back: start.Add(1500 * time.Microsecond)}
	is.Equal(o.Hint(start), "retry after 2 ms")
	is.Equal(o.Hint(start.Add(time.Second)), "retry after 0 ms")
	is.Equal(Outcome{Cause: Lost, Back: start}.Hint(start), "")
}

// Symptom: a sale is booked twice after its connection broke.
// Sequence: the answer is lost; the settling step says not run, then done.
// Cause: sending again under an ID that is spent, or without settling.
func TestSettled(t *testing.T) {
	is := is.New(t)
	b := NewBudget(BudgetRate{})
	r := Request{Statement: Statement{Named: true}, Deadline: start.Add(time.Second)}
	d := Policy{}.Decide(&r, b, Outcome{Kind: Unknown, Cause: Lost}, start)
	is.Equal(d.Action, Settle)
	is.Equal(d.At, start) // the first step goes at once
	d = Policy{}.Settled(&r, b, SettledNotRun, start)
	is.Equal(d.Action, Send)
	is.True(d.Fresh) // the old ID can't commit any more
	d = Policy{}.Decide(&r, b, Outcome{Kind: Unknown, Cause: Lost}, start)
	is.Equal(d.Action, Settle)
	d = Policy{}.Settled(&r, b, SettledDone, start)
	is.Equal(d.Action, Finish)
	is.Equal(d.Outcome.Kind, Done)

	r = Request{Statement: Statement{Named: true, Repeatable: true}}
	Policy{}.Decide(&r, b, Outcome{Kind: Unknown, Cause: Lost}, start)
	d = Policy{}.Settled(&r, b, SettledDone, start)
	is.Equal(d.Reason, RetryAnswer)
	d = Policy{Attempts: 2}.Decide(&r, b, Outcome{Kind: NotRun, Cause: Refused}, start)
	is.Equal(d.Outcome.Kind, Done) // it has run, whatever became of the repeat
}

// Symptom: a caller hears nothing, or hears "not run", after the primary died.
// Sequence: the answer is lost and no upstream can settle before the deadline.
// Cause: settling without a bound, or giving up with the wrong kind.
func TestUnsettledIsUnknown(t *testing.T) {
	is := is.New(t)
	b := NewBudget(BudgetRate{})
	r := Request{Statement: Statement{Named: true}, Deadline: start.Add(300 * time.Millisecond)}
	now := start
	d := Policy{}.Decide(&r, b, Outcome{Kind: Unknown, Cause: Lost}, now)
	steps := 0
	for d.Action == Settle {
		steps++
		is.True(!d.At.After(r.Deadline))
		now = d.At
		d = Policy{}.Settled(&r, b, SettleFailed, now)
	}
	is.True(steps > 1)
	is.Equal(d.Outcome.SQLState(), StateUnknown)
	is.Equal(d.Reason, Unsettled)
}

// world is the truth that the property test holds against the decisions: how
// often a request has run, and whether the attempt in doubt did.
type world struct {
	runs int
	last bool // the last attempt ran
}

func (w *world) attempt(t *rapid.T) Outcome {
	kind := rapid.SampledFrom([]Kind{Done, NotRun, Unknown}).Draw(t, "kind")
	w.last = kind == Done || (kind == Unknown && rapid.Bool().Draw(t, "ran"))
	if w.last {
		w.runs++
	}
	cause := Lost
	if kind == NotRun {
		cause = rapid.SampledFrom([]Cause{Refused, Busy, Late, Fenced, NeverSent, Open, Stopping}).Draw(t, "cause")
	}
	return Outcome{Kind: kind, Cause: cause}
}

func (w *world) settle(t *rapid.T) Settlement {
	switch {
	case rapid.IntRange(0, 2).Draw(t, "settle") == 0:
		return SettleFailed
	case w.last:
		return SettledDone
	default:
		return SettledNotRun
	}
}

// requestsPerCheck makes each check strong enough to see a fault that needs one
// request in two hundred, as two lost answers of a sale in a row.
const requestsPerCheck = 200

func TestNoRepeatUnlessProvenNotRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		for range requestsPerCheck {
			checkOneRequest(t)
		}
	})
}

func checkOneRequest(t *rapid.T) {
	w := &world{}
	b := NewBudget(BudgetRate{Burst: rapid.IntRange(1, 9).Draw(t, "burst")})
	r := &Request{
		Statement: Statement{
			Read:       rapid.Bool().Draw(t, "read"),
			Repeatable: rapid.Bool().Draw(t, "repeatable"),
			Bound:      rapid.Bool().Draw(t, "bound"),
			Named:      rapid.Bool().Draw(t, "named"),
		},
		Latest:   start.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "latest")) * time.Millisecond),
		Deadline: start.Add(500 * time.Millisecond),
		Seed:     rapid.Uint64().Draw(t, "seed"),
	}
	p := Policy{Attempts: 4}
	now, sends := start, 1
	d := p.Decide(r, b, w.attempt(t), now)
	for d.Action != Finish {
		now = d.At
		if d.Action == Settle {
			d = p.Settled(r, b, w.settle(t), now)
			continue
		}
		sends++
		if now.After(r.Latest) {
			t.Fatalf("sent after the last moment that can be in time")
		}
		d = p.Decide(r, b, w.attempt(t), now)
	}
	once := !r.Statement.Read && !r.Statement.Repeatable
	switch {
	case once && w.runs > 1:
		t.Fatalf("a statement that may not be repeated ran %d times", w.runs)
	case d.Outcome.Kind == NotRun && w.runs > 0:
		t.Fatalf("told not run, but ran %d times", w.runs)
	case d.Outcome.Kind == Done && w.runs == 0:
		t.Fatalf("told done, but never ran")
	case sends > p.Attempts:
		t.Fatalf("%d attempts", sends)
	case r.Statement.Bound && sends > 1:
		t.Fatalf("a statement of a transaction was sent again")
	}
}

// Symptom: retries keep a group overloaded after its fault is over.
// Sequence: 10000 requests fail one after the other, each asking for retries.
// Cause: retries that are not bound to a share of the first attempts.
func TestBudgetBoundsRetries(t *testing.T) {
	is := is.New(t)
	b := NewBudget(BudgetRate{})
	retries := 0
	for i := range 10000 {
		b.Deposit()
		now := start.Add(time.Duration(i) * time.Millisecond)
		for range DefaultAttempts - 1 {
			if b.Take(now) {
				retries++
			}
		}
	}
	const saved, shared, floor = DefaultBurst, 1000, DefaultFloor*10 + DefaultFloor
	is.True(retries <= saved+shared+floor) // of the 20000 asked for
	is.True(retries > shared)
}

func TestPauseIsRepeatableAndBounded(t *testing.T) {
	is := is.New(t)
	p := Pause{First: 10 * time.Millisecond, Longest: 80 * time.Millisecond}
	for n, ms := range []int64{10, 20, 40, 80, 80} {
		full := time.Duration(ms * int64(time.Millisecond))
		for seed := range uint64(50) {
			got := p.After(n, seed)
			is.Equal(got, p.After(n, seed))
			is.True(got >= full/2 && got <= full)
		}
	}
	is.True(p.After(0, 1) != p.After(0, 2))
}

func TestDecideAllocatesNothing(t *testing.T) {
	is := is.New(t)
	b := NewBudget(BudgetRate{})
	got := testing.AllocsPerRun(100, func() {
		r := Request{Statement: Statement{Named: true}, Seed: 3}
		b.Deposit()
		Policy{}.Decide(&r, b, Outcome{Kind: NotRun, Cause: Fenced}, start)
		Policy{}.Decide(&r, b, Outcome{Kind: Unknown, Cause: Lost}, start)
		Policy{}.Settled(&r, b, SettledNotRun, start)
	})
	is.Equal(got, 0.0)
}

func BenchmarkDecide(b *testing.B) {
	budget := NewBudget(BudgetRate{})
	b.ReportAllocs()
	for b.Loop() {
		r := Request{Statement: Statement{Read: true}, Seed: 3}
		budget.Deposit()
		Policy{}.Decide(&r, budget, Outcome{Kind: Unknown, Cause: Lost}, start)
	}
}
