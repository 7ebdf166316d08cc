// Package fetcher decides from whom a process gets a newer version of something that
// the store holds and that most processes of a fleet have from one another.
//
// A process hears from a peer that it has a newer version, and asks that peer for it.
//
// The package does no input or output and reads no clock: the caller passes in what was
// heard and when, asks whom to turn to, and says how that ended. A Fetcher isn't safe
// for use by several goroutines.
//
// # Usage
//
//	f.Hear(peer, version, now)
//	if source, ok := f.Next(now); ok {
//		outcome := get(source) // takes in what comes, and reports it by Hold
//		f.Done(source, outcome, now)
//	}
package fetcher
