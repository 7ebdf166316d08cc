package auditor

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
)

// Dimension is what requests are counted by.
type Dimension string

// The dimensions.
const (
	ByWorkspace Dimension = "workspace"
	ByPriority  Dimension = "priority"
	ByGroup     Dimension = "group"
	ByGateway   Dimension = "gateway"
)

const (
	// Unknown is the key of requests in logs of older processes, which do not state it.
	Unknown = "unknown"
	// None is the key of requests that have none: those of no workspace, and those that no
	// gateway was asked to run.
	None = "(none)"
	// maxCauses bounds the causes of refusals that are told apart in one row, and otherCauses
	// is where the rest is counted.
	maxCauses   = 64
	otherCauses = "other causes"
)

// Share is what became of the requests with one key, and what they used.
type Share struct {
	Key     string         `json:"key"`
	Asked   int            `json:"asked"`
	Met     int            `json:"met"`  // answered within the objective
	Late    int            `json:"late"` // answered after it
	Doubt   int            `json:"doubt"`
	Refused map[string]int `json:"refused"` // by cause
	// Busy is the service time in seconds, and Share its part of that of all requests, from 0
	// to 1.
	Busy  float64 `json:"busy"`
	Share float64 `json:"share"`
	// Equal is the service time of a workspace as a multiple of an equal share among the
	// workspaces that asked; zero for anything else.
	Equal float64 `json:"equal,omitempty"`
}

// ShareReport is the outcome of an audit by a dimension.
type ShareReport struct {
	By     Dimension `json:"by"`
	Shares []Share   `json:"shares"`
	// Skipped counts lines that can't be read.
	Skipped int `json:"skipped"`
}

// key returns what a request is counted under.
func (d Dimension) key(l *line) string {
	if d == ByGroup {
		return cmp.Or(l.Group, None)
	}
	if l.Priority == nil {
		return Unknown
	}
	switch d {
	case ByPriority:
		return strconv.Itoa(*l.Priority)
	case ByGateway:
		return cmp.Or(l.Gateway, None)
	default:
		return cmp.Or(l.Workspace, None)
	}
}

func (a *Audit) addShare(l *line) {
	if l.Message != ended {
		return
	}
	key := a.By.key(l)
	s := a.shares[key]
	if s == nil {
		if a.shares == nil {
			a.shares = map[string]*Share{}
		}
		s = &Share{Key: key, Refused: map[string]int{}}
		a.shares[key] = s
	}
	s.count(l)
}

// count takes in how one request ended.
func (s *Share) count(l *line) {
	s.Asked++
	s.Busy += l.service()
	switch {
	case l.Code == codeOK && l.Took <= l.Objective:
		s.Met++
	case l.Code == codeOK:
		s.Late++
	case l.Code == inDoubt:
		s.Doubt++
	default:
		cause := l.refusal()
		if s.Refused[cause] == 0 && len(s.Refused) >= maxCauses {
			cause = otherCauses
		}
		s.Refused[cause]++
	}
}

// Shares returns what the lines tell by the dimension. Priorities are in their order; anything
// else begins with what used most.
func (a *Audit) Shares() ShareReport {
	out := ShareReport{By: a.By, Shares: make([]Share, 0, len(a.shares)), Skipped: a.skipped}
	var all, known float64 // service time; known is that of workspaces
	workspaces := 0
	for _, key := range slices.Sorted(maps.Keys(a.shares)) {
		s := a.shares[key]
		all += s.Busy
		if a.By == ByWorkspace && key != Unknown && key != None {
			known += s.Busy
			workspaces++
		}
		out.Shares = append(out.Shares, *s)
	}
	for i := range out.Shares {
		s := &out.Shares[i]
		if all > 0 {
			s.Share = s.Busy / all
		}
		if known > 0 && s.Key != Unknown && s.Key != None {
			s.Equal = s.Busy * float64(workspaces) / known
		}
	}
	slices.SortStableFunc(out.Shares, func(x, y Share) int {
		if a.By == ByPriority {
			return cmp.Compare(rank(x.Key), rank(y.Key))
		}
		return cmp.Compare(y.Busy, x.Busy)
	})
	return out
}

// rank returns the place of a priority; requests that state none are the last.
func rank(key string) int {
	n, err := strconv.Atoi(key)
	if err != nil {
		return int(^uint(0) >> 1)
	}
	return n
}
