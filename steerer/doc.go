// Package steerer routes the units of package relayer by the decisions of
// package router: it finds the mark of a read, decides with the latest view of
// the group, waits where the decision says so, and decides again.
//
// Which mark a read gets: a session with a name asks package finder each time.
// One without a name is its connection; a fresh one has the primary checked,
// once, unless its caller has handed a mark over.
//
// # Usage
//
//	s := &steerer.Steerer{
//		View:    view,            // the coordinator's latest snapshot
//		Find:    finder.Find,
//		Refresh: askState,        // states reach the coordinator as samples
//	}
//	control := server.Control{Route: s.Route, Release: s.Release}
package steerer
