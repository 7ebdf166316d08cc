package main

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"github.com/matryer/is"

	"basildale.example/basildale/generator"
	"basildale.example/basildale/internal/faker/upstream"
)

func TestLoad(t *testing.T) {
	is := is.New(t)
	group, err := upstream.NewGroup(upstream.Options{Setup: "CREATE TABLE bookings (id text, seat text, session text)"})
	is.NoErr(err)
	defer group.Close()
	addr := group.Upstreams[0].Addr().String()
	args := []string{"load", addr, addr, "--duration=100ms", "--rate=500", "--deadline=1m", "--every=3"}
	var out, errs bytes.Buffer
	is.Equal(run(t.Context(), args, &out, &errs), exitDone)
	is.True(strings.HasSuffix(out.String(), "\nlost 0 doubled 0 stale 0 cut 0 mixed 0\n"))
	is.Equal(errs.String(), "")

	out.Reset()
	is.Equal(run(t.Context(), append(args, "-o", "json"), &out, &errs), exitDone)
	var report generator.Report
	is.NoErr(json.Unmarshal(out.Bytes(), &report))
	is.True(report.Audit.Acknowledged > 0)
}

func TestLoadRefuses(t *testing.T) {
	for _, c := range []struct {
		args []string
		want int
	}{
		{[]string{"load"}, exitUsage},
		{[]string{"load", "example.net:5432"}, exitUsage},
		{[]string{"load", "127.0.0.1:1", "--rate=0"}, exitUsage},
		{[]string{"load", "127.0.0.1:1", "--bookings=2"}, exitUsage},
		{[]string{"load", "127.0.0.1:1", "--moves=fly"}, exitUsage},
		{[]string{"load", closedAddr(t), "--duration=50ms"}, exitSilent},
	} {
		t.Run(strings.Join(c.args, " "), func(t *testing.T) {
			is := is.New(t)
			var out, errs bytes.Buffer
			is.Equal(run(t.Context(), c.args, &out, &errs), c.want)
		})
	}
}

// closedAddr is an address that refuses connections for the time of the test: an
// upstream that has crashed keeps its port.
func closedAddr(t *testing.T) string {
	group, err := upstream.NewGroup(upstream.Options{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(group.Close)
	group.Upstreams[0].Crash()
	return group.Upstreams[0].Addr().String()
}
