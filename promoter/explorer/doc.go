// Package explorer checks the promotion protocol by visiting every state that it
// can reach within bounds.
//
// A [World] has three upstreams as the contract describes them, two leaders that
// use [promoter.NextTerm] and [promoter.Attempt], and writers whose writes are
// acknowledged by [confirmer.Confirms]. There is no time. Each step of each party
// may come at any moment or never, which is what pauses and crashes look like
// from outside. A message, once sent, may arrive at any later moment, more than
// once or never, which covers lost, late, doubled and reordered ones.
//
// After each step it checks that
//
//   - no two upstreams were promoted in one term;
//   - every primary has each write that was acknowledged in an earlier term, no
//     matter whether the acknowledgement came before or after its promotion;
//   - no upstream's term falls.
//
// [Rules] can break the protocol on purpose, to show that the checks see it.
//
// # Usage
//
//	r := explorer.Explore(explorer.Bounds{Depth: 14, Tries: 1, Writes: 2}, explorer.Rules{})
//	if r.Violation != "" {
//		fmt.Println(r.Violation, r.Trace)
//	}
package explorer
