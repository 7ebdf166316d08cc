package commander_test

import (
	"net"
	"net/netip"
	"regexp"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"

	"basildale.example/basildale/adapter/commander"
)

// stutter answers the commands of each connection, the first one twice. Request "a" is done, any
// other has not run.
func stutter(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			back := pgproto3.NewBackend(c, c)
			if _, err := back.ReceiveStartupMessage(); err != nil {
				return
			}
			back.Send(&pgproto3.AuthenticationOk{})
			back.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
			times := 2
			for back.Flush() == nil {
				query, ok := receive(back)
				if !ok {
					return
				}
				for range times {
					settle(back, query)
				}
				times = 1
			}
		}()
	}
}

func receive(back *pgproto3.Backend) (string, bool) {
	m, err := back.Receive()
	if err != nil {
		return "", false
	}
	q, ok := m.(*pgproto3.Query)
	if !ok {
		return "", false
	}
	return q.String, true
}

func settle(back *pgproto3.Backend, query string) {
	if echo := regexp.MustCompile(`^SELECT '(\d+)'; `).FindStringSubmatch(query); echo != nil {
		row(back, echo[1])
	}
	outcome := "not run"
	if regexp.MustCompile(`settle\('a'\)`).MatchString(query) {
		outcome = "done"
	}
	row(back, outcome, "1.0/7")
	back.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
}

func row(back *pgproto3.Backend, values ...string) {
	var fields []pgproto3.FieldDescription
	var raw [][]byte
	for _, v := range values {
		fields = append(fields, pgproto3.FieldDescription{Name: []byte("v"), DataTypeOID: 25})
		raw = append(raw, []byte(v))
	}
	back.Send(&pgproto3.RowDescription{Fields: fields})
	back.Send(&pgproto3.DataRow{Values: raw})
	back.Send(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")})
}

// Guards against a request that is settled by the second answer to the command before.
func TestSecondAnswerSettlesNoOtherRequest(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	go stutter(l)
	address := netip.MustParseAddrPort(l.Addr().String())
	c := commander.Commander{User: "u", Database: "d"}
	defer c.Close()
	first, err := c.Settle(t.Context(), address, "a")
	is.NoErr(err)
	is.True(first.Done)
	second, err := c.Settle(t.Context(), address, "b")
	is.NoErr(err)
	is.True(!second.Done)
}
