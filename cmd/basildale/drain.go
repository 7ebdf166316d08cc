package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"basildale.example/basildale/adapter/reporter"
)

// pollInterval is how often drain --wait asks how far the process is.
const pollInterval = 250 * time.Millisecond

type drainCmd struct {
	format
	target
	Wait bool `help:"Wait until the process is gone."`
}

// Help is the long help of the command.
func (drainCmd) Help() string {
	return `Asks a running process to stop gracefully: it announces that it leaves, ends
idle sessions between requests, finishes what is under way and exits. No request
is cut. Exits with 4 when a stop runs already.`
}

// Run starts the stop and, if asked, waits for its end.
func (c *drainCmd) Run(e *env) error {
	var drained reporter.Drained
	err := c.ask(e, func(ctx context.Context, client reporter.Client) error {
		var err error
		drained, err = client.Drain(ctx)
		return err
	})
	if err != nil {
		return err
	}
	if c.Wait {
		if err := c.wait(e, drained.Deadline); err != nil {
			return err
		}
		drained.State = "gone"
	}
	if c.asJSON() {
		return printJSON(e, drained)
	}
	_, err = fmt.Fprintf(e.out, "%s: %s\n", c.Address, drained.State)
	return err
}

// wait polls the status until nobody answers any more. A process that is still
// there well past its own deadline is stuck, and an operator must hear of it.
func (c *drainCmd) wait(e *env, deadline time.Time) error {
	ctx, cancel := context.WithDeadline(e.ctx, deadline.Add(c.Timeout))
	defer cancel()
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		s, err := c.client().Status(ctx)
		switch {
		case ctx.Err() != nil:
			return fail(exitFailed, errors.Newf("%s is still there after its deadline", c.Address))
		case errors.Is(err, reporter.ErrSilent):
			progress(e.err, "")
			return nil
		case err == nil:
			progress(e.err, fmt.Sprintf("%d callers, %d transactions under way", s.Callers, s.Running))
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
		}
	}
}

// progress shows text on the line it is called on again and again, if w is a
// terminal: a log file would only be filled with it. An empty text ends the line.
func progress(w io.Writer, text string) {
	if !terminal(w) {
		return
	}
	const erase = "\r\x1b[K"
	fmt.Fprint(w, erase+text)
}

func terminal(w io.Writer) bool {
	f, ok := w.(*os.File)
	if !ok {
		return false
	}
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
