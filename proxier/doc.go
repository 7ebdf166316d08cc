// Package proxier assembles one proxy process on a platform whose upstreams replicate and
// confirm commits by themselves. It connects platform/receiver for callers, conductor for
// sessions, carrier for upstreams, overseer for leader changes, gossiper for peers, and keeper
// with platform/translator for the store.
//
// It decides when the process is ready for callers and how it stops; everything else is
// decided by those packages.
//
// # Usage
//
//	p := &proxier.Proxier{Settings: settings, Log: log}
//	err := p.Run(ctx) // until ctx ends, then a graceful stop
package proxier
