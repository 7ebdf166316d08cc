// Package assigner decides which proxies have connections to the upstreams of a
// group, where there are too few connections for all proxies. The others have their
// statements carried by those.
//
// A group gets as many proxies of each availability zone as of another, up to two, so
// that one may fail and most statements stay in their zone. Within a zone each proxy
// gets groups by its part of the zone's processors: one with four times the processor
// of the others gets up to four times as many, and nobody gets several while others
// have none.
//
// Every proxy computes the assignment by itself, from what it knows of the others. Two
// that know the same come to the same. Groups go to proxies by weighted rendezvous, so
// that a proxy that comes or goes moves few others.
//
// # Usage
//
//	carriers := assigner.Assign(groups, proxies)["billet-db"] // names of proxies
package assigner
