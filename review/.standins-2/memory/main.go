// Command memory starts three processes of the fleet before stand-ins. Sessions, a third of them
// at each process, read one answer of a few rows each and rest. The stand-in of the platform kills
// a process whose memory exceeds memory_mb, and starts it again, as the pages say.
package main

import (
	"bufio"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"basildale.example/basildale/platform/faker"
)

const (
	machines    = 3
	sessions    = 99 // at each machine
	memoryMB    = 284
	rowsOfRead  = 3
	largeRow    = 1_000_000
	smallRow    = 100
	rounds      = 3
	rest        = 5 * time.Second
	restartWait = 500 * time.Millisecond
	pace        = 150 * time.Millisecond // between two sessions' statements at a machine
	service     = "billet"
	database    = "timetable"
)

type world struct {
	mu     sync.Mutex
	record *os.File
	dir    string
	binary string
	began  time.Time
	ends   [machines]int
}

func main() { os.Exit(run()) }

func (w *world) say(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%7.3f %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

func run() int {
	record, err := os.Create("record.txt")
	if err != nil {
		return 2
	}
	defer record.Close()
	dir, err := os.MkdirTemp("", "memory")
	if err != nil {
		return 2
	}
	defer os.RemoveAll(dir)
	w := &world{record: record, dir: dir, binary: os.Args[1], began: time.Now()}
	size := largeRow
	if os.Getenv("TROUBLE") == "0" {
		size = smallRow
	}
	p := &faker.Platform{}
	if err := p.Start(); err != nil {
		w.say("platform: %v", err)
		return 2
	}
	defer p.Stop()
	if err := setUp(p, size); err != nil {
		w.say("backends: %v", err)
		return 2
	}
	w.say("%d machines, %d sessions each, answers of %d rows of %d bytes, memory_mb %d", machines, sessions, rowsOfRead, size, memoryMB)
	var all sync.WaitGroup
	var failed atomic.Bool
	for i := range machines {
		all.Go(func() {
			if err := w.play(i, p.Address()); err != nil {
				w.say("machine %d: %v", i, err)
				failed.Store(true)
			}
		})
	}
	all.Wait()
	broken := 0
	for i, n := range w.ends {
		w.say("machine %d: its process ended %d times over memory_mb", i, n)
		if n >= 3 {
			broken++
		}
	}
	switch {
	case broken >= 2:
		w.say("broken: on %d of %d machines in use a process ended by itself three times", broken, machines)
		return 1
	case failed.Load():
		return 2
	default:
		w.say("held")
		return 0
	}
}

// setUp writes the configuration and starts the backends.
func setUp(p *faker.Platform, size int) error {
	signed := &atomic.Int64{}
	for i, zone := range []string{"vejle-hal", "aarhus-hal", "skjern-hal"} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		b := &backend{id: fmt.Sprintf("i-%d", i), leads: i == 0, rows: rowsOfRead, row: strings.Repeat("x", size), ln: ln, signed: signed, service: service}
		go b.serve()
		p.Write("servers", b.id, faker.Entry(service, ln.Addr().(*net.TCPAddr).AddrPort(), zone, b.leads, false))
	}
	p.Write("config", "main", map[string]any{
		"version": 3,
		"routes": []map[string]any{{
			"name": "r-1", "host": database, "route_type": "bounded_staleness", "service": service, "timeout_ms": 3000, "objective_ms": 800,
			"priority": 2, "max_staleness_ms": 1500,
		}},
		"services": []map[string]any{{"name": service, "max_conns": 34, "sync_replicas": 1}},
		"limits":   map[string]any{"tx_idle_ms": 3000},
	})
	return nil
}

// play plays one machine: as many runs of the process as the platform has to start, three at most.
func (w *world) play(i int, platform netip.AddrPort) error {
	at, err := freePorts(i, 4)
	if err != nil {
		return err
	}
	file := filepath.Join(w.dir, fmt.Sprintf("boot-%d.yaml", i))
	settings := strings.Join([]string{
		fmt.Sprintf("name: front-%d", i), "zone: " + []string{"vejle-hal", "aarhus-hal", "skjern-hal"}[i], "workspace: platform", "wire: lines", "listen: " + at[0], "ready: " + at[1],
		"peers: " + at[2], "carry: " + at[2], "operators: " + at[3], "platform:", "  - " + platform.String(), "orders: " + platform.String(),
		"processor: 0.4", "stop: 6s", "leave: 7000ms", "rules: [base,drain,config,cost,recover,sql,platform]", "log: info", "",
	}, "\n")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return err
	}
	for range rounds {
		killed, err := w.round(i, file, at[0])
		if err != nil {
			return err
		}
		if !killed {
			continue
		}
		w.mu.Lock()
		w.ends[i]++
		w.mu.Unlock()
		time.Sleep(restartWait)
	}
	return nil
}

// round starts the process, lets all sessions read and rest, and ends the process. It reports
// whether the platform had to kill it.
func (w *world) round(i int, file, callers string) (bool, error) {
	log, err := os.Create(file + ".log")
	if err != nil {
		return false, err
	}
	defer log.Close()
	cmd := exec.Command(w.binary, "serve")
	cmd.Env = append(os.Environ(), "BASILDALE_SETTINGS="+file, "GOMAXPROCS=1") // a machine has one core
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return false, err
	}
	ended := make(chan struct{})
	defer func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		close(ended)
	}()
	var killed atomic.Bool
	go func() {
		for {
			select {
			case <-ended:
				return
			case <-time.After(20 * time.Millisecond):
			}
			if m := rss(cmd.Process.Pid); m > memoryMB && !killed.Swap(true) {
				w.say("machine %d: %d MB are over memory_mb; the platform kills the process", i, m)
				_ = cmd.Process.Kill()
			}
		}
	}()
	var open []*session
	defer func() {
		for _, s := range open {
			s.conn.Close()
		}
	}()
	for n := range sessions {
		time.Sleep(pace)
		s, err := connect(callers, 10*time.Second)
		if killed.Load() {
			return true, nil
		}
		if err != nil {
			return false, err
		}
		open = append(open, s)
		bytes, err := s.ask(fmt.Sprintf("QUERY r%d-%d READ departures", i, n))
		for err != nil && !killed.Load() && strings.Contains(err.Error(), "CONGESTED") {
			time.Sleep(200 * time.Millisecond)
			bytes, err = s.ask(fmt.Sprintf("QUERY r%d-%d READ departures", i, n))
		}
		if killed.Load() {
			return true, nil
		}
		if err != nil {
			return false, err
		}
		w.say("machine %d: session %d sent QUERY r%d-%d READ departures, answered with %d bytes; the process has %d MB", i, n+1, i, n, bytes, rss(cmd.Process.Pid))
	}
	for end := time.Now().Add(rest); time.Now().Before(end) && !killed.Load(); {
		time.Sleep(100 * time.Millisecond)
	}
	w.say("machine %d: all sessions rest: %d MB", i, rss(cmd.Process.Pid))
	return killed.Load(), nil
}

// freePorts returns free ports of an address that is a machine's alone, so that no connection of
// another machine or a client takes them before the process does.
func freePorts(machine, n int) ([]string, error) {
	ip := fmt.Sprintf("127.%d.%d.%d", 2+os.Getpid()>>8&0x7f, os.Getpid()&0xff, 10+machine)
	var out []string
	for range n {
		ln, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer ln.Close()
		out = append(out, ln.Addr().(*net.TCPAddr).AddrPort().String())
	}
	return out, nil
}

type session struct {
	conn net.Conn
	in   *bufio.Reader
}

func connect(at string, within time.Duration) (*session, error) {
	var last error
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		conn, err := net.Dial("tcp", at)
		if err != nil {
			last = err
			continue
		}
		s := &session{conn, bufio.NewReader(conn)}
		_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
		fmt.Fprintf(conn, "CONNECT %s u1\r\n", database)
		line, err := s.in.ReadString('\n')
		if err == nil && strings.HasPrefix(line, "READY") {
			return s, nil
		}
		last = fmt.Errorf("greeting %q: %w", line, err)
		conn.Close()
	}
	return nil, last
}

// ask sends a statement and returns the size of its answer.
func (s *session) ask(query string) (int, error) {
	_ = s.conn.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := fmt.Fprint(s.conn, query+"\r\n"); err != nil {
		return 0, err
	}
	n, refused := 0, ""
	for {
		line, err := s.in.ReadString('\n')
		n += len(line)
		switch {
		case err != nil:
			return n, err
		case strings.HasPrefix(line, "ERROR"):
			refused = strings.TrimSpace(line)
		case strings.HasPrefix(line, "READY") && refused != "":
			return n, fmt.Errorf("%s", refused)
		case strings.HasPrefix(line, "READY"):
			return n, nil
		}
	}
}

func rss(pid int) int {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid)) // empty once it has ended
	for _, line := range strings.Split(string(text), "\n") {
		var kb int
		if n, _ := fmt.Sscanf(line, "VmRSS: %d kB", &kb); n == 1 {
			return kb / 1024
		}
	}
	return 0
}
