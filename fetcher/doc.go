// Package fetcher decides from which source a process fetches a newer version of data that the
// store holds and that most processes of a fleet get from one another.
//
// Peers report that they have a newer version. The process requests it from one of them at a
// time, chosen at random among those with the newest version, so that not all requests go to
// the first one. A peer that is busy or fails is skipped for a while. A process that lacks the
// version for longer than peers should need reads the store, whatever its peers report: peers
// make distribution cheap, the store makes it reliable. The time of that read is jittered, so
// that a fleet whose peers do not deliver does not turn to the store all at once.
//
// The package does no I/O and reads no clock: the caller passes in what peers report and when,
// gets the next source from Next, and reports the outcome with Done. A Fetcher is not safe for
// concurrent use.
//
// # Usage
//
//	f.AddOffer(peer, version, now)
//	for source, ok := f.Next(now); ok; source, ok = f.Next(now) {
//		go get(source) // applies the result, reports it with SetHeld, and calls Done
//	}
package fetcher
