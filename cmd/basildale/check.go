package main

import (
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"

	"basildale.example/basildale/loader"
)

// format is the form of an answer: for people or for programs.
type format struct {
	Output string `short:"o" enum:"text,json" default:"text" help:"Form of the answer: text or json."`
}

// asJSON reports whether a program will read the answer.
func (f format) asJSON() bool { return f.Output == "json" }

type checkCmd struct {
	format
	File string `arg:"" help:"The settings file." type:"path"`
}

// Help is the long help of the command.
func (checkCmd) Help() string {
	return `Reads the file as serve would and prints each wrong setting as
FILE:LINE: what is wrong, what is allowed. Certificates and keys that the file
names are opened too; nothing is connected to. Exits with 2 when a setting is
wrong.`
}

// Run checks the file.
func (c *checkCmd) Run(e *env) error {
	_, problems, err := loader.Load(c.File)
	if err != nil {
		return fail(exitUsage, err)
	}
	if c.asJSON() {
		if err := printProblems(e, problems); err != nil {
			return err
		}
	} else {
		for _, p := range problems {
			fmt.Fprintln(e.out, p)
		}
	}
	if len(problems) > 0 {
		return fail(exitUsage, errors.Newf("%d wrong settings", len(problems)))
	}
	if !c.asJSON() {
		fmt.Fprintln(e.out, "all settings are right")
	}
	return nil
}

// wrong is a problem as a program reads it.
type wrong struct {
	File    string `json:"file"`
	Line    int    `json:"line"`
	Wrong   string `json:"wrong"`
	Allowed string `json:"allowed"`
}

func printProblems(e *env, problems []loader.Problem) error {
	list := make([]wrong, 0, len(problems))
	for _, p := range problems {
		list = append(list, wrong(p))
	}
	return printJSON(e, list)
}

// printJSON writes v, indented, to the command's output.
func printJSON(e *env, v any) error {
	enc := json.NewEncoder(e.out)
	enc.SetIndent("", "  ")
	return errors.Wrap(enc.Encode(v), "json")
}
