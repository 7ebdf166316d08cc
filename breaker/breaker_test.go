package breaker

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"basildale.example/basildale/retrier"
)

var start = time.Date(2026, 12, 2, 9, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// tripped returns a breaker that opened at start.
func tripped() *Breaker {
	b := &Breaker{}
	for range DefaultInARow {
		b.Report(start, false, Failure)
	}
	return b
}

// Symptom: an upstream that has recovered gets no requests, or one that is dead
// gets all. Sequence: in the table, each step at a time in milliseconds.
// Cause: a transition that is missing, or one that should not be there.
func TestTransitions(t *testing.T) {
	type step struct {
		ms     int
		do     string // ask, ok, fail, probe ok, probe fail, probe ?, hint, force open, force closed, clear
		allow  bool
		state  State
		reason Reason
	}
	for _, c := range []struct {
		name  string
		from  *Breaker
		steps []step
	}{
		{"success ends the row", &Breaker{}, []step{
			{0, "fail", true, Closed, NoReason},
			{0, "fail", true, Closed, NoReason},
			{0, "fail", true, Closed, NoReason},
			{0, "fail", true, Closed, NoReason},
			{0, "ok", true, Closed, NoReason},
			{0, "fail", true, Closed, NoReason},
		}},
		{"recovery is anchored", tripped(), []step{
			{1, "ask", false, Open, InARow},
			{200, "fail", false, Open, InARow},
			{249, "fail", false, Open, InARow},
			{250, "ask", true, HalfOpen, Recovering},
		}},
		{"one probe", tripped(), []step{
			{250, "ask", true, HalfOpen, Recovering},
			{251, "ask", false, HalfOpen, Recovering},
			{252, "ok", false, HalfOpen, Recovering}, // a late answer is not the probe's
			{260, "probe ok", true, Closed, ProbeOK},
		}},
		{"a failed probe opens it for twice as long", tripped(), []step{
			{250, "ask", true, HalfOpen, Recovering},
			{300, "probe fail", false, Open, ProbeFailed},
			{799, "ask", false, Open, ProbeFailed},
			{800, "ask", true, HalfOpen, Recovering},
		}},
		{"a lost probe is replaced", tripped(), []step{
			{250, "ask", true, HalfOpen, Recovering},
			{1249, "ask", false, HalfOpen, Recovering},
			{1250, "ask", true, HalfOpen, ProbeLost},
		}},
		{"a probe that tells nothing", tripped(), []step{
			{250, "ask", true, HalfOpen, Recovering}, {260, "probe ?", true, HalfOpen, Recovering}, {261, "ask", true, HalfOpen, ProbeLost},
		}},
		{"a hint alone opens nothing", &Breaker{}, []step{
			{0, "hint", true, Closed, NoReason},
			{1, "hint", true, Closed, NoReason},
			{2, "ok", true, Closed, NoReason},
			{3, "fail", true, Closed, NoReason},
			{4, "hint", false, Open, PeerAndOwn},
			{5, "hint", false, Open, PeerAndOwn},
		}},
		{"a failure after a hint", &Breaker{}, []step{
			{0, "hint", true, Closed, NoReason}, {1, "fail", false, Open, PeerAndOwn},
		}},
		{"forced open sticks", &Breaker{}, []step{
			{0, "force open", false, Open, ByOperator},
			{9000, "ok", false, Open, ByOperator},
			{9000, "ask", false, Open, ByOperator},
			{9001, "clear", true, Closed, ByOperator},
		}},
		{"forced closed sticks", tripped(), []step{
			{0, "force closed", true, Closed, ByOperator}, {1, "fail", true, Closed, ByOperator}, {2, "clear", true, Closed, ByOperator},
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := c.from
			for _, s := range c.steps {
				now := at(s.ms)
				switch s.do {
				case "ask":
					is.Equal(b.Allow(now).OK, s.allow)
				case "ok":
					b.Report(now, false, Success)
				case "fail":
					b.Report(now, false, Failure)
				case "probe ok":
					b.Report(now, true, Success)
				case "probe fail":
					b.Report(now, true, Failure)
				case "probe ?":
					b.Report(now, true, Ignored)
				case "hint":
					b.Hint(now)
				case "force open":
					b.Force(now, ForcedOpen)
				case "force closed":
					b.Force(now, ForcedClosed)
				case "clear":
					b.Force(now, NotForced)
				}
				state, reason := b.State()
				is.Equal(state, s.state)
				is.Equal(reason, s.reason)
				if s.do != "ask" {
					is.Equal(b.Ready(now), s.allow)
				}
			}
		})
	}
}

// Symptom: an upstream that loses a quarter of its requests keeps getting all.
// Sequence: each fourth request fails, so that none fail five times in a row.
// Cause: counting failures in a row only.
func TestRateOpens(t *testing.T) {
	is := is.New(t)
	b := &Breaker{}
	for i := range 40 {
		s := Success
		if i%4 == 0 {
			s = Failure
		}
		if change, ok := b.Report(at(10*i), false, s); ok {
			is.Equal(change.Reason, TooMany)
			is.Equal(change.From, Closed)
			is.Equal(i, 20)
			return
		}
	}
	is.Fail() // never opened
}

func TestOldFailuresDontCount(t *testing.T) {
	is := is.New(t)
	b := &Breaker{InARow: -1}
	for i := range 19 {
		b.Report(at(i), false, Failure)
	}
	_, opened := b.Report(at(2000), false, Failure)
	is.True(!opened)
}

func TestJudge(t *testing.T) {
	is := is.New(t)
	for cause, want := range map[retrier.Cause]Sample{
		retrier.Lost: Failure, retrier.NeverSent: Failure, retrier.Fenced: Success,
		retrier.Refused: Success, retrier.Late: Ignored, retrier.Busy: Ignored, retrier.Stopping: Ignored,
	} {
		is.Equal(Judge(retrier.Outcome{Cause: cause}), want)
	}
	is.Equal(Judge(retrier.Outcome{Kind: retrier.Done}), Success)
}

func TestAllocatesNothing(t *testing.T) {
	is := is.New(t)
	b := &Breaker{}
	is.Equal(testing.AllocsPerRun(100, func() {
		v := b.Allow(start)
		b.Report(start, v.Probe, Success)
	}), 0.0)
}

func BenchmarkAllowReport(b *testing.B) {
	k := &Breaker{}
	b.ReportAllocs()
	for b.Loop() {
		v := k.Allow(start)
		k.Report(start, v.Probe, Success)
	}
}
