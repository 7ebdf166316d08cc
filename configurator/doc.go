// Package configurator decides about the fleet's configuration: what may be
// written, what is in force, and how it reaches every proxy. It makes no calls
// and has no clock.
//
// # Objects
//
// A workspace is one tenant's part of the fleet. Below it stand pools, below
// those groups of upstreams, and beside them callers. Presets hold the limits
// for ordinary days, peaks and maintenance; the one active object of a workspace
// names the preset in force, so that exactly one is at any time. All are stored
// in the platform under one kind ([StoreKind]), each with its writer, its time
// and a nonce. Nothing is ever deleted there: a removed object stays as a mark
// with its last content.
//
// [Parse] reads documents, [Plan] checks them together with what is stored and
// says what is to be written, and an [Applier] writes it by conditional updates.
// Conflicts name who changed what; a lost answer is settled by the nonce.
//
// # Versions
//
// A [Store] holds a prefix of the platform's history, named by the version of
// its last change. A [Delta] takes it from one version to a higher one. Nothing
// takes it to a lower one.
//
// A [Relay] keeps a member's store up to date from the platform and its peers,
// and [Build] makes the immutable [Config] that traffic reads.
//
// # Usage
//
// An operator's command:
//
//	docs, err := configurator.Parse("pool.yaml", data)
//	changes, err := configurator.Plan(stored, docs)
//	a := &configurator.Applier{Writer: "anna", Nonce: nonce, Time: now}
//	for cmd := a.Start(changes); cmd != nil; cmd = a.Handle(carryOut(cmd)) {
//	}
//	if a.Outcome != configurator.Applied {
//		return errors.New(a.Reason)
//	}
//
// A proxy:
//
//	relay := &configurator.Relay{Self: self}
//	for ev := range events {
//		for _, cmd := range relay.Handle(ev, time.Now()) {
//			carryOut(cmd) // Adopted: publish relay.Config()
//		}
//	}
package configurator
