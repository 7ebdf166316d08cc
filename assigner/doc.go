// Package assigner decides which proxies are gateways for a database group, that is, have
// connections to its upstreams, where there are too few connections for all proxies. The
// other proxies forward their statements to the gateways.
//
// A group gets six gateways, or one in each availability zone if there are more zones,
// unless its upstreams accept fewer. They are spread evenly over the zones, two in each of
// three, so that one may fail and most statements stay in their zone. Within a zone each
// proxy gets groups in proportion to its share of the zone's CPU: a proxy with four times
// the CPU of the others gets up to four times as many, and no proxy gets several while
// others have none.
//
// Where there are several groups for each process, groups are combined into bundles with the
// same gateways, so that the number of processes that a gateway decides together with does
// not grow with its groups.
//
// Every proxy computes the assignment by itself, from what it knows of the others. Proxies
// with the same knowledge compute the same assignment. Groups are assigned by weighted
// rendezvous hashing, so that a proxy that joins or leaves moves few other groups.
//
// # Usage
//
//	var a assigner.Assigner
//	gateways := a.Assign(groups, proxies)["billet-db"] // names of proxies
package assigner
