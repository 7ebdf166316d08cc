package marker

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// ErrMessage reports bytes that are no message of this package.
var ErrMessage = errors.New("marker: not a message")

// envelope is how a message travels: the field of its kind is set.
type envelope struct {
	Get      *Get      `json:"get,omitempty"`
	Found    *Found    `json:"found,omitempty"`
	Put      *Put      `json:"put,omitempty"`
	Taken    *Taken    `json:"taken,omitempty"`
	Complete *Complete `json:"complete,omitempty"`
	Ping     *Ping     `json:"ping,omitempty"`
	Pong     *Pong     `json:"pong,omitempty"`
}

// Encode returns the messages as one JSON array, so that those to the same proxy
// can travel together.
func Encode(list []Message) (json.RawMessage, error) {
	out := make([]envelope, len(list))
	for i, msg := range list {
		e := &out[i]
		switch msg := msg.(type) {
		case Get:
			e.Get = &msg
		case Found:
			e.Found = &msg
		case Put:
			e.Put = &msg
		case Taken:
			e.Taken = &msg
		case Complete:
			e.Complete = &msg
		case Ping:
			e.Ping = &msg
		case Pong:
			e.Pong = &msg
		}
	}
	raw, err := json.Marshal(out)
	return raw, errors.Wrap(err, "marker: encode")
}

// Decode reads what [Encode] returned. A message of a kind that this version
// doesn't know is left out: it counts as lost.
func Decode(raw json.RawMessage) ([]Message, error) {
	var in []envelope
	if err := json.Unmarshal(raw, &in); err != nil {
		return nil, errors.Wrap(ErrMessage, err.Error())
	}
	list := make([]Message, 0, len(in))
	for i := range in {
		if msg := in[i].message(); msg != nil {
			list = append(list, msg)
		}
	}
	return list, nil
}

// message returns the message in the envelope, or nil.
func (e *envelope) message() Message {
	switch {
	case e.Get != nil:
		return *e.Get
	case e.Found != nil:
		return *e.Found
	case e.Put != nil:
		return *e.Put
	case e.Taken != nil:
		return *e.Taken
	case e.Complete != nil:
		return *e.Complete
	case e.Ping != nil:
		return *e.Ping
	case e.Pong != nil:
		return *e.Pong
	default:
		return nil
	}
}
