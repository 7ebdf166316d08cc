package main

import (
	"fmt"
	"runtime/debug"
)

type versionCmd struct{}

// Run prints the module's version, the commit it was built from where the build
// knows it, and the version of Go.
func (versionCmd) Run(e *env) error {
	version, commit, goVersion := "(devel)", "unknown commit", "unknown Go"
	if info, ok := debug.ReadBuildInfo(); ok {
		goVersion = info.GoVersion
		if info.Main.Version != "" {
			version = info.Main.Version
		}
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				commit = s.Value
			}
		}
	}
	_, err := fmt.Fprintf(e.out, "basildale %s (%s, %s)\n", version, commit, goVersion)
	return err
}
