package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
)

// backend is a backend whose log doesn't grow: it answers reads, and what the system asks itself.
type backend struct {
	id      string
	leads   bool
	rows    int
	row     string
	ln      net.Listener
	signed  *atomic.Int64
	service string
}

func (b *backend) serve() {
	for {
		conn, err := b.ln.Accept()
		if err != nil {
			return
		}
		go b.session(conn)
	}
}

func (b *backend) session(conn net.Conn) {
	defer conn.Close()
	in, out := bufio.NewReader(conn), bufio.NewWriter(conn)
	state := "I"
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		word, rest, _ := strings.Cut(strings.TrimSuffix(line, "\r\n"), " ")
		switch word {
		case "CONNECT":
			if f := strings.Split(rest, " "); f[0] != b.service || len(f) > 2 && f[2] != b.id {
				fmt.Fprintf(conn, "ERROR WRONGNODE %s\r\n", b.id)
				return
			}
		case "QUERY":
			_, text, _ := strings.Cut(rest, " ")
			state = b.answer(out, text, state)
		default:
			return
		}
		fmt.Fprintf(out, "READY %s 1.1\r\n", state)
		if out.Flush() != nil {
			return
		}
	}
}

// answer answers a statement and returns the state after it.
func (b *backend) answer(out *bufio.Writer, text, state string) string {
	if after, ok := strings.CutPrefix(text, "SINCE "); ok {
		_, text, _ = strings.Cut(after, " ")
	}
	verb, rest, _ := strings.Cut(text, " ")
	switch verb {
	case "BEGIN":
		if rest != "READ" && !b.leads {
			fmt.Fprintf(out, "ERROR READONLY %s\r\n", b.id)
			return state
		}
		state = "T"
	case "COMMIT":
		fmt.Fprintf(out, "COMPLETE s.%d\r\n", b.signed.Add(1))
		return "I"
	case "ROLLBACK":
		state = "I"
	case "READ":
		for range b.rows {
			fmt.Fprintf(out, "ROW %s\r\n", b.row)
		}
		fmt.Fprintf(out, "COMPLETE s.%d\r\n", b.signed.Add(1))
		return state
	case "STATUS", "RESUME", "SUSPEND", "DEMOTE":
		role := "replica"
		if b.leads {
			role = "primary"
		}
		fmt.Fprintf(out, "ROW %s 1 1.1 0 0 0 1\r\n", role)
	}
	fmt.Fprint(out, "COMPLETE -\r\n")
	return state
}
