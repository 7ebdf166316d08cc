package limiter

import (
	"bytes"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"basildale.example/basildale/internal/modeler"
)

var update = flag.Bool("update", false, "write the golden files")

func golden(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		is.New(t).NoErr(os.MkdirAll("testdata", 0o755))
		is.New(t).NoErr(os.WriteFile(path, got, 0o644))
	}
	want, err := os.ReadFile(path)
	is.New(t).NoErr(err)
	if !bytes.Equal(got, want) {
		t.Fatalf("%s differs; -update writes it\ngot:\n%s", path, got)
	}
}

func line(b *bytes.Buffer, name string, t tally) {
	wait := time.Duration(0)
	if t.refused > 0 {
		wait = (t.waited / time.Duration(t.refused)).Round(100 * time.Microsecond)
	}
	fmt.Fprintf(b, "  %-22s score %6d  bookings %5d/%5d  lookups %5d/%5d  late %5d  refused %5d after %v\n", name,
		t.score(), t.inTime[Booking], t.offered[Booking], t.inTime[Lookup], t.offered[Lookup], t.late, t.refused, wait)
}

var ways = []struct {
	name  string
	start policy
}{
	{"fifo, 4 connections", fifo(4, false)},
	{"fifo, drops the late", fifo(4, true)},
	{"queue, fixed 1", queued(Window{Most: 1, Fixed: true})},
	{"queue, fixed 4", queued(Window{Most: 4, Fixed: true})},
	{"queue, adaptive", queued(Window{})},
}

// TestCompare measures the ways against each other on the same arrivals.
func TestCompare(t *testing.T) {
	var b bytes.Buffer
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
		fmt.Fprintf(&b, "%s\n", c.name)
		line(&b, "ideal deadline-first", ideal(rs))
		for _, w := range ways {
			line(&b, w.name, play(rs, 1, w.start)[0])
		}
	}
	golden(t, "compare.golden", b.Bytes())
}

// Symptom: one tenant's flood leaves the other without answers.
// Sequence: the first tenant offers three times the capacity, the second four
// tenths of it, on the same upstream.
// Cause: a queue that looks at deadlines alone.
func TestFloodingTenant(t *testing.T) {
	var b bytes.Buffer
	rng := rand.New(rand.NewPCG(3, 4))
	rs := append(traffic(rng, 0, 3, 0.3, 0), traffic(rng, 1, 0.4, 0.3, 0)...)
	slices.SortFunc(rs, func(x, y modeler.Arrival) int { return x.At.Compare(y.At) })
	for _, w := range ways {
		fmt.Fprintf(&b, "%s\n", w.name)
		ts := play(rs, 2, w.start)
		line(&b, "flooding tenant", ts[0])
		line(&b, "other tenant", ts[1])
	}
	golden(t, "tenants.golden", b.Bytes())
}
