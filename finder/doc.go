// Package finder runs the state machine of package marker: it finds the marks of
// sessions for reads, and says when a write may be acknowledged.
//
// One goroutine hands the events in. Messages to the same proxy that come up
// together travel together. The package decides nothing, and speaks to peers and
// upstreams through its function fields only.
//
// # Usage
//
//	f := &finder.Finder{
//		Settings: marker.Settings{Self: run.Name(), Seed: seed},
//		Send:     func(to string, payload json.RawMessage) { ... },
//		Ask:      func(group string, answer finder.Answer) { ... },
//	}
//	go f.Run(ctx)
//	f.View(version, roster.Names())
//
//	found, err := f.Find(ctx, tracker.Key{Tenant: t, Session: s, Group: g}, deadline)
//	if err != nil {
//		// The read has not run; see found.Retry.
//	}
//	...
//	err = f.Wrote(ctx, key, mark) // beside the wait for a replica
package finder
