package proxier

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"basildale.example/basildale/adapter/reporter"
	"basildale.example/basildale/carrier"
)

// Bounds of the use that processes report.
const (
	// maxReportedWorkspaces is the number of workspaces at one upstream that a process
	// reports. The report of one that uses 100 upstreams then has 250 kB, half of
	// maxUsageReport.
	maxReportedWorkspaces = 32
	// maxSummedUpstreams and maxSummedWorkspaces bound a sum over the whole fleet, whatever
	// its processes report. So many workspaces take 2 MB.
	maxSummedUpstreams  = 4096
	maxSummedWorkspaces = 20_000
	// maxReportedBusy is more service time than one process can have at an upstream in ten
	// seconds.
	maxReportedBusy = time.Hour
)

// errInvalidUsage means that a report states what cannot be.
var errInvalidUsage = errors.New("proxier: invalid report of usage")

// usageReport returns what this process reports of its own use.
func usageReport(process string, used []carrier.UpstreamUsage) reporter.Usage {
	out := reporter.Usage{Process: process, Answered: 1, Upstreams: make([]reporter.UpstreamUsage, 0, len(used))}
	for i := range used {
		u := &used[i]
		r := reporter.UpstreamUsage{Group: u.Group, Upstream: u.Upstream, Leads: u.Leads, Slots: u.Slots, Waiting: u.Waiting}
		var others reporter.WorkspaceUsage
		for _, w := range u.Workspaces {
			if w.Workspace == carrier.OtherWorkspaces || len(r.Workspaces) >= maxReportedWorkspaces-1 {
				others.Busy += reporter.Seconds(w.Busy)
				others.Running += w.Running
				continue
			}
			r.Workspaces = append(r.Workspaces, reporter.WorkspaceUsage{Workspace: w.Workspace, Busy: reporter.Seconds(w.Busy), Running: w.Running, Processes: 1})
		}
		if others.Busy > 0 || others.Running > 0 {
			others.Workspace, others.Processes = carrier.OtherWorkspaces, 1
			r.Workspaces = append(r.Workspaces, others)
		}
		out.Upstreams = append(out.Upstreams, r)
	}
	return out
}

// usageSum adds up what processes report. Its zero value is ready for use. It is not safe for
// concurrent use.
type usageSum struct {
	answered   int
	upstreams  map[upstreamKey]*upstreamSum
	workspaces int // in all upstreams
}

type upstreamKey struct{ group, upstream string }

type upstreamSum struct {
	leads, follows int // processes that call it the leader, and those that do not
	slots, waiting int
	workspaces     map[string]*reporter.WorkspaceUsage
}

// add includes the report of a process. A report that states what cannot be is left out as a
// whole, with an error.
func (s *usageSum) add(u *reporter.Usage) error {
	for i := range u.Upstreams {
		if err := checkUsage(&u.Upstreams[i]); err != nil {
			return err
		}
	}
	s.answered++
	for i := range u.Upstreams {
		s.addUpstream(&u.Upstreams[i])
	}
	return nil
}

func checkUsage(u *reporter.UpstreamUsage) error {
	if u.Group == "" || u.Upstream == "" || u.Slots < 0 || u.Waiting < 0 {
		return errInvalidUsage
	}
	for _, w := range u.Workspaces {
		if w.Busy < 0 || w.Busy > reporter.Seconds(maxReportedBusy) || w.Running < 0 {
			return errInvalidUsage
		}
	}
	return nil
}

func (s *usageSum) addUpstream(u *reporter.UpstreamUsage) {
	key := upstreamKey{u.Group, u.Upstream}
	sum := s.upstreams[key]
	if sum == nil {
		if len(s.upstreams) >= maxSummedUpstreams {
			return
		}
		if s.upstreams == nil {
			s.upstreams = map[upstreamKey]*upstreamSum{}
		}
		sum = &upstreamSum{workspaces: map[string]*reporter.WorkspaceUsage{}}
		s.upstreams[key] = sum
	}
	if u.Leads {
		sum.leads++
	} else {
		sum.follows++
	}
	sum.slots = max(sum.slots, u.Slots)
	sum.waiting += u.Waiting
	for _, w := range u.Workspaces {
		total := s.workspace(sum, w.Workspace)
		total.Busy += w.Busy
		total.Running += w.Running
		total.Processes++
	}
}

// workspace returns the sum of a workspace at an upstream, or that of the others there when the
// bound is reached.
func (s *usageSum) workspace(at *upstreamSum, name string) *reporter.WorkspaceUsage {
	if at.workspaces[name] == nil {
		if s.workspaces >= maxSummedWorkspaces {
			name = carrier.OtherWorkspaces
		}
		if at.workspaces[name] == nil {
			at.workspaces[name] = &reporter.WorkspaceUsage{Workspace: name}
			s.workspaces++
		}
	}
	return at.workspaces[name]
}

// usage returns the sum by group and upstream; at each, the workspace with the most use is the
// first.
func (s *usageSum) usage(process string, silent []reporter.Silent) reporter.Usage {
	out := reporter.Usage{Process: process, Answered: s.answered, Silent: silent, Upstreams: make([]reporter.UpstreamUsage, 0, len(s.upstreams))}
	slices.SortFunc(out.Silent, func(x, y reporter.Silent) int { return cmp.Compare(x.Process, y.Process) })
	keys := slices.SortedFunc(maps.Keys(s.upstreams), func(x, y upstreamKey) int {
		return cmp.Or(cmp.Compare(x.group, y.group), cmp.Compare(x.upstream, y.upstream))
	})
	for _, key := range keys {
		sum := s.upstreams[key]
		u := reporter.UpstreamUsage{Group: key.group, Upstream: key.upstream, Leads: sum.leads > sum.follows, Slots: sum.slots, Waiting: sum.waiting}
		for _, w := range sum.workspaces {
			u.Workspaces = append(u.Workspaces, *w)
		}
		slices.SortFunc(u.Workspaces, func(x, y reporter.WorkspaceUsage) int {
			return cmp.Or(cmp.Compare(y.Busy, x.Busy), cmp.Compare(y.Running, x.Running), cmp.Compare(x.Workspace, y.Workspace))
		})
		out.Upstreams = append(out.Upstreams, u)
	}
	return out
}
