package proxier

import (
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"basildale.example/basildale/adapter/keeper"
	"basildale.example/basildale/carrier"
	"basildale.example/basildale/cataloger"
	"basildale.example/basildale/platform/translator"
)

// awaitEvery is the time between two looks for the first configuration.
const awaitEvery = 10 * time.Millisecond

// holdings is what this process knows from the store and from peers, published
// for traffic. It may be used by several goroutines.
type holdings struct {
	carrier *carrier.Carrier
	proxies func() int
	// changed, when set, tells peers that there is something new here.
	changed func()
	log     *zap.Logger

	mu      sync.Mutex
	catalog cataloger.Catalog
	view    atomic.Pointer[cataloger.View]
}

// current returns the configuration in force.
func (h *holdings) current() *cataloger.View {
	if v := h.view.Load(); v != nil {
		return v
	}
	return &cataloger.View{}
}

// await returns the configuration in force, and waits for the first one. Callers
// come as soon as a process listens; without the wait they would be told that
// their database doesn't exist.
func (h *holdings) await(d time.Duration) *cataloger.View {
	for end := time.Now().Add(d); h.view.Load() == nil && time.Now().Before(end); {
		time.Sleep(awaitEvery)
	}
	return h.current()
}

// configure takes in a configuration.
func (h *holdings) configure(c cataloger.Config, source string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.catalog.Configure(c) {
		return
	}
	h.view.Store(h.catalog.View())
	h.carrier.Divide(h.proxies(), c.Groups)
	h.tell()
	h.log.Info("proxier: configuration in force", zap.Uint64("version", c.Version), zap.Int("routes", len(c.Routes)),
		zap.Int("groups", len(c.Groups)), zap.String("source", source))
}

func (h *holdings) tell() {
	if h.changed != nil {
		h.changed()
	}
}

// object takes in a changed configuration object.
func (h *holdings) object(o keeper.Object) {
	if o.Name != translator.InForce || o.Deleted {
		return
	}
	c, err := translator.ParseConfig(o.Value)
	if err != nil {
		h.log.Error("proxier: configuration can't be read", zap.Uint64("version", o.Version), zap.Error(err))
		return
	}
	h.configure(c, "store")
}

func (h *holdings) objects(list []keeper.Object, _ uint64) {
	for _, o := range list {
		h.object(o)
	}
}

// upstream takes in a changed entry of an upstream.
func (h *holdings) upstream(o keeper.Object) {
	h.mu.Lock()
	defer h.mu.Unlock()
	changed := false
	if o.Deleted {
		changed = h.catalog.Remove(o.Name, o.Version)
	} else if u, err := translator.ParseUpstream(o); err == nil {
		changed = h.catalog.Put(u)
	} else {
		h.log.Error("proxier: entry of an upstream can't be read", zap.Error(err))
	}
	if changed {
		h.carrier.Apply(h.catalog.Upstreams())
		h.tell()
	}
}

func (h *holdings) upstreams(list []keeper.Object, version uint64) {
	all := make([]cataloger.Upstream, 0, len(list))
	for _, o := range list {
		u, err := translator.ParseUpstream(o)
		if err != nil {
			h.log.Error("proxier: entry of an upstream can't be read", zap.Error(err))
			continue
		}
		all = append(all, u)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.catalog.Replace(all, version) {
		h.carrier.Apply(h.catalog.Upstreams())
		h.tell()
	}
}

// bundle is what a peer is told.
type bundle struct {
	Config    cataloger.Config     `json:"config"`
	Upstreams []cataloger.Upstream `json:"upstreams"`
	// Complete is the revision up to which every change of the upstreams is in
	// the list.
	Complete uint64 `json:"complete"`
	// Changed is the highest revision of an entry or a removal that is known.
	Changed uint64 `json:"changed"`
}

// entries returns the highest revision of an entry that is known.
func (h *holdings) entries() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.catalog.Changed()
}

func (h *holdings) bundle() bundle {
	h.mu.Lock()
	defer h.mu.Unlock()
	return bundle{Config: h.current().Config, Upstreams: h.catalog.Upstreams(), Complete: h.catalog.Complete(), Changed: h.catalog.Changed()}
}

// take takes in what a peer told. Its list takes out what it lacks only if it is
// more complete than what is known here.
func (h *holdings) take(b bundle) {
	h.configure(b.Config, "peer")
	h.mu.Lock()
	defer h.mu.Unlock()
	changed := h.catalog.Replace(b.Upstreams, b.Complete)
	for _, u := range b.Upstreams {
		changed = h.catalog.Put(u) || changed
	}
	if len(h.catalog.Upstreams()) == len(b.Upstreams) {
		h.catalog.Raise(b.Changed) // nothing is known here that the peer lacks
	}
	if changed {
		h.carrier.Apply(h.catalog.Upstreams())
		h.tell()
	}
}

// served reports whether the process can serve: a configuration is in force and
// each of its groups has an upstream.
func (h *holdings) served() bool {
	c := h.current().Config
	if c.Version == 0 {
		return false
	}
	for _, g := range c.Groups {
		if group, ok := h.carrier.Group(g.Name); !ok || !group.Known() {
			return false
		}
	}
	return true
}
