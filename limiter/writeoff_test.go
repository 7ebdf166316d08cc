package limiter

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// losing plays bookings of 6 ms at 10 a second for 60 s before an upstream that loses a
// fifth of its answers, which then end at their deadline of 800 ms. The process may have
// one of them there at a time. It returns how many were asked, and how many answered
// within 150 ms.
func losing(lost int) (asked, inTime int) {
	const work, aim, deadline, end = 6 * time.Millisecond, 150 * time.Millisecond, 800 * time.Millisecond, 60 * time.Second
	rng := rand.New(rand.NewPCG(11, 12))
	q := &Queue{InitialServiceTime: work, Window: Window{Min: 1, Max: 1}, LostThreshold: lost}
	type run struct {
		ticket Ticket
		ends   time.Time
		served bool
	}
	var runs []run
	asks := map[Ticket]time.Time{}
	next := epoch
	for now := epoch; now.Before(epoch.Add(end)); now = now.Add(time.Millisecond) {
		for i := 0; i < len(runs); {
			r := runs[i]
			if now.Before(r.ends) {
				i++
				continue
			}
			q.Done(now, r.ticket, r.served)
			if r.served && now.Sub(asks[r.ticket]) <= aim {
				inTime++
			}
			runs = append(runs[:i], runs[i+1:]...)
		}
		for ; !now.Before(next); next = next.Add(time.Duration(rng.ExpFloat64() * float64(100*time.Millisecond))) {
			asked++
			due := now.Add(aim)
			if q.MeanServiceTime(Booking) > aim {
				due = now.Add(deadline)
			}
			if ticket, _ := q.Offer(now, Item{Class: Booking, Deadline: due}); ticket != 0 {
				asks[ticket] = now
			}
		}
		for e, ok := q.Next(now); ok; e, ok = q.Next(now) {
			switch {
			case !e.Granted:
			case rng.IntN(5) == 0:
				runs = append(runs, run{e.Ticket, now.Add(deadline), false})
			default:
				runs = append(runs, run{e.Ticket, now.Add(work), true})
			}
		}
	}
	return asked, inTime
}

// Symptom: nearly all bookings of a group are refused for 4 s as ones that can't be in
// time, while its leader runs them in 6 ms. Sequence: the leader loses a fifth of its
// answers. Cause: a lost answer holds the process's one slot there until its deadline,
// and counts as a booking that took as long.
func TestLostAnswersAreNotASlowUpstream(t *testing.T) {
	is := is.New(t)
	asked, before := losing(0)
	_, after := losing(8)
	t.Logf("of %d bookings %d are answered in time, with lost answers written off %d", asked, before, after)
	is.True(before*100 < 30*asked) // so the load is one that shows the fault
	is.True(after*100 >= 65*asked) // four fifths can be
}

// An upstream that has stopped gets no more than twice the window.
func TestAStoppedUpstreamGetsNoMore(t *testing.T) {
	is := is.New(t)
	q := &Queue{InitialServiceTime: 10 * time.Millisecond, Window: Window{Max: 2, Fixed: true}, LostThreshold: 8}
	granted := 0
	for ms := 0; ms < 2000; ms += 20 {
		now := after(ms)
		q.Offer(now, Item{Deadline: now.Add(50 * time.Millisecond)})
		for e, ok := q.Next(now); ok; e, ok = q.Next(now) {
			if e.Granted {
				granted++
			}
		}
	}
	is.Equal(granted, 4)
}
