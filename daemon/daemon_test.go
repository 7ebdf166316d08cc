package daemon

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"net"
	"net/netip"
	"net/url"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/matryer/is"

	"basildale.example/basildale/adapter/keeper"
	"basildale.example/basildale/adapter/reporter"
	"basildale.example/basildale/coordinator"
	"basildale.example/basildale/internal/faker/platform"
	"basildale.example/basildale/internal/faker/upstream"
	"basildale.example/basildale/leaver"
	"basildale.example/basildale/limiter"
	"basildale.example/basildale/loader"
	"basildale.example/basildale/membership"
	"basildale.example/basildale/relayer"
	"basildale.example/basildale/router"
)

var zones = []string{"vejle-hal", "aarhus-hal", "skjern-hal"}

const password = "a kiosk's password"

const setup = "CREATE TABLE seats (id int, holder text); INSERT INTO seats (id, holder) VALUES (0, 'nobody')"

// fleet is three daemons before one group, with the platform's stand-in.
type fleet struct {
	t        *testing.T
	platform *platform.Platform
	group    *upstream.Group
	key      string // path of the fleet's key
	limit    int    // connections of an upstream
	opening  int    // connections opened a second
	daemons  []*Daemon
	ends     []chan error
}

func newFleet(t *testing.T, lag time.Duration) *fleet {
	t.Helper()
	return newFleetOf(t, upstream.Options{Size: 3, Lag: lag, Setup: setup, Connections: 35}, limiter.DefaultOpenRate)
}

func newFleetOf(t *testing.T, o upstream.Options, opening int) *fleet {
	t.Helper()
	is := is.New(t)
	f := &fleet{t: t, platform: &platform.Platform{}, limit: o.Connections, opening: opening}
	is.NoErr(f.platform.Start())
	t.Cleanup(func() { _ = f.platform.Close() })
	var err error
	f.group, err = upstream.NewGroup(o)
	is.NoErr(err)
	t.Cleanup(f.group.Close)
	f.configure()
	f.key = filepath.Join(t.TempDir(), "key")
	is.NoErr(os.WriteFile(f.key, []byte("a key that the fleet shares"), 0o600))
	for i, zone := range zones {
		d := f.daemon(i, zone, f.key)
		is.NoErr(d.Listen())
		f.daemons = append(f.daemons, d)
	}
	f.list()
	for _, d := range f.daemons {
		f.run(d)
	}
	for _, d := range f.daemons {
		<-d.Started()
	}
	return f
}

// list has the platform list the daemons, and more.
func (f *fleet) list(more ...netip.AddrPort) {
	var instances []platform.Instance
	for _, d := range f.daemons {
		instances = append(instances, platform.Instance{Name: d.Settings.Name, Role: "proxy", Zone: d.Settings.Zone, State: "live", Address: d.Peers()})
	}
	for _, a := range more {
		instances = append(instances, platform.Instance{Name: a.String(), Role: "proxy", Zone: zones[0], State: "live", Address: a})
	}
	f.platform.SetInstances(instances)
}

func (f *fleet) daemon(i int, zone, key string) *Daemon {
	d := daemonOn(f.platform.Addr(), zone, key)
	d.Seed = uint64(i + 1)
	return d
}

func daemonOn(at netip.AddrPort, zone, key string) *Daemon {
	local := netip.MustParseAddrPort("127.0.0.1:0")
	return &Daemon{
		Settings: loader.Settings{
			Name: zone, Zone: zone, Workspace: "dj", Listen: local, Peers: local, Operators: local,
			Platform: []netip.AddrPort{at}, Secret: key, Login: loader.Login{User: "basildale"}, Stop: 10 * time.Second,
		},
		Sampling:   coordinator.Sampling{Active: 10 * time.Millisecond, Idle: 20 * time.Millisecond, Within: 200 * time.Millisecond, List: 50 * time.Millisecond},
		Membership: membership.Settings{Period: 200 * time.Millisecond, Timeout: 100 * time.Millisecond, Suspicion: 300 * time.Millisecond},
		Lease:      200 * time.Millisecond,
		Leave:      leaver.Process{MaxListAge: 50 * time.Millisecond, BalancerDelay: 20 * time.Millisecond, IdleDrainDuration: 100 * time.Millisecond},
	}
}

func (f *fleet) run(d *Daemon) {
	ctx, cancel := context.WithCancel(context.Background())
	end := make(chan error, 1)
	go func() { end <- d.Run(ctx) }()
	f.ends = append(f.ends, end)
	f.t.Cleanup(func() {
		cancel()
		if err := <-end; err != nil {
			f.t.Error(err)
		}
	})
}

func (f *fleet) configure() {
	is := is.New(f.t)
	k := &keeper.Client{Addrs: []netip.AddrPort{f.platform.Addr()}}
	var ups []map[string]any
	for i, a := range f.group.Addrs() {
		ups = append(ups, map[string]any{"name": zones[i], "address": a, "zone": zones[i]})
	}
	verifier, err := relayer.NewVerifier(password)
	is.NoErr(err)
	class := map[string]any{"booking": map[string]any{"weight": 2, "deadline": "2s"}, "lookup": map[string]any{"weight": 1, "deadline": "1s"}}
	for _, o := range []struct {
		name string
		spec map[string]any
	}{
		{"preset/ordinary", map[string]any{"workspace": "dj", "classes": class, "opening": f.opening}},
		{"active/dj", map[string]any{"preset": "ordinary"}},
		{"workspace/dj", map[string]any{"zones": zones}},
		{"pool/tickets", map[string]any{"workspace": "dj"}},
		{"group/billet-db-1", map[string]any{"pool": "tickets", "databases": []string{"billet"}, "slots": 5, "connections": f.limit, "upstreams": ups}},
		{"preset/maintenance", map[string]any{"workspace": "dj", "writes": "refuse", "classes": class}},
		{"caller/kiosk", map[string]any{"workspace": "dj", "class": "booking", "verifier": verifier.String()}},
	} {
		_, err := k.Put(f.t.Context(), "config", o.name, 0, map[string]any{"spec": o.spec})
		is.NoErr(err)
	}
}

func (f *fleet) connect(i int, more string) *pgx.Conn {
	f.t.Helper()
	c, err := f.dial(i, password, more)
	is.New(f.t).NoErr(err)
	f.t.Cleanup(func() { _ = c.Close(context.Background()) })
	return c
}

func (f *fleet) dial(i int, password, more string) (*pgx.Conn, error) {
	user := url.UserPassword("kiosk", password).String()
	return pgx.Connect(f.t.Context(), "postgres://"+user+"@"+f.daemons[i].Callers().String()+"/billet?sslmode=disable&"+more)
}

func book(t *testing.T, c *pgx.Conn, id int) error {
	t.Helper()
	_, err := c.Exec(t.Context(), "INSERT INTO seats (id, holder) VALUES ($1, $2)", id, "Karen")
	return err
}

func holder(t *testing.T, c *pgx.Conn, id int) string {
	t.Helper()
	var name string
	err := c.QueryRow(t.Context(), "SELECT holder FROM seats WHERE id = $1", id).Scan(&name)
	if err != nil {
		return err.Error()
	}
	return name
}

// Symptom: a family that has booked at one proxy is told at another that there
// is no such booking. Sequence: each booking is read back at the next proxy at
// once, while the replicas lag. Cause: the other proxy doesn't know the mark and
// takes any replica.
func TestNamedSessionReadsItsWritesOnEveryProxy(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 30*time.Millisecond)
	var conns []*pgx.Conn
	for i := range f.daemons {
		conns = append(conns, f.connect(i, "basildale.session=family-7"))
	}
	for n := range 12 {
		is.NoErr(book(t, conns[n%3], 100+n))
		is.Equal(holder(t, conns[(n+1)%3], 100+n), "Karen")
		is.Equal(holder(t, conns[(n+2)%3], 100+n), "Karen")
	}
}

// Symptom: as above, for a caller that names no session. Sequence: it books on
// one connection and reads on a fresh one to another proxy. Cause: a fresh
// connection was taken for a fresh session.
func TestFreshConnectionReadsWhatWasAcknowledgedBefore(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 30*time.Millisecond)
	writer := f.connect(0, "")
	for n := range 6 {
		is.NoErr(book(t, writer, 200+n))
		is.Equal(holder(t, f.connect(1+n%2, ""), 200+n), "Karen")
	}
}

func TestReadsOfASessionReachReplicas(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, time.Millisecond)
	c := f.connect(0, "")
	is.NoErr(book(t, c, 300))
	for range 50 {
		is.Equal(holder(t, c, 300), "Karen")
	}
	onReplicas := f.group.Upstreams[1].Counts().Statements + f.group.Upstreams[2].Counts().Statements
	is.True(onReplicas >= 45) // reads of 50
}

// Symptom: a seat that was sold is free again after a failover. Sequence: a sale
// is acknowledged, the primary dies before a replica has the sale. Cause: the
// acknowledgement went out before a replica confirmed it.
func TestAcknowledgedBookingsSurviveTheLossOfThePrimary(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 20*time.Millisecond)
	c := f.connect(0, "")
	for n := range 5 {
		is.NoErr(book(t, c, 400+n))
	}
	f.group.Upstreams[0].Crash()
	next := 500
	for book(t, c, next) != nil { // every failed booking has another id
		next++
		if c.IsClosed() { // an answer was cut off by the crash
			c = f.connect(0, "")
		}
	}
	rows := f.group.Primary().Rows("seats")
	is.True(f.group.Primary() != f.group.Upstreams[0])
	held := map[string]bool{}
	for _, row := range rows {
		held[row[0]] = true
	}
	for n := range 5 {
		is.True(held[strconv.Itoa(400+n)]) // acknowledged before the crash
	}
	is.True(held[strconv.Itoa(next)])
}

// Symptom: callers lose requests when a proxy is replaced. Sequence: the proxy is
// told to stop while a transaction is open. Cause: the process ended without
// waiting for it.
func TestGracefulStopFinishesWhatIsInFlight(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, time.Millisecond)
	c := f.connect(2, "")
	tx, err := c.Begin(t.Context())
	is.NoErr(err)
	_, err = tx.Exec(t.Context(), "INSERT INTO seats (id, holder) VALUES (600, 'Ole')")
	is.NoErr(err)
	is.True(f.daemons[2].Drain())
	is.True(!f.daemons[2].Drain()) // one runs already
	is.NoErr(tx.Commit(t.Context()))
	err = <-f.ends[2]
	f.ends[2] <- nil // for the end of the test, also when the next line ends it
	is.NoErr(err)
	is.Equal(holder(t, f.connect(0, ""), 600), "Ole")
}

func TestStatusAndExplanation(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, time.Millisecond)
	status, err := f.daemons[0].status(t.Context())
	is.NoErr(err)
	is.Equal(status.Preset, "ordinary")
	is.Equal(status.State, "ready")
	is.Equal(len(status.Groups), 1)
	is.Equal(len(status.Groups[0].Upstreams), 3)
	_, err = json.Marshal(status)
	is.NoErr(err)
	list, err := f.daemons[0].explain(t.Context(), reporterQuery("billet-db-1"))
	is.NoErr(err)
	is.True(len(list) > 0)
	is.NoErr(book(t, f.connect(0, "basildale.session=family-9"), 900))
	list, err = f.daemons[0].explain(t.Context(), reporter.Query{Session: "family-9", Limit: 10})
	is.NoErr(err)
	is.Equal(list[len(list)-1].Part, "router")
	is.Equal(list[len(list)-1].Reason, router.PrimaryWrite.String())
}

func reporterQuery(group string) reporter.Query { return reporter.Query{Group: group, Limit: 10} }

// Symptom: anybody who knows a caller's name works on its data. Sequence: a
// caller is declared with a verifier, somebody connects with another password.
// Cause: the declaration's verifier didn't reach the session.
func TestOnlyTheDeclaredPasswordIsLetIn(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, time.Millisecond)
	_, err := f.dial(0, "another", "")
	is.True(strings.Contains(err.Error(), "28P01"))
	_, err = f.dial(0, "", "")
	is.True(err != nil)
	is.NoErr(book(t, f.connect(0, ""), 700))
}

// Symptom: a caller's cancel request does nothing. Sequence: the balancer brings
// it to another proxy than the one that runs the statement. Cause: that proxy
// doesn't know the session and drops the request.
func TestCancelReachesTheStatementThroughAnotherProxy(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, time.Millisecond)
	c := f.connect(0, "basildale.deadline=60000")
	started := make(chan error, 1)
	go func() {
		_, err := c.Exec(context.Background(), "SELECT pg_sleep(30)")
		started <- err
	}()
	running := func() (n int64) {
		for _, u := range f.group.Upstreams {
			n += u.Counts().Statements
		}
		return n
	}
	for running() == 0 {
		time.Sleep(time.Millisecond) // a poll
		select {
		case err := <-started:
			t.Fatal("ended before it ran: ", err)
		default:
		}
	}
	other, err := net.Dial("tcp", f.daemons[1].Callers().String())
	is.NoErr(err)
	defer other.Close()
	request := binary.BigEndian.AppendUint32(nil, 16)
	request = binary.BigEndian.AppendUint32(request, 80877102)
	request = binary.BigEndian.AppendUint32(request, c.PgConn().PID())
	request = append(request, c.PgConn().SecretKey()...)
	_, err = other.Write(request)
	is.NoErr(err)
	is.True(strings.Contains((<-started).Error(), "57014"))
}

// Symptom: after a preset was put in force, a session that stands goes by the one
// before. Sequence: a session books, maintenance is put in force, it books again.
// Cause: limits were read once, when the session began.
func TestPresetHoldsForTheNextStatementOfAStandingSession(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, time.Millisecond)
	c := f.connect(0, "")
	is.NoErr(book(t, c, 800))
	k := &keeper.Client{Addrs: []netip.AddrPort{f.platform.Addr()}}
	o, err := k.Get(t.Context(), "config", "active/dj")
	is.NoErr(err)
	_, err = k.Put(t.Context(), "config", "active/dj", o.Version, map[string]any{"spec": map[string]any{"preset": "maintenance"}})
	is.NoErr(err)
	id := 801
	for err = nil; err == nil; id++ {
		err = book(t, c, id)
	}
	is.True(strings.Contains(err.Error(), "BD100"))
	is.Equal(holder(t, c, 800), "Karen") // reads go on
}
