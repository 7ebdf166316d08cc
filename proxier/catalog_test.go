package proxier

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"basildale.example/basildale/adapter/keeper"
	"basildale.example/basildale/carrier"
	"basildale.example/basildale/cataloger"
	"basildale.example/basildale/platform/faker"
	"basildale.example/basildale/versioner"
)

// at returns a version of a store that was never restored.
func at(revision uint64) versioner.Version { return versioner.Version{Revision: revision} }

// holding returns the holdings of a process whose configuration names the group huvo,
// and what it logs of errors.
func holding() (*holdings, *observer.ObservedLogs) {
	core, logs := observer.New(zapcore.ErrorLevel)
	h := &holdings{
		carrier: &carrier.Registry{Now: time.Now, Log: zap.NewNop()}, proxies: func() int { return 1 }, log: zap.New(core),
	}
	h.configure(cataloger.Config{Version: 1, Groups: []cataloger.GroupSettings{{Name: "huvo", MaxConnections: 9}}}, "test")
	return h, logs
}

func object(name string, version uint64, spec string) keeper.Object {
	return keeper.Object{Name: name, Version: version, Value: json.RawMessage(spec)}
}

func upstreamOf(group, name string, version uint64) keeper.Object {
	address := netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(1000+version))
	spec, err := json.Marshal(faker.Entry(group, address, "z", false, false))
	if err != nil {
		panic(err) // plain values can always be written
	}
	return object(name, version, string(spec))
}

// used lists the upstreams that statements may go to.
func used(h *holdings) []string {
	g, _ := h.carrier.Group("huvo")
	var ids []string
	for _, m := range g.Observe().Upstreams {
		if !m.Unlisted {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// Symptom: an upstream that nobody can use is asked, or the others aren't. Sequence:
// one of 500 entries can't be read, in a list, in a change, or in place of the present
// entry of an upstream in use. Cause: in a change it left the old one in force.
func TestOneEntryThatCannotBeReadLeavesTheOthers(t *testing.T) {
	is := is.New(t)
	h, logs := holding()
	var list []keeper.Object
	for i := range 500 {
		list = append(list, upstreamOf("huvo", fmt.Sprintf("i-%03d", i), uint64(i+1)))
	}
	list[250] = object("i-250", 251, `{"state":"who knows"}`)
	h.upstreams(list, at(500))
	is.Equal(len(used(h)), 499)

	h.watched([]keeper.Object{object("i-007", 501, `"bytes"`), upstreamOf("huvo", "i-250", 502)}, at(502))
	is.Equal(len(used(h)), 499) // one went, one came
	is.Equal(used(h)[7], "i-008")
	is.Equal(logs.Len(), 2)

	list[7], list[250] = object("i-007", 501, `"bytes"`), upstreamOf("huvo", "i-250", 502)
	h.upstreams(list, at(503))
	h.upstreams(list, at(504))
	is.Equal(len(used(h)), 499)
	is.Equal(logs.Len(), 2) // said once, not with each list
}

// Symptom: connections are opened to addresses of no upstream. Sequence: another
// writer's entry names a group that the configuration doesn't. Cause: a group was made
// of it, whose leader is then sought.
func TestAGroupThatNobodyConfiguredIsNotUsed(t *testing.T) {
	is := is.New(t)
	h, _ := holding()
	h.upstreams([]keeper.Object{upstreamOf("huvo", "i-1", 1), upstreamOf("nobody", "i-2", 2)}, at(2))
	is.Equal(used(h), []string{"i-1"})
	_, known := h.carrier.Group("nobody")
	is.True(!known)

	// Once the configuration names it, what was listed before is used.
	h.configure(cataloger.Config{Version: 2, Groups: []cataloger.GroupSettings{{Name: "huvo"}, {Name: "nobody"}}}, "test")
	g, known := h.carrier.Group("nobody")
	is.True(known)
	is.Equal(len(g.Observe().Upstreams), 1)
}
