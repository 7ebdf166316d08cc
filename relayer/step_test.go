package relayer

import (
	"context"
	"net"
	"net/netip"
	"runtime"
	"strings"
	"testing"

	"github.com/matryer/is"

	"basildale.example/basildale/adapter/dialer"
	"basildale.example/basildale/framer"
)

// replier is an upstream whose answers are given beforehand, one for each simple query and
// each Sync. Statements of the proxy's own are answered as they should be.
type replier struct {
	listener net.Listener
	conn     chan net.Conn
	replies  []string
}

func newReplier(t *testing.T, replies ...string) *replier {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &replier{listener: l, conn: make(chan net.Conn, 1), replies: replies}
	t.Cleanup(func() { l.Close() })
	go r.serve()
	return r
}

func (r *replier) serve() {
	c, err := r.listener.Accept()
	if err != nil {
		return
	}
	defer c.Close()
	var buf []byte
	part := make([]byte, 1<<12)
	started := false
	for {
		n, err := c.Read(part)
		if err != nil {
			return
		}
		buf = append(buf, part[:n]...)
		if !started {
			if _, n, _ = framer.CutStartup(buf); n > 0 {
				started, buf = true, buf[n:]
				_, _ = c.Write([]byte(packet('R', "\x00\x00\x00\x00") + idle))
				r.conn <- c
			}
			continue
		}
		for {
			f, n, _ := framer.Cut(buf, 0)
			if n == 0 {
				break
			}
			_, _ = c.Write([]byte(r.reply(f)))
			buf = buf[n:]
		}
	}
}

func (r *replier) reply(f framer.Frame) string {
	if f.Type != 'Q' && f.Type != 'S' {
		return ""
	}
	if f.Type == 'Q' && strings.HasPrefix(string(f.Body()), "SET basildale.") {
		return complete("SET") + idle
	}
	if len(r.replies) == 0 {
		return ""
	}
	reply := r.replies[0]
	r.replies = r.replies[1:]
	return reply
}

// The messages of the answers.
var (
	idle = packet('Z', "I")
	open = packet('Z', "T")
)

func packet(kind byte, body string) string {
	b := append([]byte{kind, 0, 0, 0, 0}, body...)
	putLength(b, 0)
	return string(b)
}

func complete(tag string) string { return packet('C', tag+"\x00") }

func rows(value string) string {
	return packet('T', "\x00\x00") + string(appendRow(nil, value)) + complete("SELECT 1")
}

func query(text string) string { return packet('Q', text+"\x00") }

// stepped is a session with one connection to a replier.
type stepped struct {
	session *Session
	caller  *script
	conn    *dialer.Conn
	up      net.Conn // the upstream's end
	healthy bool     // the connection was given back for others
}

func newStepped(t *testing.T, replies ...string) *stepped {
	t.Helper()
	r := newReplier(t, replies...)
	conn, err := (&dialer.Dialer{User: "u"}).Dial(t.Context(), netip.MustParseAddrPort(r.listener.Addr().String()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(conn.Close)
	s := &stepped{conn: conn, up: <-r.conn, caller: &script{in: []byte(startupPacket)}}
	up := NewUpstream(conn)
	relay := closedRelay()
	relay.Route = func(context.Context, *Request) (Target, *Refusal) {
		return Target{Address: conn.Address(), Primary: true}, nil
	}
	relay.Acquire = func(context.Context, Target, *Request) (*Upstream, *Refusal) { return up, nil }
	relay.Release = func(_ Target, _ *Upstream, healthy bool) { s.healthy = healthy }
	s.session = relay.Open(s.caller)
	s.session.work()
	return s
}

// send hands in what the caller sends and returns what it is answered.
func (s *stepped) send(in string) string {
	s.caller.in, s.caller.out = []byte(in), nil
	s.session.work()
	return string(s.caller.out)
}

// Guards against a second answer that is taken for that of the transaction's next statement.
func TestSecondAnswerIsNotThatOfTheNextStatement(t *testing.T) {
	first := complete("INSERT 0 1") + open
	for _, test := range []struct {
		name  string
		reply string
		late  string
	}{
		{"at once", first + first, ""},
		{"late", first, first},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := newStepped(t, complete("BEGIN")+open, test.reply, rows("new")+open)
			is.True(strings.HasSuffix(s.send(query("BEGIN")), open))
			is.Equal(s.send(query("INSERT INTO seats VALUES (1)")), first)
			if test.late != "" {
				_, err := s.up.Write([]byte(test.late))
				is.NoErr(err)
				for s.conn.Alive() {
					runtime.Gosched()
				}
			}
			answer := s.send(query("INSERT INTO seats VALUES (2)"))
			is.True(strings.Contains(answer, "CBD100\x00")) // not run
			is.True(strings.HasSuffix(answer, packet('Z', "E")))
			is.True(!s.healthy)
		})
	}
}

// Guards against a setting of the proxy that reaches the upstream by a spelling that only the
// upstream reads as its name.
func TestOwnSettingIsKnownInEverySpelling(t *testing.T) {
	for _, name := range []string{
		"basildale/* /* */ */.term",
		"basildale--\r.term",
		"basildale--x\r\n.term",
		"basildale\v.term",
		"basildale . /**/ term",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newStepped(t, complete("SET")+idle)
			is.True(strings.Contains(s.send(query("SET "+name+" TO '9.9'")), "CBD102\x00"))
		})
	}
}

// Guards against a startup parameter that sets the proxy's own settings at the upstream.
func TestOwnSettingInStartupIsKnownInEveryCase(t *testing.T) {
	for _, parameter := range []string{"BASILDALE.term\x009.9", "options\x00-c Basildale.term=9.9"} {
		t.Run(parameter, func(t *testing.T) {
			is := is.New(t)
			body := "\x00\x03\x00\x00user\x00u\x00" + parameter + "\x00\x00"
			c := &script{in: []byte("\x00\x00\x00" + string(rune(len(body)+4)) + body)}
			s := closedRelay().Open(c)
			s.work()
			is.True(strings.Contains(string(c.out), "C42704\x00")) // no such setting
			is.Equal(len(s.settings.list), 0)
		})
	}
	is := is.New(t)
	s := newStepped(t)
	is.Equal(s.send(query("SET BASILDALE.Class TO lookup")), complete("SET")+idle)
	is.Equal(s.session.notes.Class, Lookup)
}

// Guards against an answer of another statement that is taken for the unit's own.
func TestAnswerOutOfStepIsNobodys(t *testing.T) {
	marked := complete("INSERT 0 1") + string(parameterStatus(nil, markParameter, "1.0/7")) + idle
	insert := query("INSERT INTO seats VALUES (1)")
	batch := packet('P', "\x00SELECT 1\x00\x00\x00") + packet('B', "\x00\x00\x00\x00\x00\x00\x00\x00") +
		packet('E', "\x00\x00\x00\x00\x00") + packet('S', "")
	for _, test := range []struct {
		name   string
		before string // what the caller sends first
		first  string // and its answer
		send   string
		answer string
		code   string
	}{
		{"end without an answer", "", "", query("SELECT 1"), idle, "08007"},
		{"end of a cut form", "", "", query("SELECT 1"), rows("a") + packet('Z', ""), "08007"},
		{"end in an unknown state", "", "", query("SELECT 1"), rows("a") + packet('Z', "X"), "08007"},
		{"read answered as a write", "", "", query("SELECT 1"), complete("INSERT 0 1") + idle, "08007"},
		{"read that begins a transaction", "", "", query("SELECT 1"), rows("a") + open, "08007"},
		{"half of two reads", "", "", query("SELECT 1; SELECT 2"), rows("a") + idle, "08007"},
		{"write answered as a read", "", "", insert, rows("a") + idle, "08007"},
		{"write with a mark seen before", insert, marked, insert, marked, "08007"},
		{"begin without a transaction", "", "", query("BEGIN"), complete("BEGIN") + idle, "08007"},
		{"commit that leaves it open", query("BEGIN"), complete("BEGIN") + open, query("COMMIT"), complete("COMMIT") + open, "08007"},
		{"commit answered as a write", query("BEGIN"), complete("BEGIN") + open, query("COMMIT"), complete("INSERT 0 1") + idle, "08007"},
		{"statement after which no transaction is open", query("BEGIN"), complete("BEGIN") + open, query("SELECT 1"), rows("a") + idle, "BD100"},
		{"something after an error", "", "", query("SELECT 1"), string((&fault{code: "42P01"}).append(nil)) + rows("a") + idle, "08007"},
		{"simple answer to a batch", "", "", batch, rows("a") + idle, "08007"},
		{"batch answered in part", "", "", batch, packet('1', "") + packet('2', "") + idle, "08007"},
		{"unknown message", "", "", query("SELECT 1"), packet('R', "\x00\x00\x00\x00") + rows("a") + idle, "08007"},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			replies := []string{test.answer}
			if test.before != "" {
				replies = []string{test.first, test.answer}
			}
			s := newStepped(t, replies...)
			if test.before != "" {
				is.Equal(s.send(test.before), test.first)
			}
			answer := s.send(test.send)
			is.True(strings.Contains(answer, "C"+test.code+"\x00"))
			is.True(!s.healthy)
		})
	}
}

// Guards against an answer in step that is taken for another's.
func TestAnswersInStepPass(t *testing.T) {
	is := is.New(t)
	wrong := string((&fault{code: "42P01"}).append(nil))
	steps := []struct{ send, answer string }{
		{query("SELECT 1; SELECT 2;"), rows("a") + rows("b") + idle},
		{query("EXPLAIN SELECT 1"), complete("EXPLAIN") + idle},
		{query("INSERT INTO seats VALUES (1)"), complete("INSERT 0 1") + string(parameterStatus(nil, markParameter, "1.0/7")) + idle},
		{query("INSERT INTO seats VALUES (1)"), complete("INSERT 0 1") + string(parameterStatus(nil, markParameter, "1.0/8")) + idle},
		{query("CREATE TABLE a AS SELECT 1"), complete("SELECT 1") + idle},
		{query("SELECT 1; SELECT nothing"), rows("a") + wrong + idle},
		{query("BEGIN"), complete("BEGIN") + open},
		{query("SELECT nothing"), wrong + packet('Z', "E")},
		{query("COMMIT"), complete("ROLLBACK") + idle},
	}
	var replies []string
	for _, step := range steps {
		replies = append(replies, step.answer)
	}
	s := newStepped(t, replies...)
	for _, step := range steps {
		is.Equal(s.send(step.send), step.answer)
	}
}
