package demonstrator

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"basildale.example/basildale/adapter/keeper"
	"basildale.example/basildale/daemon"
	"basildale.example/basildale/internal/faker/platform"
	"basildale.example/basildale/internal/faker/upstream"
	"basildale.example/basildale/leaver"
	"basildale.example/basildale/loader"
)

// tables is what every group's upstreams hold at the start.
const tables = "CREATE TABLE bookings (id text PRIMARY KEY, seat text NOT NULL, session text)"

// service is how long a stand-in upstream works on one statement.
const service = 2 * time.Millisecond

// instanceLag is how far the platform's list of instances is behind.
const instanceLag = 2 * time.Second

// startWithin bounds the start of a deployment, on a machine that is busy with other
// work too.
const startWithin = time.Minute

// loopback is where everything in a demonstration listens; the system picks the
// ports.
func loopback() netip.AddrPort { return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0) }

// stage is one deployment, running.
type stage struct {
	Deployment
	platform *platform.Platform
	keeper   *keeper.Client
	groups   []*upstream.Group
	proxies  []*proxy
	reads    reads
	dir      string // holds the key that the proxies share
}

// proxy is one process of the fleet.
type proxy struct {
	name   string
	zone   string
	daemon *daemon.Daemon
	cancel context.CancelFunc
	ended  chan error
}

// openStage starts a deployment. The caller closes what it returns, also beside
// an error.
func openStage(ctx context.Context, d Deployment, log *zap.Logger) (*stage, error) {
	ctx, cancel := context.WithTimeout(ctx, startWithin)
	defer cancel()
	s := &stage{Deployment: d, platform: &platform.Platform{Lag: instanceLag}}
	if err := s.platform.Start(); err != nil {
		return s, errors.Wrap(err, "demonstrator: platform")
	}
	s.keeper = &keeper.Client{Addrs: []netip.AddrPort{s.platform.Addr()}}
	if err := s.openGroups(); err != nil {
		return s, err
	}
	if err := s.configure(ctx); err != nil {
		return s, err
	}
	return s, s.openProxies(ctx, log)
}

func (s *stage) openGroups() error {
	for _, g := range s.Groups {
		first := g.Upstreams[0]
		group, err := upstream.NewGroup(upstream.Options{
			Size:        len(g.Upstreams),
			Lag:         s.Lag,
			Connect:     first.Connect,
			Service:     service,
			Network:     s.Between,
			Connections: first.Connections,
			Slots:       first.Slots,
			Setup:       tables,
		})
		if err != nil {
			return errors.Wrapf(err, "demonstrator: group %s", g.Name)
		}
		s.groups = append(s.groups, group)
		for _, u := range group.Upstreams {
			s.reads.watch(u)
		}
	}
	return nil
}

func (s *stage) openProxies(ctx context.Context, log *zap.Logger) error {
	key, err := s.key()
	if err != nil {
		return err
	}
	for i := range Proxies {
		p := s.newProxy(i, key, log)
		if err := p.daemon.Listen(); err != nil {
			return errors.Wrapf(err, "demonstrator: proxy %s", p.name)
		}
		s.proxies = append(s.proxies, p)
	}
	s.platform.SetInstances(s.instances())
	for _, p := range s.proxies {
		p.run(ctx)
	}
	for _, p := range s.proxies {
		select {
		case <-p.daemon.Started():
		case err := <-p.ended:
			p.ended <- err
			return errors.Wrapf(err, "demonstrator: proxy %s ended", p.name)
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "demonstrator: proxy %s doesn't start", p.name)
		}
	}
	return nil
}

// key writes the key that the proxies share and returns its path.
func (s *stage) key() (string, error) {
	var err error
	if s.dir, err = os.MkdirTemp("", "basildale-demo-"); err != nil {
		return "", errors.Wrap(err, "demonstrator")
	}
	path := filepath.Join(s.dir, "peers.key")
	const ownerOnly = 0o600
	err = os.WriteFile(path, []byte("shared by the proxies of one demonstration"), ownerOnly)
	return path, errors.Wrap(err, "demonstrator")
}

func (s *stage) newProxy(i int, key string, log *zap.Logger) *proxy {
	p := &proxy{
		name:  fmt.Sprintf("%s-%d", s.zone(i), i+1),
		zone:  s.zone(i),
		ended: make(chan error, 1),
	}
	p.daemon = &daemon.Daemon{
		Settings: loader.Settings{
			Name:      p.name,
			Zone:      p.zone,
			Workspace: s.Name,
			Listen:    loopback(),
			Peers:     loopback(),
			Operators: loopback(),
			Platform:  []netip.AddrPort{s.platform.Addr()},
			Secret:    key,
			Login:     loader.Login{User: loader.DefaultUser},
			Stop:      loader.DefaultStop,
		},
		// Nothing balances here: there is no list to wait out.
		Leave: leaver.Process{MaxListAge: 200 * time.Millisecond, BalancerDelay: 100 * time.Millisecond, IdleDrainDuration: 200 * time.Millisecond},
		Log:   log,
	}
	return p
}

// run starts the process. It outlives ctx, which is that of the start.
func (p *proxy) run(ctx context.Context) {
	ctx, p.cancel = context.WithCancel(context.WithoutCancel(ctx))
	go func() { p.ended <- p.daemon.Run(ctx) }()
}

// stop ends the process gracefully and returns when it is gone. A process that
// doesn't end before ctx is an error: the demonstration would hang with it.
func (p *proxy) stop(ctx context.Context) error {
	if p.cancel == nil {
		return nil // never started
	}
	p.cancel()
	select {
	case err := <-p.ended:
		p.ended <- err // whoever asks again gets the same
		return err
	case <-ctx.Done():
		return errors.Newf("demonstrator: proxy %s doesn't end", p.name)
	}
}

func (s *stage) instances() []platform.Instance {
	var list []platform.Instance
	for _, p := range s.proxies {
		list = append(list, platform.Instance{Name: p.name, Role: "proxy", Zone: p.zone, Address: p.daemon.Peers(), State: "live"})
	}
	for i, g := range s.Groups {
		for j, u := range g.Upstreams {
			list = append(list, platform.Instance{Name: u.Name, Role: "upstream", Group: g.Name, Zone: u.Zone, Address: s.groups[i].Addrs()[j], State: "live"})
		}
	}
	return list
}

// url returns the connection string of a group through the i-th proxy.
func (s *stage) url(i int, group string) string {
	return fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable", callerName, password, s.proxies[i].daemon.Callers(), group)
}

// addresses returns where callers connect.
func (s *stage) addresses() []netip.AddrPort {
	list := make([]netip.AddrPort, 0, len(s.proxies))
	for _, p := range s.proxies {
		list = append(list, p.daemon.Callers())
	}
	return list
}

// closeWithin bounds the end of a deployment: the time that the settings give each
// process for its stop, and as much again for a machine that is busy with other
// work. With 4 s a demonstration failed whose processes were still within theirs.
const closeWithin = 2 * loader.DefaultStop

// close ends everything. A proxy that doesn't end is an error, and its upstreams
// are left as they are.
func (s *stage) close() error {
	ctx, cancel := context.WithTimeout(context.Background(), closeWithin)
	defer cancel()
	for _, p := range s.proxies {
		if p.cancel != nil {
			p.cancel()
		}
	}
	for _, p := range s.proxies {
		if err := p.stop(ctx); err != nil {
			return err
		}
	}
	for _, g := range s.groups {
		g.Close()
	}
	err := s.platform.Close()
	if s.dir != "" {
		err = errors.CombineErrors(err, os.RemoveAll(s.dir))
	}
	return errors.Wrap(err, "demonstrator")
}
