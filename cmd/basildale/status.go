package main

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"basildale.example/basildale/adapter/reporter"
)

type statusCmd struct {
	format
	target
}

// Help is the long help of the command.
func (statusCmd) Help() string {
	return `Prints what one running process sees: its state, the preset in force, each
group with its leader, term and upstreams, and its peers. Two processes may see
different things for a moment; ask both. Exits with 3 when nobody answers.`
}

// Run prints the status.
func (c *statusCmd) Run(e *env) error {
	return c.ask(e, func(ctx context.Context, client reporter.Client) error {
		s, err := client.Status(ctx)
		if err != nil {
			return err
		}
		if c.asJSON() {
			return printJSON(e, s)
		}
		return printStatus(e.out, s)
	})
}

// tabs returns a writer that lines columns up. It must be flushed.
func tabs(w io.Writer) *tabwriter.Writer {
	const space = 2
	return tabwriter.NewWriter(w, 0, 0, space, ' ', 0)
}

func printStatus(w io.Writer, s reporter.Status) error {
	t := tabs(w)
	fmt.Fprintf(t, "process\t%s in %s, workspace %s\n", s.Name, s.Zone, s.Workspace)
	fmt.Fprintf(t, "state\t%s, %d callers, %d transactions under way\n", s.State, s.Callers, s.Running)
	if s.Preset != "" {
		fmt.Fprintf(t, "preset\t%s, configuration version %d\n", s.Preset, s.Version)
	}
	if s.Platform != "" {
		fmt.Fprintf(t, "platform\t%s\n", s.Platform)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, g := range s.Groups {
		if err := printGroup(w, g); err != nil {
			return err
		}
	}
	return printPeers(w, s.Peers)
}

func printGroup(w io.Writer, g reporter.Group) error {
	fmt.Fprintf(w, "\ngroup %s, term %s, leader %s\n", g.Name, orNone(g.Term), orNone(g.Leader))
	t := tabs(w)
	fmt.Fprintln(t, "  UPSTREAM\tZONE\tADDRESS\tROLE\tMARK\tBEHIND\tBREAKER\tCONNECTIONS")
	for _, u := range g.Upstreams {
		fmt.Fprintf(t, "  %s\t%s\t%s\t%s\t%s\t%s\t%s\t%d of %d\n",
			u.Name, u.Zone, u.Address, u.Role, u.Mark, behind(u), orNone(u.Breaker), u.Open, u.Share)
	}
	return t.Flush()
}

func printPeers(w io.Writer, peers []reporter.Peer) error {
	if len(peers) == 0 {
		return nil
	}
	t := tabs(w)
	fmt.Fprintln(t, "\nPEER\tZONE\tADDRESS\tSTATE")
	for _, p := range peers {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\n", p.Name, p.Zone, p.Address, p.State)
	}
	return t.Flush()
}

func behind(u reporter.Upstream) string {
	if u.Behind == nil {
		return "unknown"
	}
	return time.Duration(*u.Behind).Round(time.Millisecond).String()
}

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}
