package main

import (
	"cmp"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"basildale.example/basildale/auditor"
)

type lossesCmd struct {
	format
	All  bool     `help:"Also show spans in which nothing was lost."`
	By   string   `enum:",workspace,priority,group,gateway" default:"" help:"Count requests by workspace, priority, group or gateway instead."`
	Logs []string `arg:"" help:"Log files of any number of processes; - is standard input."`
}

// Help is the long help of the command.
func (lossesCmd) Help() string {
	return `Reads the logs of processes that serve the line protocol and tells, for each two
seconds and group, how many requests were answered in their objective, late, refused
and why, or in doubt; for how long no write was acknowledged, and what that time was
spent on; and what share of the reads replicas ran. With --by it tells for each
workspace, priority, group or gateway what became of its requests and what share of
the service time they used; for workspaces also as a multiple of an equal share.
Requests in logs of older processes, which don't state it, stand under unknown.`
}

// Run prints the report.
func (c *lossesCmd) Run(e *env) error {
	audit := auditor.Audit{By: auditor.Dimension(c.By)}
	for _, name := range c.Logs {
		if err := c.read(e, &audit, name); err != nil {
			return err
		}
	}
	if c.By != "" {
		return c.printShares(e, audit.Shares())
	}
	report := audit.Report()
	if c.asJSON() {
		return printJSON(e, report)
	}
	return c.print(e, report)
}

func (c *lossesCmd) read(e *env, audit *auditor.Audit, name string) error {
	if name == "-" {
		return audit.Read(e.in)
	}
	f, err := os.Open(name)
	if err != nil {
		return errors.Wrap(err, "open a log")
	}
	defer func() { _ = f.Close() }() // it was only read
	return audit.Read(f)
}

func (c *lossesCmd) print(e *env, report auditor.Report) error {
	t := tabs(e.out)
	fmt.Fprintln(t, "TIME\tGROUP\tASKED\tIN TIME\tLATE\tIN DOUBT\tBY REPLICAS\tREFUSED")
	for _, r := range report.Rows {
		if r.Met == r.Asked && !c.All {
			continue
		}
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%d\t%d of %d\t%s\n", r.From.Format("15:04:05"), r.Group, r.Asked, r.Met, r.Late, r.Doubt,
			r.Replicas, r.Reads, causes(r.Refused))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, g := range report.Gaps {
		fmt.Fprintf(e.out, "%s  %s acknowledged no write for %s: noticing %s, deciding %s, promoting %s, hearing %s\n",
			g.From.Format("15:04:05.000"), g.Group, g.To.Sub(g.From), g.Noticing, g.Deciding, g.Promoting, g.Hearing)
	}
	_, err := fmt.Fprintf(e.out, "replicas ran %.1f %% of the reads; %d lines skipped\n", 100*report.Share, report.Skipped)
	return err
}

func (c *lossesCmd) printShares(e *env, report auditor.ShareReport) error {
	if c.asJSON() {
		return printJSON(e, report)
	}
	t := tabs(e.out)
	ratio := ""
	if report.By == auditor.ByWorkspace {
		ratio = "OF EQUAL\t"
	}
	fmt.Fprintf(t, "%s\tASKED\tIN TIME\tLATE\tIN DOUBT\tSERVICE\tSHARE\t%sREFUSED\n", strings.ToUpper(string(report.By)), ratio)
	for i := range report.Shares {
		s := &report.Shares[i]
		switch {
		case ratio == "":
		case s.Key == auditor.Unknown || s.Key == auditor.None:
			ratio = "-\t"
		default:
			ratio = fmt.Sprintf("%.2f\t", s.Equal)
		}
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%.3fs\t%.1f %%\t%s%s\n", s.Key, s.Asked, s.Met, s.Late, s.Doubt, s.Busy, 100*s.Share, ratio, causes(s.Refused))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(e.out, "%d lines skipped\n", report.Skipped)
	return err
}

// causes lists causes by how often they came, the most frequent first.
func causes(refused map[string]int) string {
	names := slices.SortedFunc(maps.Keys(refused), func(a, b string) int {
		return cmp.Or(cmp.Compare(refused[b], refused[a]), cmp.Compare(a, b))
	})
	parts := make([]string, 0, len(names))
	for _, name := range names {
		parts = append(parts, fmt.Sprintf("%d %s", refused[name], name))
	}
	return strings.Join(parts, "; ")
}
