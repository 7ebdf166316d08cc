// Package cataloger holds the data of the platform's store: the configuration in
// force and the upstreams of each database group.
//
// Both come from lists and watches that may be interrupted, repeated or out of date, and
// the configuration also from peers. A Catalog accepts them in any order and never
// goes back: a configuration or an entry of an older version changes nothing. A Catalog
// belongs to one goroutine; request handling reads the immutable View that it publishes.
//
// # Usage
//
//	c := &cataloger.Catalog{}
//	if c.Configure(config) {
//		published.Store(c.View())
//	}
package cataloger
