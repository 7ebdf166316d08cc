package main

import (
	"github.com/cockroachdb/errors"

	"basildale.example/basildale/demonstrator"
)

type demoCmd struct {
	Hold bool   `help:"Stay up and print addresses and connection strings until interrupted."`
	Seed uint64 `default:"1" help:"Seed of the callers' requests."`
}

// Help is the long help of the command.
func (demoCmd) Help() string {
	return `Runs the whole system in this process on loopback addresses: both deployments
at their real size with stand-in database groups, nine proxies each, and callers
that move between the proxies while things happen. Prints what happens, a table,
and as the last line how often each promise was broken, counted by a ledger of
what callers were told. Ends by itself within 45 s. Exits with 1 when a count is
not 0.`
}

// Run runs the demonstration.
func (c *demoCmd) Run(e *env) error {
	d := &demonstrator.Demo{Out: e.out, Hold: c.Hold, Seed: c.Seed}
	return verdict(d.Run(e.ctx))
}

// verdict turns the report into the exit code.
func verdict(report *demonstrator.Report, err error) error {
	if err != nil {
		return err
	}
	if !report.Counts.Zero() {
		return fail(exitFailed, errors.New("promises were broken"))
	}
	return nil
}
