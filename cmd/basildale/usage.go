package main

import (
	"cmp"
	"context"
	"fmt"
	"io"

	"basildale.example/basildale/adapter/reporter"
)

type usageCmd struct {
	format
	target
}

// Help is the long help of the command.
func (usageCmd) Help() string {
	return `Prints which workspaces use which upstream, over the whole fleet: any one process
that serves the line protocol can be asked, and asks its live peers. The service
time is that of the last 10 s. Processes that don't answer within a second are
named; their use is missing. Exits with 3 when nobody answers, and with 4 when
the process is older or is being asked by another operator.`
}

// Run prints the usage.
func (c *usageCmd) Run(e *env) error {
	return c.ask(e, func(ctx context.Context, client reporter.Client) error {
		u, err := client.Usage(ctx)
		if err != nil {
			return err
		}
		if c.asJSON() {
			return printJSON(e, u)
		}
		return printUsage(e.out, &u)
	})
}

// usageSpan is the number of seconds over which service time is summed.
const usageSpan = 10

func printUsage(w io.Writer, u *reporter.Usage) error {
	for i := range u.Upstreams {
		if err := printUpstreamUsage(w, &u.Upstreams[i]); err != nil {
			return err
		}
	}
	if _, err := fmt.Fprintf(w, "%d of %d processes answered\n", u.Answered, u.Answered+len(u.Silent)); err != nil {
		return err
	}
	for _, s := range u.Silent {
		if _, err := fmt.Fprintf(w, "missing: %s, %s\n", s.Process, s.Reason); err != nil {
			return err
		}
	}
	return nil
}

func printUpstreamUsage(w io.Writer, u *reporter.UpstreamUsage) error {
	var busy float64
	for _, s := range u.Workspaces {
		busy += s.Busy.Seconds()
	}
	role := "replica"
	if u.Leads {
		role = "leader"
	}
	slots := "an unknown number of"
	if u.Slots > 0 {
		slots = fmt.Sprint(u.Slots)
	}
	fmt.Fprintf(w, "group %s, upstream %s, %s: %.1f of %s slots used, %d waiting\n", u.Group, u.Upstream, role, busy/usageSpan, slots, u.Waiting)
	t := tabs(w)
	fmt.Fprintln(t, "  WORKSPACE\tSLOTS\tSHARE\tRUNNING\tPROCESSES")
	for _, s := range u.Workspaces {
		share := 0.0
		if busy > 0 {
			share = 100 * s.Busy.Seconds() / busy
		}
		fmt.Fprintf(t, "  %s\t%.2f\t%.1f %%\t%d\t%d\n", cmp.Or(s.Workspace, "(none)"), s.Busy.Seconds()/usageSpan, share, s.Running, s.Processes)
	}
	fmt.Fprintln(t)
	return t.Flush()
}
