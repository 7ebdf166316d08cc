package promoter

import (
	"net/netip"

	"basildale.example/basildale/tracker"
)

// width is the number of residue classes that the sequences of one epoch are
// divided into; the holder at place i uses i, i+width, i+2*width and so on.
const width = 8

// Record is the platform's object of a group. Only its holders act on the group,
// and only with terms of its epoch.
type Record struct {
	// Epoch rises with each change of the holders.
	Epoch uint32 `json:"epoch"`
	// Leader and Deputies are the holders in their order.
	Leader   string   `json:"leader"`
	Deputies []string `json:"deputies"`
	// Primary and Term are those of the last replacement, brought up to date
	// after it.
	Primary netip.AddrPort `json:"primary"`
	Term    tracker.Term   `json:"term"`
	// Nonce tells which write made this version, so that a writer whose answer
	// was lost can find out.
	Nonce string `json:"nonce"`
}

// Holders returns the leader and the deputies in their order.
func (r Record) Holders() []string {
	if r.Leader == "" {
		return nil
	}
	return append([]string{r.Leader}, r.Deputies...)
}

// NextTerm returns the lowest term of the holder at place in the record's epoch
// that is above seen. It fails when seen is of a later epoch: the grant is old.
func NextTerm(epoch uint32, place int, seen tracker.Term) (tracker.Term, bool) {
	if seen.Epoch > epoch || place < 0 || place >= width {
		return tracker.Term{}, false
	}
	seq := uint32(place)
	if seen.Epoch == epoch && seen.Seq >= seq {
		seq += ((seen.Seq-seq)/width + 1) * width
	}
	return tracker.Term{Epoch: epoch, Seq: seq}, true
}
