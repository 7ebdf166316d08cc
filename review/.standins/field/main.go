package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// Exit codes.
const (
	held   = 0
	broken = 1
	notRun = 2
)

const service = "billet-db"

// play is what a case has to work with.
type play struct {
	rec      *record
	store    *store
	group    *group
	backends []*backend
	fleet    *fleet
	trouble  bool
}

func main() {
	name := flag.String("case", "", "the case to play")
	path := flag.String("record", "record.txt", "where to write what was sent, run and answered")
	flag.Parse()
	os.Exit(run1(*name, *path, os.Getenv("TROUBLE") != "0"))
}

func run1(name, path string, trouble bool) int {
	cases := map[string]func(*play) (int, error){"text": playText, "forget": playForget}
	f := cases[name]
	if f == nil {
		fmt.Fprintln(os.Stderr, "field: unknown case", name)
		return notRun
	}
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "field:", err)
		return notRun
	}
	defer rec.close()
	p, err := prepare(rec, trouble)
	if err == nil {
		defer os.RemoveAll(p.fleet.dir)
		defer p.fleet.kill()
		var code int
		if code, err = f(p); err == nil {
			return code
		}
	}
	rec.line("the case could not be run: %v", err)
	fmt.Fprintln(os.Stderr, "field:", err)
	return notRun
}

// prepare starts the stand-ins and the proxies, one in each of three zones.
func prepare(rec *record, trouble bool) (*play, error) {
	rec.line("trouble: %v", trouble)
	g := newGroup(service, rec)
	s, address, err := startStore(g)
	if err != nil {
		return nil, err
	}
	g.store = s
	p := &play{rec: rec, store: s, group: g, trouble: trouble}
	zones := []string{"vejle-hal", "aarhus-hal", "skjern-hal"}
	for i, zone := range zones {
		b, err := g.add(fmt.Sprintf("i-%d%d%d%d", i+1, i+2, i+3, i+4), zone)
		if err != nil {
			return nil, err
		}
		p.backends = append(p.backends, b)
	}
	go g.run()
	s.write("config", "main", map[string]any{
		"version": 7,
		"routes": []map[string]any{
			{"name": "r-1", "host": "pladser", "path_prefix": "/", "route_type": "primary", "timeout_ms": 1000, "objective_ms": 200, "priority": 1, "service": service, "max_attempts": 2},
		},
		"services": []map[string]any{{"name": service, "health_path": "/health", "max_conns": maxConns, "protocol": "h1", "tls": false, "sync_replicas": 1}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "tx_idle_ms": 3000},
	})
	dir, err := os.MkdirTemp("", "field-")
	if err != nil {
		return nil, err
	}
	if p.fleet, err = newFleet(dir, address, zones...); err != nil {
		return nil, err
	}
	if err := p.fleet.start(); err != nil {
		return nil, err
	}
	if err := p.fleet.awaitReady(20 * time.Second); err != nil {
		p.fleet.kill()
		return nil, err
	}
	rec.line("all proxies are ready")
	time.Sleep(3 * time.Second) // the fleet has found itself
	return p, nil
}
