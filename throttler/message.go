package throttler

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Kind says what a message is.
type Kind uint8

// The kinds. A Gift gives time to a holder, which answers each with Thanks. An Request asks
// it for a token, and is answered with a Reply. With a Claim a process that is asked, and
// given too little to tell, says that it may be the holder.
const (
	Gift Kind = iota + 1
	Thanks
	Request
	Reply
	Claim
)

// Message is what two processes tell each other. It travels as a CBOR array.
type Message struct {
	_    struct{} `cbor:",toarray"`
	Kind Kind
	// From is the sender, and To whom it is meant for: addresses are used again.
	From ID
	To   ID
	// ID pairs an answer with its question; no run of a process uses those of another.
	ID    uint64
	Shard int
	// Workspace is that of an Ask.
	Workspace string
	// Span is the time given, of one process of so many as Fleet says.
	Span  time.Duration
	Fleet int
	// Stamp is the holder's clock when it last thanked the giver, and Since how long ago
	// the giver heard that. From both the holder knows how long a gift was under way.
	Stamp   int64
	Since   time.Duration
	Verdict Verdict
	// Leaving says with Thanks that the holder ends soon.
	Leaving bool
}

// ErrUnread reports bytes that are no message.
var ErrUnread = errors.New("throttler: message can't be read")

// Encode returns a message as bytes. Their first one isn't that of a CBOR map, by which
// they are told apart from other datagrams of the same socket.
func Encode(m *Message) ([]byte, error) {
	b, err := cbor.Marshal(m)
	return b, errors.Wrap(err, "throttler: encode")
}

// Decode reads what Encode wrote.
func Decode(b []byte) (Message, error) {
	var m Message
	if err := cbor.Unmarshal(b, &m); err != nil {
		return m, errors.Wrap(ErrUnread, err.Error())
	}
	if m.Shard < 0 || m.Shard >= Shards || m.Kind < Gift || m.Kind > Claim {
		return m, errors.Wrapf(ErrUnread, "kind %d of shard %d", m.Kind, m.Shard)
	}
	return m, nil
}
