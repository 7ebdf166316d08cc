package main

import (
	"context"
	"fmt"
	"net/netip"

	"basildale.example/basildale/adapter/reporter"
)

type breakerCmd struct {
	format
	target
	Upstream netip.AddrPort `arg:"" help:"Address of the upstream: IP number and port."`
	State    string         `arg:"" enum:"open,closed,auto" help:"open: out of use; closed: in use whatever happens; auto: by its failures."`
}

// Help is the long help of the command.
func (breakerCmd) Help() string {
	return `Sets the circuit breaker of an upstream at one process, until it is set again or
the process ends. An upstream that is forced open gets no statements from this
process; if it is the primary, writes wait and are refused as not run.`
}

// Run sets the state.
func (c *breakerCmd) Run(e *env) error {
	var forced reporter.Forced
	err := c.ask(e, func(ctx context.Context, client reporter.Client) error {
		var err error
		forced, err = client.Force(ctx, c.Upstream, reporter.BreakerState(c.State))
		return err
	})
	if err != nil {
		return err
	}
	if c.asJSON() {
		return printJSON(e, forced)
	}
	_, err = fmt.Fprintf(e.out, "%s: %s, now %s\n", forced.Upstream, forced.State, forced.Breaker)
	return err
}
