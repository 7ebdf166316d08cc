package main

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"basildale.example/basildale/configurator"
)

type getCmd struct {
	fleet
	Kind    string `arg:"" enum:"workspace,pool,group,caller,preset,active,all" help:"Kind of the objects: workspace, pool, group, caller, preset, active, or all."`
	Name    string `arg:"" optional:"" help:"Name of one object; without it all of the kind."`
	Output  string `short:"o" enum:"table,yaml,json" default:"table" help:"Form of the answer: table, yaml or json."`
	Removed bool   `help:"Show removed objects too."`
	Secrets bool   `help:"Show the verifiers of callers."`
}

// Help is the long help of the command.
func (getCmd) Help() string {
	return `Prints stored objects with their versions and who wrote them last. The yaml
form can be given to apply again; verifiers are left out of it unless --secrets
asks for them, and a caller without one is refused by apply. Exits with 1 when
there is no such object.`
}

// stored is one object in the answer of get.
type stored struct {
	Kind    configurator.Kind `json:"kind"`
	Name    string            `json:"name"`
	Version uint64            `json:"version"`
	Writer  string            `json:"writer"`
	Time    time.Time         `json:"time"`
	Removed bool              `json:"removed,omitempty"`
	Spec    configurator.Spec `json:"spec"`
}

// Run prints the objects.
func (c *getCmd) Run(e *env) error {
	ctx, cancel := context.WithTimeout(e.ctx, c.Timeout)
	defer cancel()
	set, err := c.load(ctx, e, c.client())
	if err != nil {
		return err
	}
	found := c.pick(set)
	if len(found) == 0 && c.Name != "" {
		return fail(exitFailed, errors.Newf("there is no %s %q", c.Kind, c.Name))
	}
	switch c.Output {
	case "yaml":
		return printDocuments(e, found)
	case "json":
		return printJSON(e, answers(found))
	default:
		return printObjects(e, found)
	}
}

// pick returns the entries that were asked for, by kind and name.
func (c *getCmd) pick(set configurator.Set) []configurator.Entry {
	var found []configurator.Entry
	for id, entry := range set {
		wanted := (c.Kind == "all" || string(id.Kind) == c.Kind) && (c.Name == "" || id.Name == c.Name)
		if !wanted || entry.Removed && !c.Removed {
			continue
		}
		if caller, ok := entry.Spec.(*configurator.Caller); ok && !c.Secrets {
			bare := *caller
			bare.Verifier = ""
			entry.Spec = &bare
		}
		found = append(found, entry)
	}
	slices.SortFunc(found, func(a, b configurator.Entry) int { return strings.Compare(a.ID.String(), b.ID.String()) })
	return found
}

func answers(found []configurator.Entry) []stored {
	list := make([]stored, len(found))
	for i, f := range found {
		list[i] = stored{
			Kind: f.ID.Kind, Name: f.ID.Name, Version: f.Version,
			Writer: f.Meta.Writer, Time: f.Meta.Time, Removed: f.Removed, Spec: f.Spec,
		}
	}
	return list
}

func printObjects(e *env, found []configurator.Entry) error {
	t := tabs(e.out)
	fmt.Fprintln(t, "KIND\tNAME\tVERSION\tWRITER\tTIME\tSTATE")
	for _, f := range found {
		state := "stored"
		if f.Removed {
			state = "removed"
		}
		fmt.Fprintf(t, "%s\t%s\t%d\t%s\t%s\t%s\n", f.ID.Kind, f.ID.Name, f.Version, f.Meta.Writer, f.Meta.Time.Format(time.RFC3339), state)
	}
	return t.Flush()
}

func printDocuments(e *env, found []configurator.Entry) error {
	for i, f := range found {
		text, err := f.Document()
		if err != nil {
			return err
		}
		if i > 0 {
			fmt.Fprintln(e.out, "---")
		}
		if _, err := e.out.Write(text); err != nil {
			return err
		}
	}
	return nil
}
