package main

import (
	"context"
	"fmt"

	"basildale.example/basildale/adapter/reporter"
)

type explainCmd struct {
	format
	target
	Session  string `placeholder:"ID" help:"Only decisions about this caller's session."`
	Group    string `placeholder:"NAME" help:"Only decisions about this group."`
	Upstream string `placeholder:"NAME" help:"Only decisions about this upstream."`
	Limit    int    `default:"50" help:"How many decisions, the newest ones (1 to 1000)."`
}

// Help is the long help of the command.
func (explainCmd) Help() string {
	return `Prints decisions of one running process with their reasons, oldest first: why
a read went to the primary, why a statement was refused, why a primary was
replaced. A process remembers some thousands; older ones are gone. No statement
text and no row data is kept.`
}

// Run prints the decisions.
func (c *explainCmd) Run(e *env) error {
	query := reporter.Query{Session: c.Session, Group: c.Group, Upstream: c.Upstream, Limit: c.Limit}
	return c.ask(e, func(ctx context.Context, client reporter.Client) error {
		decisions, err := client.Explain(ctx, query)
		if err != nil {
			return err
		}
		if c.asJSON() {
			return printJSON(e, decisions)
		}
		return printDecisions(e, decisions)
	})
}

func printDecisions(e *env, decisions []reporter.Decision) error {
	if len(decisions) == 0 {
		_, err := fmt.Fprintln(e.out, "no decision about that is remembered")
		return err
	}
	t := tabs(e.out)
	fmt.Fprintln(t, "TIME\tPART\tGROUP\tUPSTREAM\tSESSION\tDECISION\tREASON")
	for _, d := range decisions {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%s %s\n",
			d.At.Format("15:04:05.000"), d.Part, d.Group, d.Upstream, d.Session, d.Action, d.Reason, d.Detail)
	}
	return t.Flush()
}
