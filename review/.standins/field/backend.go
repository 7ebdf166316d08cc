package main

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"
)

// backend is one copy of a group's data. The fields after slots are guarded by the group's lock.
type backend struct {
	id, zone string
	group    *group
	ln       net.Listener
	slots    chan struct{}

	log   []commit
	held  uint64 // receives nothing until a primary of this term
	down  bool
	deaf  bool            // receives nothing for a while
	cut   map[string]bool // callers, by name, that it is partitioned from
	conns map[net.Conn]bool
}

// add starts a backend of a group.
func (g *group) add(id, zone string) (*backend, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &backend{id: id, zone: zone, group: g, ln: ln, slots: make(chan struct{}, slots), cut: map[string]bool{}, conns: map[net.Conn]bool{}}
	g.mu.Lock()
	g.backends = append(g.backends, b)
	if g.primary == nil {
		g.primary = b
	}
	g.mu.Unlock()
	go b.accept()
	b.beat()
	return b, nil
}

// beat sends a heartbeat to the store.
func (b *backend) beat() {
	b.group.mu.Lock()
	role := "replica"
	if b == b.group.primary {
		role = "primary"
	}
	down := b.down
	b.group.mu.Unlock()
	if down {
		return
	}
	b.group.store.beat(b.id, map[string]any{
		"service": b.group.name, "address": b.ln.Addr().String(), "zone": b.zone, "version": "v1", "slots": slots,
		"state": "ready", "cold_left_ms": 0, "db_role": role, "seq": 1,
	})
}

// crash ends a backend for good: connections are reset and new ones refused.
func (b *backend) crash() {
	b.group.mu.Lock()
	b.down = true
	b.group.signal()
	conns := b.conns
	b.conns = map[net.Conn]bool{}
	b.group.mu.Unlock()
	_ = b.ln.Close()
	for c := range conns {
		_ = c.Close()
	}
}

// setDeaf keeps the primary's log from a replica, or ends that.
func (b *backend) setDeaf(deaf bool) {
	b.group.mu.Lock()
	defer b.group.mu.Unlock()
	b.deaf = deaf
}

// partition cuts a backend off from one caller, or ends that. What is sent meanwhile is lost.
func (b *backend) partition(caller string, cut bool) {
	b.group.mu.Lock()
	defer b.group.mu.Unlock()
	b.cut[caller] = cut
}

func (b *backend) isCut(caller string) bool {
	b.group.mu.Lock()
	defer b.group.mu.Unlock()
	return b.cut[caller]
}

// end returns the position at which the log ends. The caller holds the lock.
func (b *backend) end() mark {
	if len(b.log) == 0 {
		return mark{}
	}
	return b.log[len(b.log)-1].mark
}

// applied returns the applied part of the log. The caller holds the lock.
func (b *backend) applied() []commit {
	n := len(b.log)
	for b != b.group.primary && n > 0 && time.Since(b.log[n-1].at) < application {
		n--
	}
	return b.log[:n]
}

func (b *backend) leads() bool {
	b.group.mu.Lock()
	defer b.group.mu.Unlock()
	return b.group.primary == b
}

func (b *backend) accept() {
	for {
		c, err := b.ln.Accept()
		if err != nil {
			return
		}
		go (&peer{b: b, conn: c, gone: make(chan struct{})}).serve()
	}
}

// peer is one connection to a backend.
type peer struct {
	b        *backend
	conn     net.Conn
	who      string
	gone     chan struct{}
	values   map[string]string
	prepared map[string]string // kind and shape, by name
	tx       *transaction
}

type transaction struct {
	readOnly, failed bool
	writes           map[string]string
}

func (p *peer) serve() {
	lines := make(chan string, 64)
	go func() {
		defer close(p.gone)
		defer close(lines)
		in := bufio.NewReaderSize(p.conn, 64<<10)
		for {
			line, err := in.ReadString('\n')
			if err != nil {
				return
			}
			lines <- strings.TrimSuffix(strings.TrimSuffix(line, "\n"), "\r")
		}
	}()
	defer func() {
		_ = p.conn.Close()
		p.b.group.mu.Lock()
		delete(p.b.conns, p.conn)
		p.b.group.mu.Unlock()
		for range lines { //nolint:revive // lets the reader end
		}
	}()
	hello, ok := <-lines
	if !ok || !p.greet(strings.Fields(hello)) {
		return
	}
	for line := range lines {
		if p.b.isCut(p.who) {
			continue // lost in the partition
		}
		if !p.message(line) {
			return
		}
	}
}

func (p *peer) greet(f []string) bool {
	if len(f) < 3 || f[0] != "CONNECT" {
		return false
	}
	p.who = f[2]
	if p.b.isCut(p.who) {
		<-p.gone
		return false
	}
	time.Sleep(12 * time.Millisecond)
	g := p.b.group
	g.mu.Lock()
	code := ""
	switch {
	case f[1] != g.name, len(f) > 3 && f[3] != p.b.id:
		code = "WRONGNODE"
	case len(p.b.conns) >= maxConns:
		code = "OVERLOAD"
	default:
		p.b.conns[p.conn] = true
	}
	g.mu.Unlock()
	if code != "" {
		p.send("ERROR " + code + " " + p.b.id + "\r\n")
		return false
	}
	p.send(p.ready())
	return true
}

func (p *peer) send(text string) { _, _ = p.conn.Write([]byte(text)) }

func (p *peer) ready() string {
	state := "I"
	if p.tx != nil {
		state = "T"
		if p.tx.failed {
			state = "E"
		}
	}
	p.b.group.mu.Lock()
	defer p.b.group.mu.Unlock()
	at := mark{}
	if log := p.b.applied(); len(log) > 0 {
		at = log[len(log)-1].mark
	}
	if at == (mark{}) {
		return "READY " + state + " -\r\n"
	}
	return "READY " + state + " " + at.String() + "\r\n"
}

func (p *peer) message(line string) bool {
	word, rest, _ := strings.Cut(line, " ")
	if word != "QUERY" {
		return false
	}
	id, text, _ := strings.Cut(rest, " ")
	rows, signature, code := p.run(id, text)
	if p.b.isCut(p.who) {
		return true // the answer is lost in the partition
	}
	var out strings.Builder
	for _, r := range rows {
		out.WriteString("ROW " + r + "\r\n")
	}
	if code != "" {
		if p.tx != nil && code != "CONGESTED" {
			p.tx.failed = true
		}
		out.WriteString("ERROR " + code + " " + p.b.id + "\r\n")
	} else {
		out.WriteString("COMPLETE " + signature + "\r\n")
	}
	p.send(out.String() + p.ready())
	return true
}

func (p *peer) run(id, text string) (rows []string, signature, code string) {
	if rest, ok := strings.CutPrefix(text, "SINCE "); ok {
		var since string
		since, text, _ = strings.Cut(rest, " ")
		if !p.hasApplied(since) {
			return nil, "", "LAGGING"
		}
	}
	verb, rest, _ := strings.Cut(text, " ")
	if p.tx != nil && p.tx.failed && verb != "ROLLBACK" && verb != "COMMIT" {
		return nil, "", "MALFORMED"
	}
	switch verb {
	case "BEGIN":
		if rest != "READ" && !p.b.leads() {
			return nil, "", "READONLY"
		}
		p.tx = &transaction{readOnly: rest == "READ", writes: map[string]string{}}
	case "COMMIT":
		return p.commit(id, text)
	case "ROLLBACK":
		p.tx = nil
	case "READ", "WRITE":
		return p.statement(id, text, verb == "WRITE", rest)
	case "EXECUTE":
		name, arguments, _ := strings.Cut(rest, " ")
		kind, ok := p.prepared[name]
		if !ok {
			return nil, "", "NOSTMT"
		}
		return p.statement(id, text, strings.HasPrefix(kind, "WRITE "), arguments)
	case "SET":
		name, value, _ := strings.Cut(rest, " ")
		if p.values == nil {
			p.values = map[string]string{}
		}
		p.values[name] = value
	case "PREPARE":
		name, kind, _ := strings.Cut(rest, " ")
		if p.prepared == nil {
			p.prepared = map[string]string{}
		}
		p.prepared[name] = kind
	case "RESET":
		p.values, p.prepared = nil, nil
	case "STATUS", "SUSPEND", "RESUME", "DEMOTE":
		return p.order(verb, rest)
	default:
		return nil, "", "MALFORMED"
	}
	return nil, "-", ""
}

// order runs a command that concerns the backend as a whole, and returns its state.
func (p *peer) order(verb, rest string) (rows []string, signature, code string) {
	g, b := p.b.group, p.b
	term, _ := strconv.ParseUint(rest, 10, 64) // only SUSPEND and DEMOTE have one
	if verb == "DEMOTE" {
		g.demote(b, term)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case verb == "SUSPEND" && term > g.term && b != g.primary:
		b.held = term
	case verb == "RESUME":
		b.held = 0
	}
	role := "replica"
	if b == g.primary {
		role = "primary"
	}
	if verb != "STATUS" {
		g.rec.line("%s gets %s %s", b.id, verb, rest)
	}
	return []string{fmt.Sprintf("%s %d %s %d %d %d %d", role, g.term, b.end(), b.held, 0, len(b.slots), len(b.conns))}, "-", ""
}

func (p *peer) hasApplied(since string) bool {
	term, number, _ := strings.Cut(since, ".")
	t, _ := strconv.ParseUint(term, 10, 64)
	n, _ := strconv.ParseUint(number, 10, 64)
	p.b.group.mu.Lock()
	defer p.b.group.mu.Unlock()
	log := p.b.applied()
	return len(log) > 0 && !log[len(log)-1].mark.less(mark{t, n})
}

// statement runs a read or a write.
func (p *peer) statement(id, text string, writes bool, arguments string) (rows []string, signature, code string) {
	if (writes || p.tx != nil && !p.tx.readOnly) && !p.b.leads() {
		return nil, "", "READONLY"
	}
	p.b.group.rec.ran(p.b.id, p.who, id, text)
	p.b.slots <- struct{}{}
	time.Sleep(work)
	<-p.b.slots
	item, data, _ := strings.Cut(arguments, " ")
	switch {
	case !writes:
		row := p.value(item)
		p.b.group.rec.returned(id, row)
		return []string{row}, p.sign(id), ""
	case p.tx != nil:
		p.tx.writes[item] = data
		return nil, p.sign(id), ""
	case !p.b.group.commit(p.b, id, map[string]string{item: data}, p.gone):
		return nil, "", "FAILED"
	}
	return nil, p.sign(id), ""
}

func (p *peer) commit(id, text string) (rows []string, signature, code string) {
	tx := p.tx
	p.tx = nil
	switch {
	case tx == nil:
		return nil, "", "MALFORMED"
	case tx.failed:
		return nil, "", "ABORTED"
	case len(tx.writes) == 0:
		return nil, p.sign(id), ""
	}
	p.b.group.rec.ran(p.b.id, p.who, id, text)
	if !p.b.group.commit(p.b, id, tx.writes, p.gone) {
		return nil, "", "FAILED"
	}
	return nil, p.sign(id), ""
}

func (p *peer) sign(id string) string { return "s." + id + "." + p.b.id }

// value returns what the log says of an item, with what the open transaction has written.
func (p *peer) value(item string) string {
	if p.tx != nil {
		if v, ok := p.tx.writes[item]; ok {
			return v
		}
	}
	p.b.group.mu.Lock()
	defer p.b.group.mu.Unlock()
	log := p.b.applied()
	for i := len(log) - 1; i >= 0; i-- {
		if v, ok := log[i].writes[item]; ok {
			return v
		}
	}
	return "none"
}
