// Package dispatcher brings each statement to an upstream and its outcome back
// to where it is counted. It joins the relay of sessions with the packages that
// decide: router, limiter, confirmer, marker and retrier.
//
// For each database group a [Dispatcher] holds what its traffic shares: the last
// view that the controller published, the load of each upstream, the writes that
// wait for their confirmation, and the retry budget. Sessions' goroutines call
// its methods, which read published values and never wait for the control
// goroutine.
//
// The order of steps of a statement:
//
//  1. Login finds the account and its limits under the preset in force.
//  2. Route asks the router. A write is admitted by the confirmer first, and
//     held while a planned change of the primary is under way. A read may wait
//     for a replica. Then the queue before the upstream gives it a slot, or
//     refuses it as not run.
//  3. Confirm holds the answer of a write back until a replica has it, and the
//     session's mark is kept before the answer goes out.
//  4. Observe gives the outcome to the histograms, to the load, and to the
//     promoter, which judges the primary by it.
//  5. Decide, Settle and Settled say what follows on an attempt that brought no
//     answer.
//
// # Usage
//
//	d := &dispatcher.Dispatcher{
//		Control:   dispatcher.Control{Config: c.Config, Offer: c.Offer, Used: c.Used}, // c is a coordinator
//		Workspace: "damplinjerne",
//		Upstreams: upstreams, // a commander
//		Marks:     finder,
//		Meter:     meter,
//	}
//	c.OnView, c.OnConfig = d.OnView, d.OnConfig
//	s := &server.Server{Control: d.Seams()}
package dispatcher
