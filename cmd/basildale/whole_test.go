package main

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"basildale.example/basildale/daemon"
	"basildale.example/basildale/internal/faker/upstream"
	"basildale.example/basildale/loader"
)

const wholeFleet = `kind: workspace
name: dj
zones: [vejle-hal]
---
kind: active
name: dj
preset: ordinary
---
kind: preset
name: ordinary
workspace: dj
classes:
  booking: {deadline: 5m}
  lookup: {deadline: 5m}
---
kind: preset
name: frozen
workspace: dj
writes: refuse
classes:
  booking: {deadline: 5m}
  lookup: {deadline: 5m}
---
kind: pool
name: tickets
workspace: dj
---
kind: caller
name: kiosk
workspace: dj
class: booking
# The verifier of the password "example".
verifier: SCRAM-SHA-256$4096:2Zz/b8ii8fvDnhyPT56yjQ==$BHShLn4UkKGi2MzgjwSuRlXvAHJpJaekzEd3d3+O2A4=:t03e3K1q3FzINaczQOcB3+8piMScVn6X6l7HNERWRuA=
---
kind: group
name: billet-db-1
pool: tickets
databases: [billet]
slots: 5
connections: 35
upstreams:
`

// wholeDaemon runs a proxy against the operator's platform until the test ends.
func (o operator) wholeDaemon() *daemon.Daemon {
	local := netip.MustParseAddrPort("127.0.0.1:0")
	d := &daemon.Daemon{Settings: loader.Settings{
		Name: "vejle-1", Zone: "vejle-hal", Workspace: "dj", Listen: local, Peers: local, Operators: local,
		Platform: []netip.AddrPort{o.platform.Addr()}, Login: loader.Login{User: "basildale"}, Stop: time.Second,
	}}
	o.NoErr(d.Listen())
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- d.Run(ctx) }()
	o.t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			o.t.Error(err)
		}
	})
	<-d.Started()
	return d
}

// Symptom: the operator's command says that a preset is in force, and callers
// notice nothing of it. Sequence: documents are applied, a proxy serves by them,
// the preset is changed with --wait. Cause: one of the steps between a document
// and a statement speaks of another thing than the next.
func TestFromDocumentToStatement(t *testing.T) {
	o := newOperator(t)
	group, err := upstream.NewGroup(upstream.Options{Size: 3, Setup: "CREATE TABLE seats (id int)"})
	o.NoErr(err)
	t.Cleanup(group.Close)
	docs := wholeFleet
	for i, addr := range group.Addrs() {
		docs += fmt.Sprintf("  - {name: u%d, address: %s, zone: vejle-hal}\n", i, addr)
	}
	o.does(exitDone, "apply", "-f", o.file(docs))
	d := o.wholeDaemon()
	ask := d.Operators().String()

	conn, err := pgx.Connect(t.Context(), "postgres://kiosk:example@"+d.Callers().String()+"/billet?sslmode=disable")
	o.NoErr(err)
	defer func() { _ = conn.Close(context.Background()) }()
	_, err = conn.Exec(t.Context(), "INSERT INTO seats (id) VALUES (1)")
	o.NoErr(err)

	out := o.does(exitDone, "preset", "use", "frozen", "--wait", "--ask", ask, "--patience", "5m")
	o.True(strings.Contains(out, "is in force at every proxy (1)"))
	_, err = conn.Exec(t.Context(), "INSERT INTO seats (id) VALUES (2)")
	o.True(err != nil && strings.Contains(err.Error(), "the preset in force refuses writes"))
	o.does(exitDone, "preset", "use", "ordinary", "--wait", "--ask", ask, "--patience", "5m")
	_, err = conn.Exec(t.Context(), "INSERT INTO seats (id) VALUES (3)")
	o.NoErr(err)
}
