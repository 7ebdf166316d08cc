// Package modeler runs comparisons of policies in virtual time: a clock with an
// agenda, an upstream with slots, and arrivals drawn from a seed. It models one
// group of upstreams and nothing of the fleet around them.
//
// A comparison is exact: the same seed gives the same figures on each run, so
// that golden files can hold them.
//
// # Usage
//
//	clock := &modeler.Clock{Now: start}
//	server := &modeler.Server{Clock: clock, Slots: 5, Network: time.Millisecond}
//	for _, a := range load.Draw(rng, start) {
//		clock.At(a.At, func() { server.Serve(a.Service, func() { done(a, clock.Now) }) })
//	}
//	clock.Run()
package modeler
