package platform

import (
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// Instance is one line of the instance list.
type Instance struct {
	Name    string         `json:"name"`
	Role    string         `json:"role"` // proxy or upstream
	Group   string         `json:"group,omitempty"`
	Zone    string         `json:"zone"`
	Address netip.AddrPort `json:"address"`
	State   string         `json:"state"` // live or leaving
}

// instances keeps the lists that were set, oldest first, until the lag has
// passed them.
type instances struct {
	mu   sync.Mutex
	sets []instanceSet
}

type instanceSet struct {
	at    time.Time
	items []Instance
}

// SetInstances replaces the instance list; callers see it Lag later.
func (p *Platform) SetInstances(items []Instance) {
	p.instances.mu.Lock()
	defer p.instances.mu.Unlock()
	p.instances.sets = append(p.instances.sets, instanceSet{at: p.now(), items: slices.Clone(items)})
}

// shown returns the list as it was Lag ago.
func (p *Platform) shown() []Instance {
	p.instances.mu.Lock()
	defer p.instances.mu.Unlock()
	seen := p.now().Add(-p.Lag)
	sets := p.instances.sets
	for len(sets) > 1 && !sets[1].at.After(seen) {
		sets = sets[1:]
	}
	p.instances.sets = sets
	if len(sets) == 0 || sets[0].at.After(seen) {
		return nil
	}
	return sets[0].items
}

func (p *Platform) listInstances(w http.ResponseWriter, r *http.Request, _ <-chan struct{}) {
	zone := r.URL.Query().Get("zone")
	items := []Instance{}
	for _, i := range p.shown() {
		if zone == "" || i.Zone == zone {
			items = append(items, i)
		}
	}
	reply(w, http.StatusOK, struct {
		Items []Instance `json:"items"`
	}{items})
}

func (p *Platform) now() time.Time {
	if p.Now != nil {
		return p.Now()
	}
	return time.Now()
}
