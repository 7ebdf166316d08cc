package messenger

import (
	"encoding/json"
	"net/netip"

	"basildale.example/basildale/membership"
	"basildale.example/basildale/tracker"
)

// Method is the name of a request between proxies.
type Method string

// The methods that a proxy answers.
const (
	MethodPing    Method = "ping"
	MethodProbe   Method = "pingreq"
	MethodSync    Method = "sync"
	MethodMarks   Method = "marks"
	MethodHave    Method = "config.have"
	MethodSuspect Method = "suspect"
	MethodPrimary Method = "primary"
	MethodCancel  Method = "cancel"
	MethodLeave   Method = "leave"
	MethodExplain Method = "explain"
	MethodCarry   Method = "carry"
	MethodShare   Method = "share"
	MethodLimit   Method = "limit"
)

// Empty is the answer to a request that asks for nothing back.
type Empty struct{}

// Limit answers a request for the size of the greatest message that a process
// reads. The messenger itself answers it.
type Limit struct {
	Bytes int `json:"bytes"`
}

// Ping asks whether a member lives. From is what the sender says of itself,
// Digest sums up its view, Updates are statements about others.
type Ping struct {
	From    membership.Member   `json:"from"`
	Digest  uint64              `json:"digest"`
	Updates []membership.Member `json:"updates,omitempty"`
}

// Ack answers a Ping with the same things about the one that was asked.
type Ack struct {
	From    membership.Member   `json:"from"`
	Digest  uint64              `json:"digest"`
	Updates []membership.Member `json:"updates,omitempty"`
}

// Probe asks a third member to ping Target on behalf of the sender.
type Probe struct {
	From   membership.Member `json:"from"`
	Target membership.Member `json:"target,omitzero"`
}

// Probed answers a Probe. Target is what the target said of itself if OK.
type Probed struct {
	OK     bool              `json:"ok"`
	Target membership.Member `json:"target,omitzero"`
}

// Sync asks for one bucket of the receiver's view. Digest sums up the sender's
// own bucket.
type Sync struct {
	Bucket  int    `json:"bucket"`
	Buckets int    `json:"buckets"`
	Digest  uint64 `json:"digest"`
}

// Synced answers a Sync: nothing if the digests are the same, otherwise all
// members of the bucket.
type Synced struct {
	Members []membership.Member `json:"members,omitempty"`
}

// Marks carries messages of package marker, which owns the payload. It needs no
// answer.
type Marks struct {
	Payload json.RawMessage `json:"payload"`
}

// Have tells which configuration the sender holds. The payload belongs to
// package configurator.
type Have struct {
	Payload json.RawMessage `json:"payload"`
}

// Got answers Have. The payload belongs to package configurator.
type Got struct {
	Payload json.RawMessage `json:"payload,omitempty"`
}

// SuspectReport tells whether the sender, seen from Zone, suspects the primary
// Upstream of Term. From names the run of the sender's process. Claim is the
// term at which the sender is replacing the primary, or zero.
type SuspectReport struct {
	Group    string         `json:"group"`
	From     string         `json:"from"`
	Zone     string         `json:"zone"`
	Upstream netip.AddrPort `json:"upstream"`
	Term     tracker.Term   `json:"term"`
	Suspect  bool           `json:"suspect,omitempty"`
	Claim    tracker.Term   `json:"claim,omitzero"`
}

// PrimaryAnnounce tells that Primary leads the group at Term. Record is the
// group's record as the sender knows it at Version, and belongs to package
// promoter; Version is 0 if it knows none. Hold asks to hold new writes for that
// many milliseconds from now.
type PrimaryAnnounce struct {
	Group   string          `json:"group"`
	From    string          `json:"from"`
	Term    tracker.Term    `json:"term"`
	Primary netip.AddrPort  `json:"primary"`
	Record  json.RawMessage `json:"record,omitempty"`
	Version uint64          `json:"version,omitempty"`
	Hold    int64           `json:"hold,omitempty"`
}

// CancelForward passes on a caller's request to cancel, to the proxy that holds
// the session with this key.
type CancelForward struct {
	Key []byte `json:"key"`
}

// Leave tells that the sender has begun to stop.
type Leave struct {
	From membership.Member `json:"from"`
}

// ExplainQuery asks for recent decisions about Subject, the newest first, at
// most Limit of them.
type ExplainQuery struct {
	Subject string `json:"subject"`
	Limit   int    `json:"limit,omitempty"`
}

// Explanation answers ExplainQuery. The payload belongs to package controller.
type Explanation struct {
	Payload json.RawMessage `json:"payload,omitempty"`
}

// ShareRequest confirms that the sender keeps to views of the groups' shares of
// connections. Gone says that it has closed its last connection for data and
// opens none any more. A request that got no answer is repeated.
type ShareRequest struct {
	Seen []ShareSeen `json:"seen,omitempty"`
	Gone bool        `json:"gone,omitempty"`
}

// ShareSeen names a view of a group's shares.
type ShareSeen struct {
	Group string `json:"group"`
	Seq   uint64 `json:"seq"`
}

// Carry asks a peer to carry a statement to an upstream that the sender doesn't
// reach. The payload belongs to package forwarder.
type Carry struct {
	Payload json.RawMessage `json:"payload"`
}

// Carried answers Carry. The payload belongs to package forwarder.
type Carried struct {
	Payload json.RawMessage `json:"payload"`
}
