package main

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"basildale.example/basildale/checker"
	"basildale.example/basildale/generator"
)

// auditTime bounds the reading of the table after a run.
const auditTime = 30 * time.Second

type loadCmd struct {
	format
	Address      []netip.AddrPort  `arg:"" help:"Where callers connect, one or more IP numbers and ports."`
	User         string            `default:"app" help:"Caller's name."`
	Password     string            `env:"BASILDALE_PASSWORD" help:"Caller's password; better in the environment."`
	Database     string            `default:"app" help:"Database to ask for."`
	Table        string            `default:"bookings" help:"Table with the columns id, seat and session; id is unique."`
	Rate         float64           `default:"100" help:"Mean number of requests a second."`
	Duration     time.Duration     `default:"10s" help:"How long requests start."`
	Bookings     float64           `default:"0.3" help:"Share of requests that book; the others look up."`
	Transactions float64           `default:"0.2" help:"Share of bookings that are transactions of two rows."`
	Sessions     int               `default:"20" help:"Number of callers."`
	Moves        string            `enum:"stay,move,alternate" default:"move" help:"How callers use the addresses: stay, move, alternate."`
	Every        int               `default:"10" help:"Requests of a caller between two moves."`
	Deadline     time.Duration     `default:"1s" help:"After this long an answer is not in time."`
	Seed         uint64            `default:"1" help:"Decides the load."`
	Param        map[string]string `help:"Further startup parameters, as NAME=VALUE."`
}

// Help is the long help of the command.
func (loadCmd) Help() string {
	return `Books and looks up through any PostgreSQL addresses, and counts what broke:
requests start at times drawn from the seed whatever the answers do, and latency
is measured from there. In the end the table is read and compared with what
callers were told. The last line says "lost 0 doubled 0 stale 0 cut 0 mixed 0"
with the counts; exits with 1 when one isn't 0.`
}

// Run puts on the load and prints the report.
func (c *loadCmd) Run(e *env) error {
	if err := c.validate(); err != nil {
		return fail(exitUsage, err)
	}
	var finished atomic.Int64
	g := c.generator(func(generator.Event) { finished.Add(1) })
	end := time.Now().Add(c.Duration)
	stop := c.showProgress(e, &finished)
	report, err := g.Run(e.ctx, end)
	stop()
	if err != nil {
		return err
	}
	if report.Connects == 0 && finished.Load() > 0 {
		return fail(exitSilent, errors.New("no address accepts connections"))
	}
	ctx, cancel := context.WithTimeout(e.ctx, auditTime)
	defer cancel()
	if err := g.Audit(ctx, report); err != nil {
		return err
	}
	if c.asJSON() {
		err = printJSON(e, report)
	} else {
		err = printReport(e, report)
	}
	if err == nil && !report.Audit.Counts.Zero() {
		err = fail(exitFailed, errors.New("a promise was broken"))
	}
	return err
}

func (c *loadCmd) validate() error {
	switch {
	case c.Rate <= 0 || c.Sessions <= 0 || c.Every <= 0:
		return errors.New("--rate, --sessions and --every must be above 0")
	case c.Duration <= 0 || c.Deadline <= 0:
		return errors.New("--duration and --deadline must be above 0")
	case c.Bookings < 0 || c.Bookings > 1 || c.Transactions < 0 || c.Transactions > 1:
		return errors.New("--bookings and --transactions are shares, 0 to 1")
	default:
		return nil
	}
}

func (c *loadCmd) generator(done func(generator.Event)) generator.Generator {
	return generator.Generator{
		Addrs:        c.Address,
		User:         c.User,
		Password:     c.Password,
		Database:     c.Database,
		Params:       c.Param,
		Table:        c.Table,
		Rate:         c.Rate,
		Bookings:     c.Bookings,
		Transactions: c.Transactions,
		Sessions:     c.Sessions,
		Moves:        generator.Movement(c.Moves),
		Every:        c.Every,
		Timeout:      c.Deadline,
		Seed:         c.Seed,
		Ledger:       &checker.Ledger{},
		Done:         done,
	}
}

// showProgress shows the number of finished requests until the function that it
// returns is called.
func (c *loadCmd) showProgress(e *env, finished *atomic.Int64) (stop func()) {
	quit, gone := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(gone)
		tick := time.NewTicker(pollInterval)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
				progress(e.err, fmt.Sprintf("%d requests", finished.Load()))
			case <-quit:
				progress(e.err, "")
				return
			}
		}
	}()
	return func() {
		close(quit)
		<-gone
	}
}

func printReport(e *env, r *generator.Report) error {
	w := tabwriter.NewWriter(e.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "class\ttotal\tdone\tin time\tnot run\tunknown\tfailed\tmissed\tp50 ms\tp99 ms\tp99.9 ms\tgap ms")
	for _, name := range []generator.Class{generator.Booking, generator.Lookup} {
		c := r.Classes[name]
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.0f\n", name, c.Total, c.Done, c.Intime,
			c.NotRun, c.Unknown, c.Failed, c.Missed, c.Latency.P50, c.Latency.P99, c.Latency.P999, c.Gap)
	}
	if err := w.Flush(); err != nil {
		return errors.Wrap(err, "print")
	}
	fmt.Fprintf(e.out, "score %d of %d, %d connections, %d moves, errors %s\n", r.Score, r.Best, r.Connects, r.Moves, codes(r.Codes))
	for _, f := range r.Audit.Findings {
		fmt.Fprintf(e.out, "%s: %s\n", f.Kind, f.Text)
	}
	_, err := fmt.Fprintln(e.out, r.Audit.Counts)
	return errors.Wrap(err, "print")
}

func codes(counts map[string]int) string {
	if len(counts) == 0 {
		return "none"
	}
	text := fmt.Sprint(counts) // maps print in the order of their keys
	return strings.TrimSuffix(strings.TrimPrefix(text, "map["), "]")
}
