package controller

import (
	"net/netip"
	"time"

	"basildale.example/basildale/configurator"
	"basildale.example/basildale/membership"
	"basildale.example/basildale/promoter"
	"basildale.example/basildale/tracker"
)

// Event is one of the structs of this file.
type Event interface{ event() }

// Tick says that time has passed. It is due no later than [Controller.Next].
type Tick struct{}

// Start gives a process without a platform its groups. It is ignored once a
// configuration has been adopted.
type Start struct{ Groups []Group }

// Membership is an event for the membership.
type Membership struct{ Event membership.Event }

// Configuration is an event for the relay of configurations.
type Configuration struct{ Event configurator.Event }

// Promotion is an event for the promoter of a group. Events for a group that
// isn't configured are dropped.
type Promotion struct {
	Group string
	Event promoter.Event
}

// Stated is an upstream's answer about itself, to a sample or to any other
// command. Sent and Received are by this process's clock.
type Stated struct {
	Group     string
	Upstream  netip.AddrPort
	State     tracker.State
	Following netip.AddrPort
	Sent      time.Time
	Received  time.Time
}

// Failed says that an upstream gave no answer about itself.
type Failed struct {
	Group    string
	Upstream netip.AddrPort
	Trouble  promoter.Trouble
}

// Upstream is one upstream in the platform's list of instances.
type Upstream struct {
	Address netip.AddrPort
	Zone    string
}

// Listed is the platform's list of instances.
type Listed struct {
	Proxies []membership.Instance
	// Live are the upstreams that it has as live.
	Live []netip.AddrPort
	// Leaving are the upstreams that the platform is taking away.
	Leaving []netip.AddrPort
}

// Decided records a decision that was taken elsewhere, by traffic or by the
// server, for explanations.
type Decided struct{ Decision Decision }

func (Tick) event()          {}
func (Start) event()         {}
func (Membership) event()    {}
func (Configuration) event() {}
func (Promotion) event()     {}
func (Stated) event()        {}
func (Failed) event()        {}
func (Listed) event()        {}
func (Decided) event()       {}
