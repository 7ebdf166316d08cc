// Package versioner orders what a store holds, also over restores.
//
// A store numbers its changes by a revision that rises. A store that is restored from an
// older copy goes back to an earlier revision and gives the later ones out again, to
// other changes; it tells so by an era, which is higher after each restore. A [Version]
// is both together: of two versions of one store the one of the later era is newer,
// whatever their revisions. A store that has no eras stays in era 0.
//
// An [EraTracker] judges the era that an answer states. Answers overtake one another: one of
// an earlier era than another that has come says what was true once, and one that states
// no era, where the store has eras, can't be placed.
//
// # Usage
//
//	version := versioner.Version{Era: page.Era, Revision: page.Version}
//	if known.Less(version) {
//		known = version
//	}
package versioner
