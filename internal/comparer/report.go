package comparer

import (
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"time"

	"basildale.example/basildale/internal/modeler"
	"basildale.example/basildale/limiter"
)

func line(w io.Writer, name string, t tally) {
	wait := time.Duration(0)
	if t.refused > 0 {
		wait = (t.waited / time.Duration(t.refused)).Round(100 * time.Microsecond)
	}
	fmt.Fprintf(w, "  %-22s score %6d  bookings %5d/%5d  lookups %5d/%5d  late %5d  refused %5d after %v\n", name,
		t.score(), t.inTime[limiter.Booking], t.offered[limiter.Booking], t.inTime[limiter.Lookup], t.offered[limiter.Lookup], t.late, t.refused, wait)
}

// queueing is one way of queueing to be measured.
type queueing struct {
	name  string
	begin policy
}

func queueings() []queueing {
	return []queueing{
		{"fifo, 4 connections", fifo(4, false)},
		{"fifo, drops the late", fifo(4, true)},
		{"queue, fixed 1", queued(limiter.Window{Max: 1, Fixed: true})},
		{"queue, fixed 4", queued(limiter.Window{Max: 4, Fixed: true})},
		{"queue, adaptive", queued(limiter.Window{})},
	}
}

// Queues writes what the ways of queueing reach on the same arrivals, each
// under several loads.
func Queues(w io.Writer) {
	for _, c := range []struct {
		name                 string
		load, bookings, busy float64
	}{
		{"half the capacity", 0.5, 0.3, 0},
		{"nine tenths of the capacity", 0.9, 0.3, 0},
		{"twice the capacity", 2, 0.3, 0},
		{"twice the capacity, half of it bookings", 2, 0.5, 0},
		{"twice the capacity, one proxy has half", 2, 0.3, 0.5},
		{"nine tenths, one proxy has all", 0.9, 0.3, 1},
	} {
		rs := traffic(rand.New(rand.NewPCG(1, 2)), 0, c.load, c.bookings, c.busy)
		fmt.Fprintf(w, "%s\n", c.name)
		line(w, "ideal deadline-first", ideal(rs))
		for _, q := range queueings() {
			line(w, q.name, play(rs, 1, q.begin)[0])
		}
	}
}

// Tenants writes what two tenants get of one upstream when the first offers
// three times the capacity and the second four tenths of it.
func Tenants(w io.Writer) {
	rng := rand.New(rand.NewPCG(3, 4))
	rs := append(traffic(rng, 0, 3, 0.3, 0), traffic(rng, 1, 0.4, 0.3, 0)...)
	slices.SortFunc(rs, func(x, y modeler.Arrival) int { return x.At.Compare(y.At) })
	for _, q := range queueings() {
		fmt.Fprintf(w, "%s\n", q.name)
		ts := play(rs, 2, q.begin)
		line(w, "flooding tenant", ts[0])
		line(w, "other tenant", ts[1])
	}
}
