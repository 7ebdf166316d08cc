// Package fetcher decides from whom a process gets a newer version of something that
// the store holds and that most processes of a fleet have from one another.
//
// A process hears from peers that they have a newer version, and asks one of them at a
// time, drawn from those that have the newest, so that not all turn to the first. One
// that is busy or fails is passed over for a while. A process that lacks the version for
// longer than peers should take reads the store, whatever its peers say: peers make
// the spread cheap, the store makes it certain. When that is varies from process to
// process, so that a fleet whose peers don't deliver doesn't turn to the store at one
// moment.
//
// The package does no input or output and reads no clock: the caller passes in what was
// heard and when, asks whom to turn to, and says how that ended. A Fetcher isn't safe
// for use by several goroutines.
//
// # Usage
//
//	f.Hear(peer, version, now)
//	for source, ok := f.Next(now); ok; source, ok = f.Next(now) {
//		go get(source) // takes in what comes, reports it by Hold, and calls Done
//	}
package fetcher
