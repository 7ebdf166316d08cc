package generator

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"basildale.example/basildale/checker"
)

// Movement is how a session uses the addresses.
type Movement string

// The movements. A session that moves leaves its connection and opens one at the
// next address every few requests; one that alternates keeps two addresses open
// and uses them in turn.
const (
	Stay      Movement = "stay"
	Move      Movement = "move"
	Alternate Movement = "alternate"
)

// Defaults of the settings of a Generator.
const (
	DefaultRate     = 100
	DefaultSessions = 20
	DefaultTimeout  = time.Second
	DefaultPatience = 5 * time.Second
	DefaultTable    = "bookings"
	DefaultEvery    = 10
)

// Generator is the settings of one run. Zero values mean the defaults above,
// but for the shares, whose zero means none.
type Generator struct {
	// Addrs are where sessions connect; at least one.
	Addrs    []netip.AddrPort
	User     string
	Password string
	Database string
	// Params are further startup parameters.
	Params map[string]string
	// Table takes the bookings.
	Table string
	// Group is what the ledger calls the database group behind the addresses.
	Group string
	// Rate is the mean number of requests a second, with exponential gaps.
	Rate float64
	// Bookings is the share of requests that book, 0 to 1; the others look up.
	Bookings float64
	// Transactions is the share of bookings made as a transaction of two rows.
	Transactions float64
	// Requests ends the load after so many, if its end in time doesn't; zero means
	// that only time ends it.
	Requests int
	// Sessions is the number of callers.
	Sessions int
	// Moves is how sessions use the addresses; empty means Stay.
	Moves Movement
	// Every is the number of requests between two moves.
	Every int
	// Timeout is the time after its intended start in which a request counts as
	// in time.
	Timeout time.Duration
	// Patience is how much later a caller gives up on its answer.
	Patience time.Duration
	// Seed decides the load.
	Seed uint64
	// Name begins the IDs of sessions and bookings, and is different for each run
	// on the same table; empty means one made of the time.
	Name string
	// Ledger takes the record; nil means a new one.
	Ledger *checker.Ledger
	// Connect opens a session's connection; nil means over PostgreSQL protocol 3.
	Connect func(ctx context.Context, addr netip.AddrPort, session string) (Conn, error)
	// Done, when set, is called after each request, from the sessions' goroutines.
	Done func(Event)
}

// Class is what kind of request it is.
type Class string

// The classes.
const (
	Booking Class = "booking"
	Lookup  Class = "lookup"
)

// Event is one finished request.
type Event struct {
	Class   Class
	Outcome Outcome
	Session string
	Addr    netip.AddrPort
	// Intended is when the request should have started, End when it ended.
	Intended time.Time
	End      time.Time
	// Code is the SQLSTATE of the error, if there was one.
	Code string
}

// Outcome is how a request ended for its caller.
type Outcome string

// The outcomes. Failed is an error that the statement itself raised; Missed was
// never sent because its time was over before.
const (
	Done    Outcome = "done"
	NotRun  Outcome = "not run"
	Unknown Outcome = "unknown"
	Failed  Outcome = "failed"
	Missed  Outcome = "missed"
)

// Run starts requests until the time end and returns when the last has ended,
// at most Timeout and Patience later. Answers that break a promise are no error
// but findings of the ledger.
func (g Generator) Run(ctx context.Context, end time.Time) (*Report, error) {
	if len(g.Addrs) == 0 {
		return nil, errors.New("generator: no addresses")
	}
	g.fill()
	begin := time.Now()
	tally := newTally(begin)
	sessions := make([]*session, g.Sessions)
	var running sync.WaitGroup
	for i := range sessions {
		s := newSession(&g, i, tally)
		sessions[i] = s
		running.Go(func() { s.run(ctx) })
	}
	g.schedule(ctx, begin, end, sessions)
	for _, s := range sessions {
		s.queue.close()
	}
	running.Wait()
	return tally.report(&g), ctx.Err()
}

func (g *Generator) fill() {
	setDefault(&g.Rate, DefaultRate)
	setDefault(&g.Sessions, DefaultSessions)
	setDefault(&g.Timeout, DefaultTimeout)
	setDefault(&g.Patience, DefaultPatience)
	setDefault(&g.Table, DefaultTable)
	setDefault(&g.Every, DefaultEvery)
	setDefault(&g.Moves, Stay)
	setDefault(&g.Name, strconv.FormatInt(time.Now().UnixNano(), 36))
	if g.Ledger == nil {
		g.Ledger = &checker.Ledger{}
	}
	if g.Connect == nil {
		g.Connect = g.dial
	}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// request is one arrival.
type request struct {
	class    Class
	intended time.Time
	tx       bool
	own      bool // look up one's own last booking
	extended bool
	draw     uint64
}

// ownShare is the share of lookups in which a session reads its own last booking.
const ownShare = 0.5

// schedule hands each request to its session at its intended start. It never
// waits for a session: the queues are unbounded, and the run's end bounds them.
func (g *Generator) schedule(ctx context.Context, begin, end time.Time, sessions []*session) {
	random := rand.New(rand.NewPCG(g.Seed, 1))
	timer := time.NewTimer(0)
	defer timer.Stop()
	at := begin
	for n := 0; g.Requests == 0 || n < g.Requests; n++ {
		at = at.Add(time.Duration(random.ExpFloat64() / g.Rate * float64(time.Second)))
		if !at.Before(end) {
			return
		}
		r := request{
			class:    Lookup,
			intended: at,
			tx:       random.Float64() < g.Transactions,
			own:      random.Float64() < ownShare,
			extended: random.Uint64()&1 == 0,
			draw:     random.Uint64(),
		}
		if random.Float64() < g.Bookings {
			r.class = Booking
		}
		s := sessions[random.IntN(len(sessions))]
		if wait := time.Until(at); wait > 0 {
			timer.Reset(wait)
			select {
			case <-timer.C:
			case <-ctx.Done():
				return
			}
		}
		s.queue.put(r)
	}
}
