package main

import (
	"context"
	"fmt"

	"basildale.example/basildale/configurator"
)

type diffCmd struct {
	format
	fleet
	File []string `short:"f" required:"" type:"path" sep:"none" placeholder:"FILE" help:"File with YAML documents. Can be repeated."`
}

// Help is the long help of the command.
func (diffCmd) Help() string {
	return `Checks the documents as apply would and prints what apply would change, in
the order in which it would write. Nothing is written. Verifiers are not shown.`
}

// planned is one change in the answer of diff.
type planned struct {
	Action  configurator.Action `json:"action"`
	Object  string              `json:"object"`
	Version uint64              `json:"version"` // the object's own, 0 for a new one
	Fields  []string            `json:"fields,omitempty"`
}

// Run prints what would change.
func (c *diffCmd) Run(e *env) error {
	docs, err := parse(c.File)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(e.ctx, c.Timeout)
	defer cancel()
	set, err := c.load(ctx, e, c.client())
	if err != nil {
		return err
	}
	changes, err := configurator.Plan(set, docs)
	if err != nil {
		return fail(exitUsage, err)
	}
	answer := make([]planned, len(changes))
	for i, change := range changes {
		answer[i] = planned{Action: change.Action, Object: change.ID.String(), Version: change.Match}
		for _, f := range change.Fields {
			answer[i].Fields = append(answer[i].Fields, f.String())
		}
	}
	if c.asJSON() {
		return printJSON(e, answer)
	}
	for _, p := range answer {
		fmt.Fprintln(e.out, p.Action, p.Object)
		for _, f := range p.Fields {
			fmt.Fprintln(e.out, "  "+f)
		}
	}
	if len(answer) == 0 {
		fmt.Fprintln(e.out, "no differences")
	}
	return nil
}
