package generator

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"basildale.example/basildale/checker"
)

// Bounds of the histograms, in microseconds, with three digits kept.
const (
	lowest  = 1
	highest = int64(time.Hour / time.Microsecond)
	digits  = 3
)

// bookingWeight is what a booking counts beside a lookup in the score.
const bookingWeight = 2

// Quantiles are latencies in milliseconds.
type Quantiles struct {
	P50  float64 `json:"p50"`
	P90  float64 `json:"p90"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
	Max  float64 `json:"max"`
}

// ClassReport is what became of one class of requests.
type ClassReport struct {
	Total   int `json:"total"`
	Done    int `json:"done"`
	NotRun  int `json:"notrun"`
	Unknown int `json:"unknown"`
	Failed  int `json:"failed"`
	Missed  int `json:"missed"`
	// Intime counts requests that were done by their intended start plus Timeout.
	Intime int `json:"intime"`
	// Latency is measured from the intended start to the answer, of all requests
	// that were sent; Service from the sending.
	Latency Quantiles `json:"latency"`
	Service Quantiles `json:"service"`
	// Gap is the longest time in milliseconds between two requests done.
	Gap float64 `json:"gap"`
}

// Report is the result of a run.
type Report struct {
	Seed     uint64                `json:"seed"`
	Seconds  float64               `json:"seconds"`
	Classes  map[Class]ClassReport `json:"classes"`
	Codes    map[string]int        `json:"codes"` // errors by SQLSTATE
	Connects int                   `json:"connects"`
	Refused  int                   `json:"refused"` // connections that failed
	Moves    int                   `json:"moves"`
	// Score counts each booking done in time as 2 and each lookup as 1; Best is
	// what it could have been.
	Score int `json:"score"`
	Best  int `json:"best"`
	// Audit is filled in by Audit.
	Audit *checker.Report `json:"audit,omitempty"`
}

type classTally struct {
	ClassReport
	latency *hdrhistogram.Histogram
	service *hdrhistogram.Histogram
	last    time.Time // of the last request done
	gap     time.Duration
}

// tally counts for all sessions.
type tally struct {
	mu       sync.Mutex
	begin    time.Time
	classes  map[Class]*classTally
	codes    map[string]int
	connects int
	refusals int
	moves    int
}

func newTally(begin time.Time) *tally {
	t := &tally{begin: begin, classes: make(map[Class]*classTally), codes: make(map[string]int)}
	for _, c := range []Class{Booking, Lookup} {
		t.classes[c] = &classTally{
			latency: hdrhistogram.New(lowest, highest, digits),
			service: hdrhistogram.New(lowest, highest, digits),
			last:    begin,
		}
	}
	return t
}

func (t *tally) connected() { t.count(&t.connects) }

func (t *tally) refused() { t.count(&t.refusals) }

func (t *tally) moved() { t.count(&t.moves) }

func (t *tally) count(n *int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	*n++
}

// record keeps a value out of bounds as the bound.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), lowest), highest))
}

func (t *tally) service(c Class, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	record(t.classes[c].service, d)
}

func (t *tally) add(e Event, inTime bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.classes[e.Class]
	c.Total++
	if e.Code != "" {
		t.codes[e.Code]++
	}
	if e.Outcome != Missed {
		record(c.latency, e.End.Sub(e.Intended))
	}
	switch e.Outcome {
	case Done:
		c.Done++
		if inTime {
			c.Intime++
		}
		if e.End.After(c.last) {
			c.gap = max(c.gap, e.End.Sub(c.last))
			c.last = e.End
		}
	case NotRun:
		c.NotRun++
	case Unknown:
		c.Unknown++
	case Failed:
		c.Failed++
	case Missed:
		c.Missed++
	}
}

func (t *tally) report(g *Generator) *Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := &Report{
		Seed:     g.Seed,
		Seconds:  time.Since(t.begin).Seconds(),
		Classes:  make(map[Class]ClassReport),
		Codes:    t.codes,
		Connects: t.connects,
		Refused:  t.refusals,
		Moves:    t.moves,
	}
	for name, c := range t.classes {
		c.Latency, c.Service = quantiles(c.latency), quantiles(c.service)
		c.Gap = milliseconds(c.gap.Microseconds())
		r.Classes[name] = c.ClassReport
		weight := 1
		if name == Booking {
			weight = bookingWeight
		}
		r.Score += weight * c.Intime
		r.Best += weight * c.Total
	}
	return r
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(percent float64) float64 { return milliseconds(h.ValueAtQuantile(percent)) }
	return Quantiles{P50: at(50), P90: at(90), P99: at(99), P999: at(99.9), Max: milliseconds(h.Max())}
}

func milliseconds(us int64) float64 { return float64(us) / 1000 }
