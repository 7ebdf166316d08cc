package configurator

import (
	"net/netip"
	"time"
)

// Want says what the receiver of a Tell is asked for.
type Want uint8

// The wants.
const (
	WantNothing Want = iota
	WantVersion      // answer with a Tell
	WantChanges      // answer with a Delta from the sender's version
)

// Tell is one member's version, and what it asks for.
type Tell struct {
	Version uint64 `json:"version"`
	Want    Want   `json:"want,omitempty"`
	// Fresh says that the sender has only begun and its version means nothing.
	Fresh bool `json:"fresh,omitempty"`
}

// Message is what travels between two relays: one of its fields is set.
type Message struct {
	Tell  *Tell  `json:"tell,omitempty"`
	Delta *Delta `json:"delta,omitempty"`
}

// Event returns the event that a message from a peer is; nil for an empty one.
func (m Message) Event(peer netip.AddrPort) Event {
	switch {
	case m.Tell != nil:
		return PeerTold{Peer: peer, Tell: *m.Tell}
	case m.Delta != nil:
		return PeerSent{Peer: peer, Delta: *m.Delta}
	default:
		return nil
	}
}

// Event is something that a Relay is told: one of the structs below.
type Event any

// The events of a Relay.
type (
	// Ticked lets time pass; once every 250 ms or so.
	Ticked struct{}
	// MembersChanged holds all live proxies, with or without the receiver.
	MembersChanged struct{ Members []Member }
	// WatchAnswered is the answer to the Watch with the same Seq and After. More
	// says that the platform cut it: further changes are there already.
	WatchAnswered struct {
		Seq   uint64
		After uint64
		Items []Object
		More  bool
	}
	// WatchFailed says that the Watch with the same Seq had no answer.
	WatchFailed struct{ Seq uint64 }
	// PeerTold is a Tell that came from a peer.
	PeerTold struct {
		Peer netip.AddrPort
		Tell Tell
	}
	// PeerSent is a Delta that came from a peer.
	PeerSent struct {
		Peer  netip.AddrPort
		Delta Delta
	}
)

// Command is something that a Relay wants done: one of the structs below.
type Command any

// The commands of a Relay.
type (
	// Watch asks the platform for changes of StoreKind after a version, waiting
	// for one until Until; an Until that is not after now doesn't wait.
	Watch struct {
		Seq    uint64
		After  uint64
		Until  time.Time
		Reason string
	}
	// TellPeer sends a Tell. It may get lost.
	TellPeer struct {
		Peer   netip.AddrPort
		Tell   Tell
		Reason string
	}
	// SendPeer sends a Delta. It may get lost.
	SendPeer struct {
		Peer   netip.AddrPort
		Delta  Delta
		Reason string
	}
	// Adopted says that the configuration has risen to a version; Names are the
	// objects that changed.
	Adopted struct {
		Version uint64
		Names   []string
		Reason  string
	}
	// Joined says that the member holds a configuration fit to serve under. It
	// comes once.
	Joined struct {
		Version uint64
		Reason  string
	}
	// Rejected says that something that came was not taken.
	Rejected struct{ Reason string }
)

// Message returns what is to be sent.
func (c TellPeer) Message() Message { return Message{Tell: &c.Tell} }

// Message returns what is to be sent.
func (c SendPeer) Message() Message { return Message{Delta: &c.Delta} }
