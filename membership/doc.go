// Package membership knows which proxies of the fleet live, leave or are dead,
// and puts them in an order by which work is shared out without asking anyone.
//
// A [View] is one process's state. It is a pure state machine: [View.Handle]
// takes an event and the time and returns commands, [View.Next] says when it
// wants a [Tick]. It sends nothing and has no clock.
//
// # Who watches whom
//
// All members lie on a few rings, each ordered by another hash of the address. A
// process watches its successor on each ring, so each member is watched by as
// many others as there are rings, whatever the size of the fleet, over
// connections that stay open. Each watched member is pinged once a period. If it
// doesn't answer, others are asked to ping it; if they can't either it is
// suspected; if nobody hears from it until the suspicion's deadline it is dead.
// A member that hears of its own suspicion or death contradicts it by a higher
// incarnation.
//
// Only a process that has itself failed to reach a member, directly and through
// others, can declare it dead. A process that was paused drops its unfinished
// probes when it wakes, one that hears from nobody accuses nobody, and one that
// had to contradict suspicions about itself gives others more time.
//
// # How statements spread
//
// Pings and their answers carry a bounded number of statements, each a bounded
// number of times. What gets lost that way shows in the digests, which every
// ping carries: after some time of differing digests a process fetches the other
// side's view bucket by bucket, only the buckets that differ, at a bounded rate.
// So the traffic of one process has a ceiling that the fleet's size doesn't
// move.
//
// # The platform's list
//
// The platform's list of instances lags. It only says where to look: an address
// in it becomes a member when a process there answers, and a process that lives
// but isn't listed is a member as soon as it is heard. Addresses that are listed
// or were members but don't live are tried again by a few processes each, which
// is how the halves of a partition find each other.
//
// # Usage
//
//	view := &membership.View{Self: self, Seed: seed}
//	for {
//		var cmds []membership.Command
//		select {
//		case ev := <-events:
//			cmds = view.Handle(ev, time.Now())
//		case <-timer.C: // set to view.Next()
//			cmds = view.Handle(membership.Tick{}, time.Now())
//		}
//		run(cmds)
//	}
//	fleet := view.Fleet() // for other goroutines
//	leaders := fleet.Order("billet-db-2", 3) // a leader and two deputies
package membership
