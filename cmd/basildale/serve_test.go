package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/matryer/is"

	"basildale.example/basildale/internal/faker/upstream"
	"basildale.example/basildale/relayer"
)

// settings is a process without a platform, on ports of the system's choosing.
const settings = `name: alone
zone: vejle-hal
workspace: damplinjerne
listen: 127.0.0.1:0
peers: 127.0.0.1:0
operators: 127.0.0.1:0
groups:
  - name: billet-db-1
    upstreams:
%s
callers:
  - {name: kiosk, tenant: damplinjerne, verifier: "%s", groups: [billet-db-1]}
`

// writeSettings writes the settings of a process before a group.
func writeSettings(t *testing.T, group *upstream.Group) string {
	t.Helper()
	is := is.New(t)
	verifier, err := relayer.NewVerifier("example")
	is.NoErr(err)
	var list strings.Builder
	for i, a := range group.Addrs() {
		fmt.Fprintf(&list, "      - {name: u%d, zone: vejle-hal, address: \"%s\", connections: 35}\n", i, a)
	}
	file := filepath.Join(t.TempDir(), "alone.yaml")
	is.NoErr(os.WriteFile(file, []byte(fmt.Sprintf(settings, list.String(), verifier)), 0o600))
	return file
}

// ready is the line that serve logs once callers can connect.
type ready struct {
	Message   string `json:"msg"`
	Callers   string `json:"callers"`
	Operators string `json:"operators"`
}

func awaitReady(t *testing.T, log io.Reader) ready {
	t.Helper()
	lines := bufio.NewScanner(log)
	for lines.Scan() {
		var r ready
		if json.Unmarshal(lines.Bytes(), &r) == nil && r.Message == "serve: ready" {
			go func() { _, _ = io.Copy(io.Discard, log) }()
			return r
		}
	}
	t.Fatal("the process ended before it was ready")
	return ready{}
}

func TestServeBooksAnswersOperatorsAndDrains(t *testing.T) {
	is := is.New(t)
	group, err := upstream.NewGroup(upstream.Options{Size: 3, Setup: "CREATE TABLE seats (id int PRIMARY KEY, holder text)"})
	is.NoErr(err)
	defer group.Close()
	log, logged := io.Pipe()
	ended := make(chan int, 1)
	go func() {
		ended <- run(context.Background(), []string{"serve", writeSettings(t, group)}, logged, io.Discard)
		_ = logged.Close()
	}()
	r := awaitReady(t, log)

	c, err := pgx.Connect(t.Context(), "postgres://kiosk:example@"+r.Callers+"/billet-db-1?sslmode=disable")
	is.NoErr(err)
	_, err = c.Exec(t.Context(), "INSERT INTO seats (id, holder) VALUES ($1, $2)", 7, "Karen")
	is.NoErr(err)
	var holder string
	is.NoErr(c.QueryRow(t.Context(), "SELECT holder FROM seats WHERE id = $1", 7).Scan(&holder))
	is.Equal(holder, "Karen") // its own write, wherever the read went

	code, stdout, _ := command(t, "status", r.Operators)
	is.Equal(code, exitDone)
	is.True(strings.Contains(stdout, "alone in vejle-hal"))
	is.True(strings.Contains(stdout, "primary"))
	code, stdout, _ = command(t, "explain", "-o", "json", r.Operators, "--group", "billet-db-1")
	is.Equal(code, exitDone)
	is.True(strings.Contains(stdout, "billet-db-1")) // at least one decision

	var out bytes.Buffer
	is.Equal(run(t.Context(), []string{"drain", "--wait", r.Operators}, &out, io.Discard), exitDone)
	is.True(strings.HasSuffix(out.String(), ": gone\n"))
	is.Equal(<-ended, exitDone)
}
