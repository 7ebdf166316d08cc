package generator

import (
	"context"
	"net"
	"net/netip"
	"strconv"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgconn"
)

// sessionParam is the startup parameter that names the caller's session, by
// which another proxy knows it again.
const sessionParam = "basildale.session"

// Conn is one connection of a session.
type Conn struct {
	// Exec sends one statement and returns the texts of its rows. With arguments
	// it uses the extended protocol, without the simple one.
	Exec func(ctx context.Context, sql string, args ...string) ([][]string, error)
	// Alive reports whether the connection can be used for the next request.
	Alive func() bool
	Close func()
}

func (g *Generator) dial(ctx context.Context, addr netip.AddrPort, session string) (Conn, error) {
	// Everything is set explicitly, because ParseConfig fills gaps from the
	// environment of the process.
	config, err := pgconn.ParseConfig("host=" + addr.Addr().String() +
		" port=" + strconv.Itoa(int(addr.Port())) + " user=x database=x password=x sslmode=disable")
	if err != nil {
		return Conn{}, errors.Wrap(err, "generator: settings")
	}
	config.User, config.Password, config.Database = g.User, g.Password, g.Database
	config.Fallbacks = nil
	config.RuntimeParams = map[string]string{sessionParam: session}
	for k, v := range g.Params {
		config.RuntimeParams[k] = v
	}
	pg, err := pgconn.ConnectConfig(ctx, config)
	if err != nil {
		return Conn{}, errors.Wrap(err, "generator: connect")
	}
	return Conn{
		Exec: func(ctx context.Context, sql string, args ...string) ([][]string, error) {
			if len(args) == 0 {
				return simple(ctx, pg, sql)
			}
			return extended(ctx, pg, sql, args)
		},
		Alive: func() bool { return !pg.IsClosed() && !ending(pg.Conn()) },
		Close: func() { hangup(pg) },
	}, nil
}

func simple(ctx context.Context, pg *pgconn.PgConn, sql string) ([][]string, error) {
	results, err := pg.Exec(ctx, sql).ReadAll()
	if err != nil || len(results) == 0 {
		return nil, err
	}
	return texts(results[len(results)-1].Rows), nil
}

func extended(ctx context.Context, pg *pgconn.PgConn, sql string, args []string) ([][]string, error) {
	params := make([][]byte, len(args))
	for i, a := range args {
		params[i] = []byte(a)
	}
	result := pg.ExecParams(ctx, sql, params, nil, nil, nil).Read()
	return texts(result.Rows), result.Err
}

func texts(rows [][][]byte) [][]string {
	list := make([][]string, len(rows))
	for i, r := range rows {
		for _, cell := range r {
			list[i] = append(list[i], string(cell))
		}
	}
	return list
}

// messageError is the type byte of an ErrorResponse.
const messageError = 'E'

// ending looks, without taking anything from the connection, whether the other
// side has closed it or said that it will. A proxy that stops ends sessions
// between requests; without this look the next request would be sent into a
// connection that is over, and counted as cut.
func ending(conn net.Conn) bool {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return true
	}
	first := make([]byte, 1)
	var n int
	var peekErr error
	// Not by Read, which waits for whoever reads: pgconn leaves a reader in the
	// background behind when a write was slow, and that one waits for the other
	// side. The run would never end, with each of both waiting for the other.
	err = control.Control(func(fd uintptr) {
		n, _, peekErr = syscall.Recvfrom(int(fd), first, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	switch {
	case err != nil:
		return true
	case errors.Is(peekErr, syscall.EAGAIN), errors.Is(peekErr, syscall.EINTR):
		return false
	default:
		return peekErr != nil || n == 0 || first[0] == messageError
	}
}

// hangup says goodbye if that doesn't take long.
func hangup(pg *pgconn.PgConn) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = pg.Close(ctx)
}
