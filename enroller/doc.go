// Package enroller keeps this run of the proxy in the roster, the platform's
// object that says which runs may be under way, takes out runs that have ended,
// and tells package finder each version.
//
// It writes once when the process starts, once when it stops and once for each
// run that has ended without doing so. While the platform is down nothing
// changes: the last version stays in force, and a proxy that starts meanwhile
// can't acknowledge writes of named sessions.
//
// # Usage
//
//	e := &enroller.Enroller{
//		Self:   run,
//		Watch:  watch,  // the platform's object, by package keeper
//		Put:    put,
//		Listed: listed, // the coordinator's latest list of instances
//		View:   finder.View,
//	}
//	go e.Run(ctx)
//	...
//	err := e.Leave(ctx) // after the last request is done
package enroller
