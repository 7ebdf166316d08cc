package relayer

import (
	"crypto/rand"
	"encoding/binary"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"go.uber.org/zap"

	"basildale.example/basildale/framer"
)

// Key names a session in cancel requests. Process carries the proxy's index in
// its upper 12 bits and the session's number in the lower 20.
type Key struct {
	Process uint32
	Secret  uint32
}

const (
	sessionBits = 20
	sessionMask = 1<<sessionBits - 1
)

// Proxy returns the index of the proxy that gave the key.
func (k Key) Proxy() uint16 { return uint16(k.Process >> sessionBits) }

// startup handles one startup packet.
func (s *Session) startup() (more bool, err error) {
	packet, n, err := framer.CutStartup(s.in.bytes())
	if err != nil {
		return false, err
	}
	if n == 0 {
		return s.read(framer.StartupHeaderSize)
	}
	err = s.packet(packet)
	s.in.drop(n)
	return err == nil && s.phase != phaseEnded, err
}

func (s *Session) packet(p framer.Startup) error {
	switch p.Code {
	case framer.CodeTLS:
		return s.secure()
	case framer.CodeGSS:
		return s.send([]byte{'N'})
	case framer.CodeCancel:
		s.cancelRequest(p.Body)
		s.end(nil)
		return nil
	case framer.CodeStartup:
		return s.begin(p.Body)
	default:
		return s.otherVersion(p)
	}
}

// otherVersion answers a later minor version of protocol 3 by naming 3.0, as
// the protocol asks for, and refuses all others.
func (s *Session) otherVersion(p framer.Startup) error {
	const major = 3
	if p.Code>>16 != major {
		return &protocolError{codeProtocol, "only protocol version 3.0 is supported"}
	}
	offer := &pgproto3.NegotiateProtocolVersion{NewestMinorProtocol: framer.CodeStartup}
	raw, err := offer.Encode(nil)
	if err != nil {
		return err
	}
	if err := s.send(raw); err != nil {
		return err
	}
	return s.begin(p.Body)
}

// begin takes the startup parameters.
func (s *Session) begin(body []byte) error {
	user, database := "", ""
	for len(body) > 0 && body[0] != 0 {
		name, rest, ok := cstring(body)
		if !ok {
			return &protocolError{codeProtocol, "startup packet is cut short"}
		}
		value, rest, ok := cstring(rest)
		if !ok {
			return &protocolError{codeProtocol, "startup packet is cut short"}
		}
		body = rest
		switch string(name) {
		case "user":
			user = string(value)
		case "database":
			database = string(value)
		default:
			if err := s.startupParameter(string(name), string(value)); err != nil {
				return err
			}
		}
	}
	if database == "" {
		database = user
	}
	account, ok := s.relay.Login(user, database)
	if !ok {
		return &protocolError{codeNoCaller, "no caller of this name is declared for this database"}
	}
	s.account = account
	return s.challenge(user)
}

// startupParameter takes a parameter other than user and database.
func (s *Session) startupParameter(name, value string) error {
	switch {
	case strings.HasPrefix(strings.ToLower(name), notePrefix):
		if f := s.notes.set(name, value); f != nil {
			return &protocolError{f.code, f.message}
		}
	case name == "options":
		return s.options(value)
	case name == "application_name" || name == "replication" || strings.HasPrefix(name, "_pq_."):
		// Says nothing about how statements run.
	case lower(name) == encodingSetting && hidesBytes(value):
		return &protocolError{codeInvalidValue, "client_encoding " + value + " isn't supported"}
	default:
		s.settings.declare(name, value)
	}
	return nil
}

// options takes settings of the forms "-c name=value" and "--name=value".
func (s *Session) options(value string) error {
	for _, w := range optionWords(value) {
		w = strings.TrimPrefix(w, "-c")
		if w == "" {
			continue // its setting is the next word
		}
		name, v, ok := strings.Cut(strings.TrimPrefix(w, "--"), "=")
		if !ok || name == "" {
			return &protocolError{codeInvalidValue, "options must be of the form -c name=value"}
		}
		if err := s.startupParameter(strings.ReplaceAll(name, "-", "_"), v); err != nil {
			return err
		}
	}
	return nil
}

// optionWords cuts options at their blanks; a backslash takes the next byte as it
// is.
func optionWords(value string) []string {
	var words []string
	var word []byte
	within := false
	for i := 0; i < len(value); i++ {
		c := value[i]
		if strings.IndexByte(" \t\r\n\v\f", c) >= 0 {
			if within {
				words = append(words, string(word))
			}
			word, within = word[:0], false
			continue
		}
		if c == '\\' && i+1 < len(value) {
			i++
			c = value[i]
		}
		word, within = append(word, c), true
	}
	if within {
		words = append(words, string(word))
	}
	return words
}

// welcome ends the startup: the session is ready for its first statement.
func (s *Session) welcome() error {
	var secret [4]byte
	_, _ = rand.Read(secret[:])
	s.key.Secret = binary.BigEndian.Uint32(secret[:])
	s.key.Process = s.relay.sessions.admit(s, s.relay.Index)
	s.tx = txIdle
	s.phase = phaseReady
	s.member.Store(true)
	s.timer.Stop()
	s.relay.Log.Debug("relayer: session ready", zap.Stringer("remote", s.caller.Remote()),
		zap.String("caller", s.account.Caller))
	b := s.relay.pool.get()[:0]
	b = append(b, 'R', 0, 0, 0, 8, 0, 0, 0, 0)
	for _, p := range parameters() {
		b = parameterStatus(b, p[0], p[1])
	}
	b = append(b, 'K', 0, 0, 0, 12)
	b = binary.BigEndian.AppendUint32(b, s.key.Process)
	b = binary.BigEndian.AppendUint32(b, s.key.Secret)
	b = append(b, 'Z', 0, 0, 0, 5, txIdle)
	err := s.send(b)
	s.relay.pool.put(b)
	return err
}

// parameters are what a session is told before it has an upstream connection.
func parameters() [][2]string {
	return [][2]string{
		{"server_version", "16.0"},
		{"server_encoding", "UTF8"},
		{"client_encoding", "UTF8"},
		{"DateStyle", "ISO, MDY"},
		{"IntervalStyle", "postgres"},
		{"TimeZone", "UTC"},
		{"integer_datetimes", "on"},
		{"standard_conforming_strings", "on"},
	}
}

func parameterStatus(b []byte, name, value string) []byte {
	b = append(b, 'S')
	b = binary.BigEndian.AppendUint32(b, uint32(len(name)+len(value)+6))
	b = append(b, name...)
	b = append(b, 0)
	b = append(b, value...)
	return append(b, 0)
}

// send writes p at once.
func (s *Session) send(p []byte) error {
	_, err := s.caller.Write(p)
	return err
}

func cstring(b []byte) (value, rest []byte, ok bool) { return framer.CString(b) }
