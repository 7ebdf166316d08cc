package coordinator

import (
	"context"
	"io"
	"net"
	"net/netip"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"

	"basildale.example/basildale/adapter/commander"
	"basildale.example/basildale/promoter"
)

// answering listens on loopback and meets each startup with what serve does.
func answering(t *testing.T, serve func(net.Conn)) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			serve(conn)
			conn.Close()
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}

func turnedAway(code string) func(net.Conn) {
	return func(conn net.Conn) {
		b := pgproto3.NewBackend(conn, conn)
		if _, err := b.ReceiveStartupMessage(); err != nil {
			return
		}
		b.Send(&pgproto3.ErrorResponse{Severity: "FATAL", Code: code, Message: "no"})
		if b.Flush() == nil {
			// Wait for the other side, so that the answer isn't cut by a reset.
			_, _ = io.Copy(io.Discard, conn)
		}
	}
}

// Symptom: a healthy primary is replaced at its busiest. Sequence: the control
// connections break; the new ones are turned away because all connections are
// taken. Cause: every failed connection counted as a refused one, and two of these
// as a process that is gone.
func TestOnlyAnAbsentProcessCountsAsRefused(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	gone := netip.MustParseAddrPort(l.Addr().String())
	l.Close()
	for _, c := range []struct {
		name    string
		addr    netip.AddrPort
		trouble promoter.Trouble
		alive   bool
	}{
		{"nobody listens", gone, promoter.Refused, false},
		{"too many connections", answering(t, turnedAway("53300")), promoter.Broken, true},
		{"it is starting", answering(t, turnedAway("57P03")), promoter.Broken, false},
		{"it hangs up", answering(t, func(net.Conn) {}), promoter.Broken, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			cmd := &commander.Commander{User: "u", Database: "d"}
			defer cmd.Close()
			_, err := cmd.State(context.Background(), c.addr)
			is.True(err != nil)
			is.Equal(troubleOf(err), c.trouble)
			is.Equal(alive(err), c.alive)
		})
	}
}
