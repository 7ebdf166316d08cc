// Package proxier is one proxy process on a platform whose upstreams replicate
// and confirm by themselves, put together: callers by platform/receiver, sessions
// by conductor, upstreams by carrier, changes of leaders by overseer, peers by
// gossiper, and the store by keeper with platform/translator.
//
// It decides when the process may take callers and how it stops; all else is
// decided by the parts.
//
// # Usage
//
//	p := &proxier.Proxier{Settings: settings, Log: log}
//	err := p.Run(ctx) // until ctx ends, then a graceful stop
package proxier
