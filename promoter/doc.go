// Package promoter replaces a failed primary of a database group without a
// person in between.
//
// One [Group] per database group lives in every proxy's control goroutine. It is
// a pure state machine: events with a time go in, commands with a reason come
// out, and [Group.Next] says when it wants to be called again. It has no input
// or output, no goroutine and no clock.
//
// The parts, each in its own file:
//
//   - Suspicion. A detector judges the primary from traffic and from state
//     probes: an answer of any kind proves life, two refused connections or
//     silence beyond an adaptive timeout prove trouble. Proxies in at least two
//     availability zones must agree before anything is done.
//   - Leadership. The platform's object of the group ([Record]) names a leader
//     and ordered deputies, the holders. It is changed by conditional update
//     only. Each change of the holders raises the epoch.
//   - Terms. A term is (epoch, sequence). A holder draws sequences only from its
//     own residue class, so two holders never use the same term.
//   - Replacement. Fence a majority at a term above all seen, promote the one
//     whose log is furthest among the fenced majority, announce it, and make the
//     others follow. The fenced majority shares an upstream with the two copies
//     that each acknowledged write has, so the new primary holds all of them.
//   - Repair. The first live holder brings every other upstream behind the
//     primary, the old primary too once it can be reached, and finishes what a
//     crashed leader has left half done.
//
// The platform is needed only to change the holders. While it is down the
// recorded holders go on, in their order, each after a further delay.
//
// # Usage
//
//	g := promoter.Group{Name: "billet-db-2", Self: "proxy-3/91", Zone: "aarhus-hal"}
//	cmds := g.Handle(promoter.Upstreams{List: addrs}, now)
//	cmds = append(cmds, g.Handle(promoter.Members{Live: order}, now)...)
//	for _, c := range cmds {
//		// Carry c out in another goroutine; its answer comes back as an event.
//	}
//	// Call g.Handle(promoter.Tick{}, now) no later than g.Next().
//
// Self must be new for each run of a process: a holder remembers which sequences
// it used, and a restarted one does not.
package promoter
