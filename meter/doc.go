// Package meter counts and times what the proxy does, for each tenant and class.
//
// Each pair of tenant and class has three histograms: wait (from the moment a
// statement was whole to the moment it had a slot and a connection), upstream
// (from sending it to the end of the upstream's answer) and total (until the
// answer was on its way to the caller). Beside them stand counters of outcomes
// and of the router's reasons.
//
// All of them live in a registry of go-metrics that is passed in; there is no
// default registry. A histogram has fixed buckets of 6 % width instead of a
// sampled reservoir, so that the histograms of nine proxies can be added up and
// so that the slowest answers, which are the ones that matter, are never the
// ones that the sampling left out.
//
// Recording takes a lock for some tens of nanoseconds and allocates nothing once
// a series exists. Labels come from settings, never from what a caller sends;
// all the same the number of series is bounded, and what is beyond the bound is
// recorded under the tenant [Other], since each series takes about 10 KiB.
//
// [Workspaces] counts requests by workspace for those with the most, and [Forwards] the
// statements that are forwarded to peers; both bound their series as well.
//
// # Usage
//
//	m := &meter.Meter{Registry: metrics.NewRegistry()}
//	series := m.Series("damplinjerne", "booking") // once for a session
//	series.Observe(meter.Timing{Wait: wait, Upstream: upstream, Total: total})
//	m.Outcome("damplinjerne", "booking", "done")
//	m.Route("replica-fresh")
//
//	w := &meter.Workspaces{Registry: m.Registry}
//	w.Record(meter.Request{Workspace: "acme", Outcome: meter.Late, Queued: queued})
package meter
