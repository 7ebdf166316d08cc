// Package server puts one proxy process together: the listener, the relay of
// callers' sessions, and a pool of connections for each upstream.
//
// [Server] carries data. What decides (where a unit goes, when a write is
// confirmed, who may run again) comes in through the function fields of
// [Control]; a field that is nil has a plain default, with which the server
// works alone on fixed groups: the first upstream of a group is its primary.
//
// # Usage
//
//	s := &server.Server{
//		Listen: netip.MustParseAddrPort("127.0.0.1:0"),
//		Zone:   "vejle-hal",
//		Groups: []server.Group{{Name: "billet", Upstreams: addresses, Connections: 4}},
//	}
//	go func() { done <- s.Run(ctx) }()
//	<-s.Started()
//	fmt.Println(s.Bound())
package server
