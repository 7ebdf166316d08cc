package dialer

import (
	"encoding/binary"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"

	"basildale.example/basildale/framer"
)

const mechanism = "SCRAM-SHA-256"

// authenticate answers one authentication request: none, a password in clear
// text, or SCRAM-SHA-256.
func (d *Dialer) authenticate(c *Conn, f framer.Frame) error {
	if len(f.Body()) < 4 {
		return errors.Wrap(ErrRefused, "authentication request too short")
	}
	switch kind := binary.BigEndian.Uint32(f.Body()); kind {
	case pgproto3.AuthTypeOk:
		return nil
	case pgproto3.AuthTypeCleartextPassword:
		return sendMessage(c, &pgproto3.PasswordMessage{Password: d.Password})
	case pgproto3.AuthTypeSASL:
		return d.scram(c)
	default:
		return errors.Wrapf(ErrRefused, "authentication of type %d isn't supported", kind)
	}
}

func (d *Dialer) scram(c *Conn) error {
	client, err := scram.SHA256.NewClient(d.User, d.Password, "")
	if err != nil {
		return errors.Wrap(err, "scram")
	}
	talk := client.NewConversation()
	first, err := talk.Step("")
	if err != nil {
		return errors.Wrap(err, "scram")
	}
	initial := &pgproto3.SASLInitialResponse{AuthMechanism: mechanism, Data: []byte(first)}
	if err := sendMessage(c, initial); err != nil {
		return err
	}
	for !talk.Done() {
		if err := scramStep(c, talk); err != nil {
			return err
		}
	}
	return nil
}

func scramStep(c *Conn, talk *scram.ClientConversation) error {
	h, err := c.Head()
	if err != nil {
		return err
	}
	f, err := c.Frame(h)
	if err != nil {
		return err
	}
	if f.Type == 'E' {
		return refusal(f)
	}
	if f.Type != 'R' || len(f.Body()) < 4 {
		return errors.Wrapf(ErrRefused, "unexpected message %q", f.Type)
	}
	answer, err := talk.Step(string(f.Body()[4:]))
	if err != nil {
		return errors.Wrap(err, "scram")
	}
	if binary.BigEndian.Uint32(f.Body()) == pgproto3.AuthTypeSASLFinal {
		return nil
	}
	return sendMessage(c, &pgproto3.SASLResponse{Data: []byte(answer)})
}

func sendMessage(c *Conn, m pgproto3.FrontendMessage) error {
	raw, err := m.Encode(nil)
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	_, err = c.Send(raw)
	return err
}
