package main

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"basildale.example/basildale/configurator"
)

type presetCmd struct {
	Use  presetUseCmd  `cmd:"" help:"Put a preset in force for its workspace."`
	Show presetShowCmd `cmd:"" help:"Show the preset in force for each workspace."`
}

type presetUseCmd struct {
	format
	writing
	Name string `arg:"" help:"Name of the preset."`
}

// Help is the long help of the command.
func (presetUseCmd) Help() string {
	return `Changes the one object that names the preset in force for the preset's
workspace, on condition that nobody has changed it since it was read. Of two
operators who do so at once one is told who was first and exits with 4.`
}

// Run puts the preset in force.
func (c *presetUseCmd) Run(e *env) error {
	return c.change(e, c.format, func(set configurator.Set) ([]configurator.Change, error) {
		change, ok, err := configurator.UsePreset(set, c.Name)
		if err != nil || !ok {
			return nil, err
		}
		return []configurator.Change{change}, nil
	})
}

type presetShowCmd struct {
	format
	fleet
	Workspace string `arg:"" optional:"" help:"Name of one workspace; without it all."`
}

// shownPreset is one workspace in the answer of preset show.
type shownPreset struct {
	Workspace string    `json:"workspace"`
	Preset    string    `json:"preset"`
	Version   uint64    `json:"version"`
	Writer    string    `json:"writer"`
	Time      time.Time `json:"time"`
	Others    []string  `json:"others,omitempty"`
}

// Run shows the presets in force.
func (c *presetShowCmd) Run(e *env) error {
	ctx, cancel := context.WithTimeout(e.ctx, c.Timeout)
	defer cancel()
	set, err := c.load(ctx, e, c.client())
	if err != nil {
		return err
	}
	list := c.shown(set)
	if c.asJSON() {
		return printJSON(e, list)
	}
	t := tabs(e.out)
	fmt.Fprintln(t, "WORKSPACE\tPRESET\tVERSION\tWRITER\tTIME\tOTHERS")
	for _, s := range list {
		fmt.Fprintf(t, "%s\t%s\t%d\t%s\t%s\t%s\n", s.Workspace, s.Preset, s.Version, s.Writer, s.Time.Format(time.RFC3339), strings.Join(s.Others, ", "))
	}
	return t.Flush()
}

func (c *presetShowCmd) shown(set configurator.Set) []shownPreset {
	config := configurator.Build(set, 0)
	var list []shownPreset
	for _, workspace := range slices.Sorted(maps.Keys(config.Workspaces)) {
		if c.Workspace != "" && c.Workspace != workspace {
			continue
		}
		active := set[configurator.ID{Kind: configurator.KindActive, Name: workspace}]
		s := shownPreset{
			Workspace: workspace, Preset: config.Workspaces[workspace].Name,
			Version: active.Version, Writer: active.Meta.Writer, Time: active.Meta.Time,
		}
		for id, entry := range set {
			p, ok := entry.Spec.(*configurator.Preset)
			if ok && !entry.Removed && p.Workspace == workspace && id.Name != s.Preset {
				s.Others = append(s.Others, id.Name)
			}
		}
		slices.Sort(s.Others)
		list = append(list, s)
	}
	return list
}
