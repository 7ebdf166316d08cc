package comparer

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"basildale.example/basildale/spreader"
)

const (
	// loadReportInterval is the time between two reports of a gateway to the others, and between
	// two questions of a forwarder.
	loadReportInterval = 500 * time.Millisecond
	// sampleInterval is the time between two samples of the gateways' loads.
	sampleInterval = 10 * time.Millisecond
	// settleTime is the time after which the loads count.
	settleTime = 2 * time.Second
)

// spreading is the part of a load that concerns the choice of gateways. Each gateway reports
// its load to the others, and each forwarder learns what a gateway knows by its answers.
type spreading struct {
	ConnectionsCase
	rng *rand.Rand

	mu         sync.Mutex
	forwarders []forwardingProcess
	gateways   []spreadGateway
	used       map[int]map[int]bool // gateways by workspace
	sums       [][]float64          // samples of load by second and gateway
}

type forwardingProcess struct {
	spreader.Group
	askedAt time.Time
}

// spreadGateway is one gateway.
type spreadGateway struct {
	statements int
	served     []servedRequest // of the last second
	reported   spreader.Load
	reportedAt time.Time
}

type servedRequest struct {
	at        time.Time
	workspace int
	service   time.Duration
}

func newSpreading(c ConnectionsCase, seed uint64) *spreading {
	return &spreading{
		ConnectionsCase: c, rng: rand.New(rand.NewPCG(seed, 2)), used: map[int]map[int]bool{},
		forwarders: make([]forwardingProcess, c.Forwarders), gateways: make([]spreadGateway, c.Gateways),
	}
}

// order returns the gateways in a workspace's order.
func (s *spreading) order(workspace int) []string {
	out := make([]string, s.Gateways)
	for g := range out {
		out[g] = fmt.Sprint(g)
	}
	score := func(g string) uint64 { return xxhash.Sum64String(fmt.Sprint(workspace, " ", g)) }
	slices.SortFunc(out, func(a, b string) int { return cmp.Compare(score(b), score(a)) })
	return out
}

// begin returns the gateway of a request, and the function that ends the request.
func (s *spreading) begin(r *connectionRequest) (gateway int, end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := &s.forwarders[s.rng.IntN(len(s.forwarders))]
	name := s.order(r.workspace)[0]
	if s.Spread {
		name, _ = f.Choose(uint32(r.workspace), s.order(r.workspace), time.Now())
	}
	f.Begin(name, time.Now())
	gateway = int(name[0] - '0')
	s.gateways[gateway].statements++
	if s.used[r.workspace] == nil {
		s.used[r.workspace] = map[int]bool{}
	}
	s.used[r.workspace][gateway] = true
	return gateway, func() { s.end(f, r, gateway) }
}

func (s *spreading) end(f *forwardingProcess, r *connectionRequest, gateway int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	w := &s.gateways[gateway]
	w.statements--
	w.served = append(w.served, servedRequest{now, r.workspace, r.service})
	f.End(fmt.Sprint(gateway))
	if now.Sub(f.askedAt) < loadReportInterval {
		return
	}
	f.askedAt = now
	for i := range s.gateways {
		o := &s.gateways[i]
		if i == gateway {
			f.Report(fmt.Sprint(i), o.load(now), now)
		} else if !o.reportedAt.IsZero() {
			f.Report(fmt.Sprint(i), o.reported, o.reportedAt)
		}
	}
}

// load returns what a gateway reports.
func (w *spreadGateway) load(now time.Time) spreader.Load {
	w.served = slices.DeleteFunc(w.served, func(r servedRequest) bool { return now.Sub(r.at) > time.Second })
	var busy time.Duration
	uses := map[uint32]float64{}
	for _, r := range w.served {
		busy += r.service
		uses[uint32(r.workspace)] += r.service.Seconds()
	}
	ids := slices.SortedFunc(maps.Keys(uses), func(a, b uint32) int { return cmp.Or(cmp.Compare(uses[b], uses[a]), cmp.Compare(a, b)) })
	l := spreader.Load{Statements: float64(w.statements), Busy: busy.Seconds(), Uses: map[uint32]float64{}}
	for _, id := range ids[:min(len(ids), 6)] {
		l.Uses[id] = uses[id]
	}
	return l
}

// measure reports and samples the loads of gateways until the returned function is called.
func (s *spreading) measure() (stop func()) {
	stopped := make(chan struct{})
	began := time.Now()
	go func() {
		for n := 0; ; n++ {
			select {
			case <-stopped:
				return
			case <-time.After(sampleInterval):
			}
			s.sample(n, time.Since(began))
		}
	}()
	return func() { close(stopped) }
}

func (s *spreading) sample(n int, elapsed time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	second := int((elapsed - settleTime) / time.Second)
	if elapsed >= settleTime && elapsed < s.Duration && second >= len(s.sums) {
		s.sums = append(s.sums, make([]float64, s.Gateways))
	}
	perReport := int(loadReportInterval / sampleInterval)
	for i := range s.gateways {
		w := &s.gateways[i]
		if n%perReport == i*perReport/s.Gateways {
			w.reported, w.reportedAt = w.load(now), now
		}
		if elapsed >= settleTime && elapsed < s.Duration {
			s.sums[second][i] += float64(w.statements) * sampleInterval.Seconds()
		}
	}
}

// Fullest returns the highest mean load of a gateway after settleTime as a multiple of the even
// share, and how many statements a gateway had at most above 1.25 times the even share, in the
// mean of a second.
func (s *spreading) Fullest() (ratio, excess float64) {
	totals := make([]float64, s.Gateways)
	all := 0.0
	for _, loads := range s.sums {
		sum := 0.0
		for i, l := range loads {
			sum += l
			totals[i] += l
		}
		all += sum
		excess = max(excess, slices.Max(loads)-spreader.FullFactor*sum/float64(s.Gateways))
	}
	return slices.Max(totals) * float64(s.Gateways) / all, excess
}

// Moved returns how many gateways the largest workspace used, and how many others used more
// than one.
func (s *spreading) Moved() (largest, others int) {
	for workspace, gateways := range s.used {
		switch {
		case workspace == 0:
			largest = len(gateways)
		case len(gateways) > 1:
			others++
		}
	}
	return largest, others
}
