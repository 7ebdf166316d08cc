package reporter

import (
	"context"
	"net/http"
)

// Usage says which workspaces use which upstreams, as one process or many of them report it.
type Usage struct {
	// Process is the name of the process that was asked.
	Process string `json:"process"`
	// Answered is the number of processes whose use is included, and Silent names the others.
	Answered  int             `json:"answered"`
	Silent    []Silent        `json:"silent,omitempty"`
	Upstreams []UpstreamUsage `json:"upstreams"`
}

// Silent is a process that did not report its use.
type Silent struct {
	Process string `json:"process"`
	Reason  string `json:"reason"`
}

// UpstreamUsage is the use of one upstream.
type UpstreamUsage struct {
	Group    string `json:"group"`
	Upstream string `json:"upstream"`
	Leads    bool   `json:"leads"`
	// Slots is how many statements the upstream runs at a time; zero when unknown.
	Slots int `json:"slots"`
	// Waiting is the number of statements that wait for the upstream in queues.
	Waiting    int              `json:"waiting"`
	Workspaces []WorkspaceUsage `json:"workspaces"`
}

// WorkspaceUsage is what one workspace uses of an upstream.
type WorkspaceUsage struct {
	Workspace string `json:"workspace"`
	// Busy is the service time in the last 10 s.
	Busy Seconds `json:"busy"`
	// Running is the number of statements that run now.
	Running int `json:"running"`
	// Processes is the number of processes that run statements of the workspace there.
	Processes int `json:"processes"`
}

// Usage returns who uses which upstream, over the whole fleet.
func (c Client) Usage(ctx context.Context) (Usage, error) {
	var u Usage
	err := c.call(ctx, http.MethodGet, "/usage", nil, &u)
	return u, err
}
