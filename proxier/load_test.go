package proxier

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"basildale.example/basildale/internal/matcher"
	"basildale.example/basildale/loader"
)

// Guards against a reload whose line does not say what changed: only that is named, with the
// old and the new value, and a default that is spelled out is no change.
func TestReloadNamesWhatChanged(t *testing.T) {
	is := is.New(t)
	core, lines := observer.New(zapcore.InfoLevel)
	var out strings.Builder
	encoder := zapcore.NewJSONEncoder(zapcore.EncoderConfig{LevelKey: "level", EncodeLevel: zapcore.LowercaseLevelEncoder, MessageKey: "msg"})
	p := &Proxier{Log: zap.New(zapcore.NewTee(core, zapcore.NewCore(encoder, zapcore.AddSync(&out), zapcore.InfoLevel)))}
	weights := map[string]float64{}
	for i := range 100 {
		weights[fmt.Sprintf("w%02d", i)] = 2
	}
	for _, c := range []loader.Choices{
		{Placement: loader.Fixed},
		{Admission: loader.Plain, Placement: loader.Fixed, Weights: map[string]float64{"encuestas-norte": 1}},
		{Admission: loader.Fair, Placement: loader.Expected, Weights: map[string]float64{"encuestas-sur": 2.5, "sondeos": 0.1}},
		{Admission: loader.Fair, Weights: map[string]float64{"encuestas-sur": 4}},
		{Admission: loader.Fair, Weights: map[string]float64{"encuestas-sur": 4}},
		{Admission: loader.Fair, Weights: weights},
	} {
		p.setLoad(&loader.Settings{Load: c})
	}
	is.Equal(lines.Len(), 3)
	first, _, _ := strings.Cut(out.String(), "\n")
	matcher.Golden(t, "testdata/changed.golden", first+"\n") // shown on the page for operators
	changes := func(i int) string { return fmt.Sprintf("%q", lines.All()[i].ContextMap()["changes"]) }
	is.Equal(changes(0), `["admission: plain to fair" "placement: fixed to expected" "weight of encuestas-sur: 1 to 2.5" "weight of sondeos: 1 to 0.1"]`)
	is.Equal(changes(1), `["placement: expected to adaptive" "weight of encuestas-sur: 2.5 to 4" "weight of sondeos: 0.1 to 1"]`)
	is.Equal(len(lines.All()[2].ContextMap()["changes"].([]any)), maxLoggedChanges+1)
}

// Guards against data races and lost writes when choices change in a running process while
// callers write and an operator asks who uses what.
func TestReloadUnderLoad(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1)
	m := f.proxies[0]
	stop := make(chan struct{})
	var group sync.WaitGroup
	for range 4 {
		c := f.dial(m, "seats")
		group.Go(func() { c.writeUntil(stop) })
	}
	f.waitFor("writes", func() bool { return f.group.Stats().Acknowledged > 10 })
	for i := range 50 {
		s := m.Settings
		if i%2 == 0 {
			s.Load = loader.Choices{Admission: loader.Fair, Placement: loader.Expected, Division: loader.Demand, Weights: map[string]float64{"w": float64(i + 1)}}
		}
		m.Reload(s)
		is.Equal(m.carrier.Usage()[0].Group, "billet")
	}
	before := f.group.Stats().Acknowledged
	f.waitFor("writes again", func() bool { return f.group.Stats().Acknowledged > before+10 })
	close(stop)
	group.Wait()
	is.Equal(f.group.Stats().Lost, 0)
	is.Equal(f.group.Stats().Doubled, 0)
}
