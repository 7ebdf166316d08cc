package main

import (
	"context"
	"crypto/rand"
	"fmt"
	"time"

	"basildale.example/basildale/configurator"
)

// writing is what a command needs that changes the fleet.
type writing struct {
	fleet
	inForce
	Writer string `env:"USER" default:"unknown" help:"Who writes; conflicts show it to others."`
	Wait   bool   `help:"Wait until the change is in force at every proxy."`
}

// written is the answer of a command that changed the fleet.
type written struct {
	Version  uint64   `json:"version"`
	Changes  []string `json:"changes"`
	Replaced []string `json:"replaced,omitempty"`
	InForce  int      `json:"proxies,omitempty"` // proxies at the version, after a wait
}

type applyCmd struct {
	format
	writing
	File []string `short:"f" required:"" type:"path" sep:"none" placeholder:"FILE" help:"File with YAML documents. Can be repeated."`
}

// Help is the long help of the command.
func (applyCmd) Help() string {
	return `Makes the fleet's objects what the documents say. Everything is checked
before anything is written: each document by itself and together with what is
stored. A document with "removed: true" removes its object; objects without a
document stay as they are.

Each object is written on condition that nobody has changed it since it was
read. Otherwise the command stops there, says who changed what, and exits with
4; what was written before stays. It exits with 2 when documents are wrong and
with 3 when the platform doesn't answer and nothing more has been written.`
}

// Run writes the documents.
func (c *applyCmd) Run(e *env) error {
	docs, err := parse(c.File)
	if err != nil {
		return err
	}
	return c.change(e, c.format, func(set configurator.Set) ([]configurator.Change, error) {
		return configurator.Plan(set, docs)
	})
}

// change reads the fleet, plans and writes.
func (w *writing) change(e *env, f format, plan func(configurator.Set) ([]configurator.Change, error)) error {
	ctx, cancel := context.WithTimeout(e.ctx, w.Timeout)
	defer cancel()
	client := w.client()
	set, err := w.load(ctx, e, client)
	if err != nil {
		return err
	}
	changes, err := plan(set)
	if err != nil {
		return fail(exitUsage, err)
	}
	a := &configurator.Applier{Writer: w.Writer, Nonce: rand.Text(), Time: time.Now().UTC()}
	failed := write(ctx, client, a, changes)
	answer := written{Version: max(a.Version, highest(set)), Replaced: a.Replaced}
	for _, c := range a.Written {
		answer.Changes = append(answer.Changes, fmt.Sprintf("%s %s", c.Action, c.ID))
	}
	if failed == nil && w.Wait {
		answer.InForce, failed = w.await(e, client, answer.Version)
	}
	if err := printWritten(e, f, answer); err != nil {
		return err
	}
	return failed
}

// highest returns the version of the last change that was read.
func highest(set configurator.Set) uint64 {
	version := uint64(0)
	for _, entry := range set {
		version = max(version, entry.Version)
	}
	return version
}

func printWritten(e *env, f format, answer written) error {
	if f.asJSON() {
		return printJSON(e, answer)
	}
	for _, line := range answer.Changes {
		fmt.Fprintln(e.out, line)
	}
	for _, line := range answer.Replaced {
		fmt.Fprintln(e.out, "applied, and replaced since:", line)
	}
	if len(answer.Changes) == 0 {
		fmt.Fprintln(e.out, "nothing changed")
	}
	if answer.InForce > 0 {
		fmt.Fprintf(e.out, "version %d is in force at every proxy (%d)\n", answer.Version, answer.InForce)
	}
	return nil
}
