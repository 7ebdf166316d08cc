package main

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"
)

// patience is how long a caller waits for an answer.
const patience = 4 * time.Second

// caller is one session.
type caller struct {
	rec  *record
	name string
	to   *process
	conn net.Conn
	in   *bufio.Reader
	n    int
}

// reply is the answer to one statement. Lost means that there was none.
type reply struct {
	lost bool
	rows []string
	code string
	text string
}

func (r reply) String() string {
	switch {
	case r.lost:
		return "no answer"
	case r.code != "":
		return "ERROR " + r.code + " " + r.text
	default:
		return "COMPLETE, rows " + strconv.QuoteToASCII(strings.Join(r.rows, "|"))
	}
}

func (r reply) ok() bool { return !r.lost && r.code == "" }

// open begins a session at a process.
func open(rec *record, name string, to *process, database string) (*caller, error) {
	conn, err := net.DialTimeout("tcp", to.front, time.Second)
	if err != nil {
		return nil, err
	}
	c := &caller{rec: rec, name: name, to: to, conn: conn, in: bufio.NewReaderSize(conn, 64<<10)}
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := fmt.Fprintf(conn, "CONNECT %s %s\r\n", database, name); err != nil {
		c.close()
		return nil, err
	}
	line, err := c.in.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "READY") {
		c.close()
		return nil, fmt.Errorf("session refused: %q %v", line, err)
	}
	return c, nil
}

func (c *caller) close() { _ = c.conn.Close() }

// ask sends a statement and reads its answer. It returns the id of the request too.
func (c *caller) ask(text string) (string, reply) {
	c.n++
	id := fmt.Sprintf("%s.%04d", c.name, c.n)
	c.rec.sending(c.to.name, id, text)
	_ = c.conn.SetDeadline(time.Now().Add(patience))
	r := c.exchange(id, text)
	c.rec.answered(id, r)
	return id, r
}

func (c *caller) exchange(id, text string) reply {
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return reply{lost: true}
	}
	var r reply
	for {
		line, err := c.in.ReadString('\n')
		if err != nil {
			return reply{lost: true}
		}
		word, rest, _ := strings.Cut(strings.TrimRight(line, "\r\n"), " ")
		switch word {
		case "ROW":
			r.rows = append(r.rows, rest)
		case "ERROR":
			r.code, r.text, _ = strings.Cut(rest, " ")
		case "READY":
			return r
		}
	}
}
