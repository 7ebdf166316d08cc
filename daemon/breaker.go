package daemon

import (
	"context"
	"net/netip"

	"github.com/cockroachdb/errors"

	"basildale.example/basildale/adapter/reporter"
	"basildale.example/basildale/breaker"
	"basildale.example/basildale/dispatcher"
)

// force carries out an operator's order about an upstream's breaker.
func (d *Daemon) force(_ context.Context, a netip.AddrPort, state reporter.BreakerState) (reporter.Forced, error) {
	f := breaker.NotForced
	switch state {
	case reporter.ForceOpen:
		f = breaker.ForcedOpen
	case reporter.ForceClosed:
		f = breaker.ForcedClosed
	}
	now, err := d.dispatcher.Force(a, f)
	if errors.Is(err, dispatcher.ErrNoUpstream) {
		return reporter.Forced{}, errors.Mark(err, reporter.ErrUpstream)
	}
	return reporter.Forced{Upstream: a, State: state, Breaker: now.String()}, err
}
