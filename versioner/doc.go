// Package versioner orders the versions of a store's data, also across restores of the store.
//
// A store numbers its changes by an increasing revision. A store that is restored from an
// older copy goes back to an earlier revision and assigns the later revisions again, to other
// changes. It signals this by an era, which is higher after each restore. A [Version] combines
// the two: of two versions of one store, the one of the later era is newer, whatever their
// revisions. A store without eras stays in era 0.
//
// An [EraTracker] checks the era that an answer states. Answers can overtake one another: an
// answer of an earlier era than one already received is outdated, and one that states no era
// cannot be ordered if the store has eras.
//
// # Usage
//
//	version := versioner.Version{Era: page.Era, Revision: page.Version}
//	if known.Less(version) {
//		known = version
//	}
package versioner
