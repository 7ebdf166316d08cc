package main

import (
	"context"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"basildale.example/basildale/adapter/reporter"
)

// target is a running process to ask.
type target struct {
	Address netip.AddrPort `arg:"" help:"Operators' address of the process: IP number and port."`
	Timeout time.Duration  `default:"5s" help:"How long to wait for its answer."`
}

func (t target) client() reporter.Client { return reporter.Client{Address: t.Address} }

// ask calls f with a deadline and turns its error into an exit code.
func (t target) ask(e *env, f func(context.Context, reporter.Client) error) error {
	ctx, cancel := context.WithTimeout(e.ctx, t.Timeout)
	defer cancel()
	return coded(f(ctx, t.client()))
}

// coded gives an error of the reporter's client its exit code.
func coded(err error) error {
	switch {
	case errors.Is(err, reporter.ErrSilent):
		return fail(exitSilent, err)
	case errors.Is(err, reporter.ErrRefused):
		return fail(exitRefused, err)
	default:
		return err
	}
}
