package forwarder

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"basildale.example/basildale/carrier"
	"basildale.example/basildale/cataloger"
)

// Guards against peers' statements that begin right before the process ends.
func TestStoppingProcessTakesNothingNewFromPeers(t *testing.T) {
	for _, a := range []action{runOne, startTx, commitEmpty} {
		for _, stopping := range []bool{false, true} {
			is := is.New(t)
			dials := 0
			c := &carrier.Registry{Now: time.Now, Log: zap.NewNop(), Dial: func(context.Context, cataloger.Upstream, string) (carrier.Link, error) {
				dials++
				return nil, errLost
			}}
			c.DivideConnections(1, []cataloger.GroupSettings{{Name: "g", MaxConnections: 40}})
			c.SetUpstreams([]cataloger.Upstream{{ID: "a", Group: "g", Leads: true, Slots: 1}})
			f := &Forwarder{Local: c.Group, IsStopping: func() bool { return stopping }, Now: time.Now, Log: zap.NewNop()}
			job := &carrier.Job{Writes: true, Arrived: time.Now(), Deadline: time.Now().Add(50 * time.Millisecond)}
			payload, err := json.Marshal(newRequest(a, "g", job, carrier.Command{Verb: carrier.Write, ID: "r"}, time.Now()))
			is.NoErr(err)
			answer, err := f.Serve(t.Context(), "peer", payload)
			is.NoErr(err)
			var resp response
			is.NoErr(json.Unmarshal(answer, &resp))
			is.Equal(resp.Refused, stopping)
			is.Equal(dials == 0, stopping)
		}
	}
}
