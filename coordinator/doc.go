// Package coordinator runs the control goroutine of one proxy process and
// carries out its commands.
//
// A [Coordinator] hands every event to its controller in one goroutine. Each
// command that takes time (a message to a peer, an order to an upstream, a call
// to the platform) runs in a goroutine of its own, with a deadline, and its
// answer or failure comes back as another event. So the control goroutine never
// waits for the network, and an upstream that is frozen delays nobody else.
//
// Traffic reads what the controller published: [Coordinator.View] and
// [Coordinator.Config] load a pointer and never wait.
//
// The package translates and decides nothing. What it must get right is that no
// event is lost: a command whose answer doesn't come is answered by a failure at
// its deadline, because a state machine that waits for an answer for ever has
// stopped. Only the questions of the membership end by its own clock.
//
// Peers are believed only about themselves: a statement whose sender names
// another address than the one for which its connection was authenticated is
// refused. [Coordinator.Leave] and [Coordinator.Stop] tell the fleet of a planned
// stop, so that nobody has to find it out by pings.
//
// # Usage
//
//	c := &coordinator.Coordinator{
//		Control:  controller.Controller{Self: self, Workspace: "damplinjerne"},
//		Platform: platform, Peers: peers, Upstreams: upstreams,
//	}
//	peers.Handler = c.Handler()
//	go c.Run(ctx)
//	<-c.Ready()
//	view := c.View("billet-db-2")
//	...
//	c.Leave() // the stop begins
//	c.Stop()  // all callers are gone; then end ctx
package coordinator
