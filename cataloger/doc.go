// Package cataloger holds what the platform's store says: the configuration in
// force and the upstreams of each database group.
//
// Both come from lists and watches that may be cut, repeated or out of date, and
// the configuration also from peers. A Catalog takes them in any order and never
// steps back: a configuration of an older version and an entry of an older
// revision change nothing. It belongs to one goroutine; traffic reads the
// immutable View that it publishes.
//
// # Usage
//
//	c := &cataloger.Catalog{}
//	if c.Configure(config) {
//		published.Store(c.View())
//	}
package cataloger
