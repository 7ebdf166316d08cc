package proxier

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"golang.org/x/sync/semaphore"

	"basildale.example/basildale/cataloger"
)

func TestPackedConfigRoundTrip(t *testing.T) {
	is := is.New(t)
	sent := largeConfig()
	var p packedConfig
	body, err := p.bytesOf(&sent)
	is.NoErr(err)
	got, err := unpack(bytes.NewReader(body))
	is.NoErr(err)
	is.Equal(got, sent)

	again, err := p.bytesOf(&sent)
	is.NoErr(err)
	is.True(&again[0] == &body[0]) // compressed once
	newer := cataloger.Config{Version: sent.Version + 1}
	body, err = p.bytesOf(&newer)
	is.NoErr(err)
	got, err = unpack(bytes.NewReader(body))
	is.NoErr(err)
	is.Equal(got.Version, newer.Version)
	_, err = unpack(bytes.NewReader(body[:len(body)/2]))
	is.True(err != nil) // a truncated response is an error
}

// Guards against configurations that saturate the links of the processes that have them first.
func TestPackedConfigIsSmall(t *testing.T) {
	is := is.New(t)
	config := largeConfig()
	plain, err := json.Marshal(&config)
	is.NoErr(err)
	body, err := pack(&config)
	is.NoErr(err)
	t.Logf("%d bytes of %d", len(body), len(plain))
	is.True(len(body)*10 <= len(plain))
}

// Guards against concurrent transfers that share a link until all of them time out.
func TestExcessTransfersAreRefused(t *testing.T) {
	is := is.New(t)
	p := &Proxier{Log: zap.NewNop(), registry: metrics.NewRegistry(), transferSlots: semaphore.NewWeighted(maxTransfers), cache: &stateCache{}}
	config := cataloger.Catalog{}
	config.Configure(cataloger.Config{Version: 2})
	p.cache.view.Store(config.View())
	server := httptest.NewServer(http.HandlerFunc(p.serveConfiguration))
	defer server.Close()
	ask := func(have string) int {
		resp, err := http.Get(server.URL + "?configuration=" + have)
		is.NoErr(err)
		defer resp.Body.Close()
		_, err = io.Copy(io.Discard, resp.Body)
		is.NoErr(err)
		return resp.StatusCode
	}
	is.Equal(ask("1"), http.StatusOK)
	is.Equal(ask("2"), http.StatusNoContent)
	is.True(p.transferSlots.TryAcquire(maxTransfers)) // other transfers hold all slots
	is.Equal(ask("1"), http.StatusServiceUnavailable)
	p.transferSlots.Release(maxTransfers)
	is.Equal(ask("1"), http.StatusOK)
}

// deadlineRecorder records the write deadlines that a handler sets on its connection.
type deadlineRecorder struct {
	httptest.ResponseRecorder
	deadlines []time.Time
}

func (b *deadlineRecorder) SetWriteDeadline(t time.Time) error {
	b.deadlines = append(b.deadlines, t)
	return nil
}

// Guards against a write deadline of one response that breaks the next one on the same
// connection.
func TestWriteDeadlineIsCleared(t *testing.T) {
	is := is.New(t)
	var p Proxier
	w := &deadlineRecorder{}
	is.NoErr(p.writeConfiguration(w, http.NewResponseController(w), &cataloger.Config{Version: 2}))
	is.Equal(len(w.deadlines), 2)
	is.True(w.deadlines[0].After(time.Now()))
	is.True(w.deadlines[1].IsZero())
}
