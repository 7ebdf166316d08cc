// Package reporter serves operators over HTTP: metrics, health, status,
// explanations of decisions, and the order to stop.
//
//	GET  /metrics       text exposition format
//	GET  /metrics.json  the same as JSON, durations in seconds
//	GET  /health        200 while the process works, 503 with the reason
//	GET  /ready         200 while it takes callers, 503 with the reason
//	GET  /status        what the process sees: groups, upstreams, peers, preset
//	GET  /explain       decisions with their reasons, newest last; narrowed by
//	                    session=, group=, upstream=, limit=
//	POST /breaker       forces an upstream's breaker: upstream, state (open, closed, auto)
//	POST /drain         starts a graceful stop: 202, or 409 when one runs
//
// Health and ready differ on purpose. A process whose platform is down is
// healthy and ready: it serves from what it knows. One that is stopping is
// healthy but not ready: a balancer takes it out while its callers finish.
//
// The package decides nothing. What it serves comes from the function fields of
// [Reporter]; one that is nil answers 501, so that a process never shows an empty
// list as if it had looked.
//
// # Usage
//
//	r := &reporter.Reporter{Registry: registry, Status: controller.Status}
//	srv := &http.Server{Handler: r.Handler(), ReadHeaderTimeout: reporter.HeaderTimeout}
//
// and on the other side
//
//	c := reporter.Client{Address: netip.MustParseAddrPort("10.1.0.11:7480")}
//	status, err := c.Status(ctx)
package reporter
