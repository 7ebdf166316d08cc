package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"
)

// Exit codes of every command.
const (
	exitDone    = 0
	exitFailed  = 1
	exitUsage   = 2
	exitSilent  = 3
	exitRefused = 4
)

const description = `A PostgreSQL proxy fleet with session consistency: callers read their own
writes on any proxy, no acknowledged write is lost, a failed primary is replaced
without a human, and each decision can be explained.

Exit codes: 0 done, 1 failed, 2 wrong settings or command line, 3 no answer from
the process that was asked, 4 refused by it.`

// cli is the command line.
type cli struct {
	Serve    serveCmd    `cmd:"" help:"Run one proxy process by a settings file."`
	Check    checkCmd    `cmd:"" help:"Check a settings file and name every wrong setting with its line."`
	Status   statusCmd   `cmd:"" help:"Show what a running process sees: groups, upstreams, peers, preset."`
	Explain  explainCmd  `cmd:"" help:"Show decisions of a running process with their reasons."`
	Losses   lossesCmd   `cmd:"" help:"Tell from logs where requests were lost, and why."`
	Usage    usageCmd    `cmd:"" help:"Show which workspaces use which upstream, over the whole fleet."`
	Drain    drainCmd    `cmd:"" help:"Stop a running process gracefully."`
	Breaker  breakerCmd  `cmd:"" help:"Force an upstream's circuit breaker at a running process."`
	Apply    applyCmd    `cmd:"" help:"Make the fleet's objects what documents say."`
	Diff     diffCmd     `cmd:"" help:"Show what apply would change."`
	Get      getCmd      `cmd:"" help:"Print the fleet's objects."`
	Preset   presetCmd   `cmd:"" help:"Show or change the preset in force."`
	Load     loadCmd     `cmd:"" help:"Put load on PostgreSQL addresses and count what breaks."`
	Demo     demoCmd     `cmd:"" help:"Show the whole system at work in one process."`
	Verifier verifierCmd `cmd:"" help:"Make the verifier of a caller's password."`
	Version  versionCmd  `cmd:"" help:"Print the version."`
}

// failure is an error that says which exit code it means.
type failure struct {
	code int
	err  error
}

// Error returns the text of the error inside.
func (f *failure) Error() string { return f.err.Error() }

// Unwrap returns the error inside.
func (f *failure) Unwrap() error { return f.err }

// fail wraps err with an exit code.
func fail(code int, err error) error {
	return &failure{code: code, err: err}
}

// parser builds the command line. Kong wants to leave the process after help is
// printed; exit takes the code instead.
func parser(stdout, stderr io.Writer, exit func(int)) (*kong.Kong, error) {
	return kong.New(
		new(cli),
		kong.Name("basildale"),
		kong.Description(description),
		kong.Writers(stdout, stderr),
		kong.Exit(exit),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true, WrapUpperBound: 80}),
	)
}

// run runs one command line and returns the exit code.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	return runIn(&env{ctx: ctx, in: os.Stdin, out: stdout, err: stderr}, args)
}

func runIn(e *env, args []string) int {
	exited := -1
	k, err := parser(e.out, e.err, func(code int) { exited = code })
	if err != nil {
		panic(err) // the declarations above are wrong
	}
	parsed, err := k.Parse(args)
	if exited >= 0 {
		return exited
	}
	if err != nil {
		fmt.Fprintf(e.err, "basildale: %s\nTry basildale --help.\n", err)
		return exitUsage
	}
	return report(e.err, parsed.Run(e))
}

// report prints err, if any, and returns the exit code it means.
func report(stderr io.Writer, err error) int {
	if err == nil {
		return exitDone
	}
	fmt.Fprintf(stderr, "basildale: %s\n", err)
	var f *failure
	if errors.As(err, &f) {
		return f.code
	}
	return exitFailed
}
