package relayer

import (
	"encoding/binary"

	"github.com/cockroachdb/errors"
	"github.com/xdg-go/scram"

	"basildale.example/basildale/framer"
)

// Kinds of authentication requests.
const (
	authSASL         = 10
	authSASLContinue = 11
	authSASLFinal    = 12
)

// challenge asks the caller for proof of who it is, or lets it in when its
// account asks for none.
func (s *Session) challenge(user string) error {
	if s.account.Verifier.open() {
		return s.welcome()
	}
	server, err := scram.SHA256.NewServer(s.account.Verifier.credentials)
	if err != nil {
		return errors.Wrap(err, "relayer: scram")
	}
	s.login = &login{user: user, talk: server.NewConversation()}
	s.phase = phaseAuthentication
	return s.send(authentication(authSASL, verifierScheme+"\x00\x00"))
}

// login is an authentication under way.
type login struct {
	user    string
	talk    *scram.ServerConversation
	started bool
}

// authentication handles one message of an authentication under way.
func (s *Session) authentication() (more bool, err error) {
	f, ok, err := s.message(framer.MaxStartup)
	if !ok || err != nil {
		return false, err
	}
	if f.Type != 'p' {
		return false, &protocolError{codeProtocol, "expected an answer to the authentication request"}
	}
	n := len(f.Raw)
	err = s.prove(f.Body())
	s.in.drop(n)
	return err == nil, err
}

// prove takes one step of the conversation.
func (s *Session) prove(body []byte) error {
	l := s.login
	if !l.started {
		l.started = true
		var err error
		if body, err = initialResponse(body); err != nil {
			return err
		}
	}
	answer, err := l.talk.Step(string(body))
	if err != nil || (l.talk.Done() && !l.talk.Valid()) {
		return &protocolError{codeWrongPassword, "password authentication failed for user \"" + l.user + "\""}
	}
	if !l.talk.Done() {
		return s.send(authentication(authSASLContinue, answer))
	}
	if err := s.send(authentication(authSASLFinal, answer)); err != nil {
		return err
	}
	s.login = nil
	return s.welcome()
}

// initialResponse returns the data of a SASLInitialResponse.
func initialResponse(body []byte) ([]byte, error) {
	const lengthSize = 4
	mechanism, rest, ok := cstring(body)
	if !ok || len(rest) < lengthSize {
		return nil, &protocolError{codeProtocol, "authentication message is cut short"}
	}
	if string(mechanism) != verifierScheme {
		return nil, &protocolError{codeProtocol, "only " + verifierScheme + " is supported"}
	}
	if int(binary.BigEndian.Uint32(rest)) != len(rest)-lengthSize {
		return nil, &protocolError{codeProtocol, "authentication message has a wrong length"}
	}
	return rest[lengthSize:], nil
}

func authentication(kind byte, data string) []byte {
	b := []byte{'R', 0, 0, 0, 0, 0, 0, 0, kind}
	b = append(b, data...)
	putLength(b, 0)
	return b
}
