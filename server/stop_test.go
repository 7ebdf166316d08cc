package server

import (
	"io"
	"runtime"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/matryer/is"

	"basildale.example/basildale/internal/faker/upstream"
	"basildale.example/basildale/relayer"
)

// await returns the first Load that is as wanted. A worker comes to rest a moment
// after its answer; only the bound of the test run ends the wait.
func (f *fixture) await(wanted func(relayer.Load) bool) relayer.Load {
	for {
		if l := f.server.Load(); wanted(l) {
			return l
		}
		runtime.Gosched()
	}
}

// Symptom: a caller that sends at the moment of a planned stop sees a lost
// connection and can't tell whether its request ran. Sequence: the proxy says
// that it stops and closes, then the request arrives. Cause: a closed socket
// answers bytes by a reset, which may overtake the message.
func TestRequestThatCrossesTheEndIsToldNotRun(t *testing.T) {
	is := is.New(t)
	f := start(t, upstream.Options{Size: 1}, func(*Server) {})
	hijacked, err := f.connect(t, "").PgConn().Hijack()
	is.NoErr(err)
	defer hijacked.Conn.Close()
	f.await(func(l relayer.Load) bool { return l.Idle == 1 })
	f.server.EndIdle(1)
	f.await(func(l relayer.Load) bool { return l.Ended == 1 && len(l.Busy) == 0 })
	request := []byte("Q\x00\x00\x00\x0dSELECT 1\x00")
	for range 3 {
		_, err = hijacked.Conn.Write(request)
		is.NoErr(err)
	}
	got, err := io.ReadAll(hijacked.Conn)
	is.NoErr(err) // the end, not a reset
	is.True(strings.Contains(string(got), "SFATAL"))
	is.True(strings.Contains(string(got), "CBD100"))
	is.True(strings.Contains(string(got), "Hretry after 0 ms"))
	is.Equal(f.group.Upstreams[0].Counts().Statements, int64(0)) // it was not run
}

// Symptom: a stop cuts a transaction, or waits for a session that is idle.
// Sequence: sessions rest in each state while they are counted and ended. Cause:
// what a session does was guessed from its connection.
func TestLoadAndEndOfIdleSessions(t *testing.T) {
	is := is.New(t)
	f := start(t, upstream.Options{Size: 1}, func(*Server) {})
	idle := []*pgx.Conn{f.connect(t, ""), f.connect(t, ""), f.connect(t, "")}
	open := f.connect(t, "")
	tx, err := open.Begin(t.Context())
	is.NoErr(err)
	rests := func(l relayer.Load) bool { return len(l.Busy) == 1 && l.Busy[0].Transaction }
	l := f.await(func(l relayer.Load) bool { return rests(l) && l.Idle == len(idle) })
	is.Equal(l.Busy[0].Process, open.PgConn().PID())
	f.server.EndIdle(2)
	f.await(func(l relayer.Load) bool { return rests(l) && l.Ended == 2 && l.Idle == 1 })
	f.server.EndIdle(9)
	// The transaction goes on.
	l = f.await(func(l relayer.Load) bool { return rests(l) && l.Ended == 3 && l.Idle == 0 })
	finished := l.Finished
	_, err = tx.Exec(t.Context(), book)
	is.NoErr(err)
	is.NoErr(tx.Commit(t.Context()))
	is.Equal(f.server.Load().Finished, finished+2)
}
