package main

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"basildale.example/basildale/adapter/keeper"
	"basildale.example/basildale/adapter/reporter"
)

// versionOf asks the process at an operators' address for its configuration's
// version.
type versionOf func(ctx context.Context, addr netip.AddrPort) (uint64, error)

// inForce waits until a version is in force at every proxy.
type inForce struct {
	Ask      []netip.AddrPort `placeholder:"IP:PORT" help:"Operators' addresses to ask with --wait; without it all live proxies of the platform's instance list are asked."`
	Port     uint16           `default:"7480" help:"Operators' port of the proxies in the instance list."`
	Patience time.Duration    `default:"30s" help:"How long --wait waits."`

	version versionOf // nil asks for the status over HTTP
}

func statusVersion(ctx context.Context, addr netip.AddrPort) (uint64, error) {
	s, err := reporter.Client{Address: addr}.Status(ctx)
	return s.Version, err
}

// await asks every proxy until each has the version, and returns how many those
// are. The list of proxies is read anew in each round: a proxy that has gone must
// not be waited for, and one that has just come must.
func (w *inForce) await(e *env, client *keeper.Client, version uint64) (int, error) {
	ctx, cancel := context.WithTimeout(e.ctx, w.Patience)
	defer cancel()
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		addrs, err := w.proxies(ctx, client)
		behind := w.behind(ctx, addrs, version)
		if err == nil && len(addrs) > 0 && len(behind) == 0 {
			progress(e.err, "")
			return len(addrs), nil
		}
		progress(e.err, fmt.Sprintf("version %d is in force at %d of %d proxies", version, len(addrs)-len(behind), len(addrs)))
		select {
		case <-tick.C:
		case <-ctx.Done():
			progress(e.err, "")
			return 0, waited(version, addrs, behind, err)
		}
	}
}

// waited says what a wait that ended too early was still waiting for.
func waited(version uint64, addrs []netip.AddrPort, behind []string, err error) error {
	switch {
	case err != nil:
		return fail(exitSilent, errors.Wrapf(err, "written as version %d, and the list of proxies can't be read", version))
	case len(addrs) == 0:
		return fail(exitFailed, errors.Newf("written as version %d, and there are no proxies to ask", version))
	default:
		return fail(exitFailed, errors.Newf("written as version %d, and not yet in force at: %s", version, strings.Join(behind, "; ")))
	}
}

// proxies returns the operators' addresses to ask.
func (w *inForce) proxies(ctx context.Context, client *keeper.Client) ([]netip.AddrPort, error) {
	if len(w.Ask) > 0 {
		return w.Ask, nil
	}
	list, err := client.Instances(ctx, "")
	if err != nil {
		return nil, err
	}
	var addrs []netip.AddrPort
	for _, i := range list {
		if i.Role == "proxy" && i.State == "live" {
			addrs = append(addrs, netip.AddrPortFrom(i.Address.Addr(), w.Port))
		}
	}
	return addrs, nil
}

// behind asks all proxies at once and describes those that don't have the
// version.
func (w *inForce) behind(ctx context.Context, addrs []netip.AddrPort, version uint64) []string {
	ask := w.version
	if ask == nil {
		ask = statusVersion
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answers := make(chan string, len(addrs))
	for _, addr := range addrs {
		go func() {
			v, err := ask(ctx, addr)
			switch {
			case err != nil:
				answers <- addr.String() + " (no answer)"
			case v < version:
				answers <- fmt.Sprintf("%s (version %d)", addr, v)
			default:
				answers <- ""
			}
		}()
	}
	var lines []string
	for range addrs {
		if line := <-answers; line != "" {
			lines = append(lines, line)
		}
	}
	slices.Sort(lines)
	return lines
}
