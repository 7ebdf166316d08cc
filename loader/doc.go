// Package loader reads the YAML settings file of one proxy process.
//
// A settings file holds what one process must know before it can speak to
// anybody: its name, its availability zone, the addresses it listens on, the
// addresses of the platform, its TLS files and its limits. What holds for the
// whole workspace (groups, callers, presets) lives in the platform's objects and
// not here; a file may still list groups and callers, for a process that runs
// without a platform.
//
// The whole file is checked at once. [Check] returns every wrong setting with
// its line, what is wrong and what is allowed, so that an operator mends a file
// in one go. Keys that the package doesn't know are wrong settings too: a
// mistyped limit would otherwise be silently the default.
//
// Addresses are IP numbers. A name would make the start of a process depend on
// a name service, and an answer that changes would move the process unasked.
//
// # Usage
//
//	settings, problems, err := loader.Load("vejle-1.yaml")
//	if err != nil {
//		return err // the file can't be read at all
//	}
//	for _, p := range problems {
//		fmt.Println(p) // vejle-1.yaml:4: listen is "kiosk:5432", allowed is ...
//	}
//	if len(problems) > 0 {
//		os.Exit(2)
//	}
package loader
