package throttler

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Kind is the kind of a message.
type Kind uint8

// The kinds. A Credit gives a span of time to an owner, which answers each with a
// CreditAck. A Request asks the owner for a token, and is answered with a Reply. A process
// that receives a Request and has too few credits to decide sends a Claim, which notifies
// the others that it may be the owner.
const (
	Credit Kind = iota + 1
	CreditAck
	Request
	Reply
	Claim
)

// Message is a message between two processes. It is encoded as a CBOR array.
type Message struct {
	_    struct{} `cbor:",toarray"`
	Kind Kind
	// From is the sender and To the intended receiver. The receiver checks To, because
	// addresses are reused.
	From ID
	To   ID
	// ID matches a Reply with its Request. A process that restarts does not reuse the IDs
	// of its earlier starts.
	ID    uint64
	Shard int
	// Workspace is that of a Request.
	Workspace string
	// Span is the credited time of one process, and Fleet the size of the fleet as the
	// sender knows it.
	Span  time.Duration
	Fleet int
	// OwnerClock is the owner's clock in its last CreditAck to the sender, and ClockAge the
	// time since the sender received that. From both the owner computes how long a Credit
	// was in transit.
	OwnerClock int64
	ClockAge   time.Duration
	Verdict    Verdict
	// Leaving is set in a CreditAck if the owner is shutting down.
	Leaving bool
}

// ErrMalformed marks errors of bytes that are not a message.
var ErrMalformed = errors.New("throttler: malformed message")

// Encode encodes a message. The first byte is not that of a CBOR map, which
// distinguishes it from the states that package gossiper sends from the same socket.
func Encode(m *Message) ([]byte, error) {
	b, err := cbor.Marshal(m)
	return b, errors.Wrap(err, "throttler: encode")
}

// Decode decodes what Encode wrote.
func Decode(b []byte) (Message, error) {
	var m Message
	if err := cbor.Unmarshal(b, &m); err != nil {
		return m, errors.Wrap(ErrMalformed, err.Error())
	}
	if m.Shard < 0 || m.Shard >= Shards || m.Kind < Credit || m.Kind > Claim {
		return m, errors.Wrapf(ErrMalformed, "kind %d of shard %d", m.Kind, m.Shard)
	}
	return m, nil
}
