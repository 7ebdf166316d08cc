package reporter

import (
	"bytes"
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"basildale.example/basildale/meter"
)

// exposition is the content type of the text exposition format.
const exposition = "text/plain; version=0.0.4; charset=utf-8"

// metric is one entry of the registry at one moment.
type metric struct {
	family string // the name without labels
	labels string // the labels without braces
	value  any
}

// bounds returns the upper bounds of the served buckets.
func bounds() []time.Duration {
	return []time.Duration{
		time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond,
		10 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond,
		100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond,
		time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second, time.Minute,
	}
}

// collect returns the registry's metrics by name and labels.
func collect(r metrics.Registry) []metric {
	var all []metric
	r.Each(func(name string, value any) {
		family, labels, _ := strings.Cut(name, "{")
		labels = strings.TrimSuffix(labels, "}")
		family = exposed(family)
		if h, ok := value.(*meter.Histogram); ok {
			value = h.Snapshot() // count, sum and buckets of the same moment
		}
		all = append(all, metric{family, labels, value})
	})
	slices.SortFunc(all, func(a, b metric) int {
		return cmp.Or(cmp.Compare(a.family, b.family), cmp.Compare(a.labels, b.labels))
	})
	return all
}

// prefix begins every metric's name, so that those of other programs beside it
// can be told apart.
const prefix = "basildale_"

// exposed returns a name as the exposition format allows it. Parts name their
// counters with dots, which a reader of the format would refuse with all the
// rest of the page.
func exposed(name string) string {
	name = strings.Map(func(c rune) rune {
		switch {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9', c == '_':
			return c
		default:
			return '_'
		}
	}, name)
	if strings.HasPrefix(name, prefix) {
		return name
	}
	return prefix + name
}

func (r *Reporter) text(w http.ResponseWriter, _ *http.Request) {
	if r.Registry == nil {
		r.missing(w)
		return
	}
	var b bytes.Buffer
	family := ""
	for _, m := range collect(r.Registry) {
		if m.family != family {
			fmt.Fprintf(&b, "# TYPE %s %s\n", m.family, kind(m.value))
			family = m.family
		}
		m.write(&b)
	}
	w.Header().Set("Content-Type", exposition)
	if _, err := w.Write(b.Bytes()); err != nil {
		r.warn("metrics not sent", err)
	}
}

func kind(value any) string {
	switch value.(type) {
	case *meter.Histogram:
		return "histogram"
	case metrics.Counter, *meter.Seconds:
		return "counter"
	case metrics.Gauge, metrics.GaugeFloat64:
		return "gauge"
	default:
		return "untyped"
	}
}

// write appends the lines of m; a kind that nobody here registers has none.
func (m metric) write(b *bytes.Buffer) {
	switch v := m.value.(type) {
	case *meter.Histogram:
		m.histogram(b, v)
	case metrics.Counter:
		m.line(b, "", "", strconv.FormatInt(v.Count(), 10))
	case metrics.Gauge:
		m.line(b, "", "", strconv.FormatInt(v.Value(), 10))
	case metrics.GaugeFloat64:
		m.line(b, "", "", formatFloat(v.Value()))
	}
}

func (m metric) histogram(b *bytes.Buffer, h *meter.Histogram) {
	limits := bounds()
	for i, count := range h.Cumulative(limits) {
		le := `le="` + formatFloat(limits[i].Seconds()) + `"`
		m.line(b, "_bucket", le, strconv.FormatInt(count, 10))
	}
	count := strconv.FormatInt(h.Count(), 10)
	m.line(b, "_bucket", `le="+Inf"`, count)
	m.line(b, "_sum", "", formatFloat(time.Duration(h.Sum()).Seconds()))
	m.line(b, "_count", "", count)
}

func (m metric) line(b *bytes.Buffer, suffix, label, value string) {
	labels := m.labels
	if labels != "" && label != "" {
		labels += ","
	}
	labels += label
	if labels != "" {
		labels = "{" + labels + "}"
	}
	fmt.Fprintf(b, "%s%s%s %s\n", m.family, suffix, labels, value)
}

func formatFloat(v float64) string { return strconv.FormatFloat(v, 'g', -1, 64) }

// Metric is one metric as JSON shows it. Value is set for counters and gauges,
// the rest for histograms, in seconds.
type Metric struct {
	Name   string   `json:"name"`
	Labels string   `json:"labels,omitempty"`
	Kind   string   `json:"kind"`
	Value  *float64 `json:"value,omitempty"`
	Count  int64    `json:"count,omitempty"`
	Mean   Seconds  `json:"mean,omitempty"`
	P50    Seconds  `json:"p50,omitempty"`
	P90    Seconds  `json:"p90,omitempty"`
	P99    Seconds  `json:"p99,omitempty"`
	Max    Seconds  `json:"max,omitempty"`
}

func (r *Reporter) json(w http.ResponseWriter, _ *http.Request) {
	if r.Registry == nil {
		r.missing(w)
		return
	}
	list := []Metric{}
	for _, m := range collect(r.Registry) {
		list = append(list, m.metric())
	}
	r.send(w, http.StatusOK, list)
}

func (m metric) metric() Metric {
	out := Metric{Name: m.family, Labels: m.labels, Kind: kind(m.value)}
	switch v := m.value.(type) {
	case *meter.Histogram:
		out.Count = v.Count()
		out.Mean = Seconds(v.Mean())
		out.P50 = Seconds(v.Quantile(0.5))
		out.P90 = Seconds(v.Quantile(0.9))
		out.P99 = Seconds(v.Quantile(0.99))
		out.Max = Seconds(v.Max())
	case metrics.Counter:
		out.Value = new(float64(v.Count()))
	case metrics.Gauge:
		out.Value = new(float64(v.Value()))
	case metrics.GaugeFloat64:
		out.Value = new(v.Value())
	}
	return out
}
