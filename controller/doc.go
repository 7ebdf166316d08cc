// Package controller owns all control state of one proxy process: who is in the
// fleet, which configuration is in force, and for each database group who is
// primary and how far every upstream has come.
//
// A [Controller] is a state machine put together from those of packages
// membership, configurator, promoter and tracker. One goroutine hands it typed
// events; it hands each to the part it concerns, passes on between the parts
// what one of them must know of another, and returns typed commands that other
// goroutines carry out. Nothing else changes control state, so there is no lock
// and no order of events that tests can't repeat.
//
// What flows between the parts:
//
//   - a change of the membership gives the relay of configurations its members
//     and each group its live proxies in the group's own rendezvous order;
//   - a configuration that is adopted makes, changes or removes groups;
//   - a state of an upstream goes to the group's tracker and its promoter;
//   - a new primary makes the controller ask for that upstream's state at once,
//     so that traffic follows it without waiting for the next sample;
//   - the platform's list of instances goes to the membership, and bars
//     upstreams that are leaving.
//
// Traffic never asks the controller. It reads the last [Published] value of a
// group and the last [Reconfigured], which never change once they are out.
//
// Every decision with a reason goes into a [Ring], from which operators get
// their explanations.
//
// # Usage
//
//	c := &controller.Controller{Self: self, Workspace: "damplinjerne", Seed: seed}
//	for {
//		select {
//		case ev := <-events:
//			run(c.Handle(ev, time.Now()))
//		case <-timer.C: // set to c.Next()
//			run(c.Handle(controller.Tick{}, time.Now()))
//		}
//	}
package controller
