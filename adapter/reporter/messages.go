package reporter

import (
	"net/netip"
	"time"
)

// Status is what one process sees at a moment.
type Status struct {
	Name      string    `json:"name"`
	Zone      string    `json:"zone"`
	Workspace string    `json:"workspace"`
	At        time.Time `json:"at"`
	// State is starting, ready or leaving.
	State string `json:"state"`
	// Preset is the preset in force and Version that of its configuration.
	Preset  string `json:"preset,omitempty"`
	Version uint64 `json:"version,omitempty"`
	// Platform is up, down or none.
	Platform string `json:"platform,omitempty"`
	// Callers counts callers' connections, Running the connections to upstreams
	// that are in use.
	Callers int     `json:"callers"`
	Running int     `json:"running"`
	Groups  []Group `json:"groups,omitempty"`
	Peers   []Peer  `json:"peers,omitempty"`
}

// Group is a database group as the process sees it.
type Group struct {
	Name string `json:"name"`
	// Leader names the proxy that may replace the primary.
	Leader    string     `json:"leader,omitempty"`
	Term      string     `json:"term,omitempty"`
	Upstreams []Upstream `json:"upstreams,omitempty"`
}

// Upstream is one copy of a group as the process sees it.
type Upstream struct {
	Name    string         `json:"name"`
	Zone    string         `json:"zone,omitempty"`
	Address netip.AddrPort `json:"address"`
	Role    string         `json:"role"`
	Mark    string         `json:"mark,omitempty"`
	// Behind is how old its data may be; nil when that is unknown, which is not
	// the same as up to date.
	Behind *Seconds `json:"behind,omitempty"`
	// Breaker is closed, open or half-open.
	Breaker string `json:"breaker,omitempty"`
	// Open counts connections, Share how many this process may open.
	Open  int `json:"open"`
	Share int `json:"share"`
}

// Peer is another proxy as the process sees it.
type Peer struct {
	Name    string         `json:"name"`
	Zone    string         `json:"zone,omitempty"`
	Address netip.AddrPort `json:"address"`
	// State is live, suspect, leaving or dead.
	State string `json:"state"`
}

// Query narrows explanations; empty fields don't narrow.
type Query struct {
	Session  string
	Group    string
	Upstream string
	// Limit is the greatest number of decisions, the newest ones.
	Limit int
}

// Decision is one decision and why it was taken.
type Decision struct {
	At       time.Time `json:"at"`
	Part     string    `json:"part"`
	Action   string    `json:"action"`
	Reason   string    `json:"reason"`
	Session  string    `json:"session,omitempty"`
	Group    string    `json:"group,omitempty"`
	Upstream string    `json:"upstream,omitempty"`
	// Detail holds the figures the decision was taken by; never row data.
	Detail string `json:"detail,omitempty"`
}

// Drained answers POST /drain.
type Drained struct {
	// State is leaving.
	State string `json:"state"`
	// Deadline is when work still under way is given up.
	Deadline time.Time `json:"deadline"`
}

// Condition answers /health and /ready.
type Condition struct {
	OK     bool   `json:"ok"`
	Reason string `json:"reason,omitempty"`
}

// Problem answers a request that can't be served.
type Problem struct {
	Error string `json:"error"`
}
