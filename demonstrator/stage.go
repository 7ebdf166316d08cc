package demonstrator

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"basildale.example/basildale/internal/faker/upstream"
	"basildale.example/basildale/server"
)

// tables is what every group's upstreams hold at the start.
const tables = "CREATE TABLE bookings (id text PRIMARY KEY, seat text NOT NULL, session text)"

// loopback is where everything in a demonstration listens; the system picks the
// ports.
func loopback() netip.AddrPort { return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0) }

// stage is one deployment, running.
type stage struct {
	Deployment
	groups  []*upstream.Group
	proxies []*proxy
	reads   reads
}

// proxy is one process of the fleet.
type proxy struct {
	name   string
	zone   string
	server *server.Server
	cancel context.CancelFunc
	ended  chan struct{}
}

// openStage starts a deployment. The caller closes what it returns, also beside
// an error.
func openStage(ctx context.Context, d Deployment, log *zap.Logger) (*stage, error) {
	s := &stage{Deployment: d}
	for _, g := range d.Groups {
		first := g.Upstreams[0]
		group, err := upstream.NewGroup(upstream.Options{
			Size:        len(g.Upstreams),
			Lag:         d.Lag,
			Connect:     first.Connect,
			Service:     service,
			Network:     d.Between,
			Connections: first.Connections,
			Slots:       first.Slots,
			Setup:       tables,
		})
		if err != nil {
			return s, errors.Wrapf(err, "demonstrator: group %s", g.Name)
		}
		s.groups = append(s.groups, group)
		for _, u := range group.Upstreams {
			s.reads.watch(u)
		}
	}
	for i := range Proxies {
		if err := s.addProxy(ctx, i, log); err != nil {
			return s, err
		}
	}
	return s, nil
}

// service is how long a stand-in upstream works on one statement.
const service = 2 * time.Millisecond

func (s *stage) addProxy(ctx context.Context, i int, log *zap.Logger) error {
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	p := &proxy{
		name:   fmt.Sprintf("%s-%d", s.zone(i), i+1),
		zone:   s.zone(i),
		cancel: cancel,
		ended:  make(chan struct{}),
	}
	p.server = &server.Server{
		Listen: loopback(),
		Zone:   p.zone,
		Index:  uint16(i),
		Groups: s.shares(),
		Log:    log,
	}
	failed := make(chan error, 1)
	go func() {
		defer close(p.ended)
		if err := p.server.Run(ctx); err != nil {
			failed <- err
		}
	}()
	select {
	case <-p.server.Started():
		s.proxies = append(s.proxies, p)
		return nil
	case err := <-failed:
		cancel()
		return errors.Wrapf(err, "demonstrator: proxy %s", p.name)
	}
}

// shares returns the groups as one proxy reaches them, with its share of the
// connections that an upstream takes from all proxies together. Without the
// control part a proxy can't know which replica shows a session its own writes,
// so it is given the primary alone.
func (s *stage) shares() []server.Group {
	list := make([]server.Group, 0, len(s.groups))
	for i, g := range s.groups {
		list = append(list, server.Group{
			Name:        s.Groups[i].Name,
			Upstreams:   g.Addrs()[:1],
			Connections: s.Groups[i].Upstreams[0].Connections / Proxies,
			Warm:        1,
		})
	}
	return list
}

// stop ends the proxy gracefully and returns when it is gone.
func (p *proxy) stop() {
	p.cancel()
	<-p.ended
}

// url returns the connection string of a group through the i-th proxy.
func (s *stage) url(i int, group string) string {
	return fmt.Sprintf("postgres://family@%s/%s?sslmode=disable", s.proxies[i].server.Bound(), group)
}

// addresses returns where callers connect.
func (s *stage) addresses() []netip.AddrPort {
	list := make([]netip.AddrPort, 0, len(s.proxies))
	for _, p := range s.proxies {
		list = append(list, p.server.Bound())
	}
	return list
}

// close ends everything.
func (s *stage) close() {
	for _, p := range s.proxies {
		p.cancel()
	}
	for _, p := range s.proxies {
		<-p.ended
	}
	for _, g := range s.groups {
		g.Close()
	}
}
