package demonstrator

import (
	"fmt"
	"io"
	"strconv"
	"text/tabwriter"
	"time"

	"basildale.example/basildale/checker"
	"basildale.example/basildale/generator"
)

// Class is how requests of one class fared, as their callers saw it.
type Class struct {
	Name string `json:"name"`
	// Sent counts requests, InTime those answered correctly before their
	// deadline, and Missed those whose time was over before they were sent.
	Sent   int `json:"sent"`
	InTime int `json:"intime"`
	Missed int `json:"missed,omitempty"`
	// Median and Slowest (the 99th percentile) are what callers waited.
	Median  time.Duration `json:"median"`
	Slowest time.Duration `json:"slowest"`
}

// Outcome is how one deployment fared.
type Outcome struct {
	Deployment string `json:"deployment"`
	// Reads counts answered reads, Replica those that a replica answered.
	Reads   int `json:"reads"`
	Replica int `json:"replica"`
	// Gap is the time in which the cut-off group completed no write; it is
	// shown only when Cut is set.
	Cut     bool           `json:"cutoff"`
	Gap     time.Duration  `json:"gap"`
	Classes []Class        `json:"classes"`
	Counts  checker.Counts `json:"counts"`
}

// Report is the result of a demonstration.
type Report struct {
	Outcomes []Outcome `json:"outcomes"`
	// Missing lists what the demonstration doesn't show yet.
	Missing []string       `json:"missing,omitempty"`
	Counts  checker.Counts `json:"counts"`
}

// Print writes the table and, as the last line, the counts.
func (r *Report) Print(w io.Writer) error {
	const space = 3
	t := tabwriter.NewWriter(w, 0, 0, space, ' ', 0)
	fmt.Fprintln(t)
	r.row(t, "", func(o Outcome) string { return o.Deployment })
	r.row(t, "reads by replicas", func(o Outcome) string { return share(o.Replica, o.Reads) })
	r.row(t, "failover gap", func(o Outcome) string {
		if !o.Cut {
			return "not shown"
		}
		return o.Gap.Round(time.Millisecond).String()
	})
	for i, name := range r.classes() {
		r.row(t, name+" in time", func(o Outcome) string { return share(o.Classes[i].InTime, o.Classes[i].Sent) })
		r.row(t, name+" wait, median", func(o Outcome) string { return wait(o.Classes[i].Median) })
		r.row(t, name+" wait, 99 %", func(o Outcome) string { return wait(o.Classes[i].Slowest) })
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, m := range r.Missing {
		fmt.Fprintln(w, "not shown yet:", m)
	}
	_, err := fmt.Fprintf(w, "\n%s\n", r.Counts)
	return err
}

// classes returns the names of the classes, the same in each outcome.
func (r *Report) classes() []string {
	var names []string
	if len(r.Outcomes) > 0 {
		for _, c := range r.Outcomes[0].Classes {
			names = append(names, c.Name)
		}
	}
	return names
}

func (r *Report) row(w io.Writer, title string, cell func(Outcome) string) {
	fmt.Fprint(w, title)
	for _, o := range r.Outcomes {
		fmt.Fprint(w, "\t", cell(o))
	}
	fmt.Fprintln(w)
}

func share(part, whole int) string {
	if whole == 0 {
		return "none"
	}
	const percent = 100
	return strconv.FormatFloat(percent*float64(part)/float64(whole), 'f', 1, 64) + " % of " + strconv.Itoa(whole)
}

func wait(d time.Duration) string { return d.Round(100 * time.Microsecond).String() }

// add sums the counts of all deployments.
func (r *Report) add() {
	for _, o := range r.Outcomes {
		r.Counts.Lost += o.Counts.Lost
		r.Counts.Doubled += o.Counts.Doubled
		r.Counts.Stale += o.Counts.Stale
		r.Counts.Cut += o.Counts.Cut
		r.Counts.Mixed += o.Counts.Mixed
	}
}

// outcome puts together how a deployment fared.
func (c *callers) outcome(classes map[generator.Class]generator.ClassReport, counts checker.Counts) Outcome {
	o := Outcome{
		Deployment: c.stage.Name,
		Reads:      int(c.stage.reads.all.Load()),
		Replica:    int(c.stage.reads.replica.Load()),
		Counts:     counts,
	}
	o.Gap, o.Cut = c.gap.measured()
	for _, name := range []generator.Class{generator.Booking, generator.Lookup} {
		class := classes[name]
		o.Classes = append(o.Classes, Class{
			Name:    string(name),
			Sent:    class.Total,
			InTime:  class.Intime,
			Missed:  class.Missed,
			Median:  milliseconds(class.Latency.P50),
			Slowest: milliseconds(class.Latency.P99),
		})
	}
	return o
}

func milliseconds(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }
