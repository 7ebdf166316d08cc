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

func TestParcelsHoldTheConfiguration(t *testing.T) {
	is := is.New(t)
	sent := many()
	var p parcel
	body, err := p.of(&sent)
	is.NoErr(err)
	got, err := unpack(bytes.NewReader(body))
	is.NoErr(err)
	is.Equal(got, sent)

	again, err := p.of(&sent)
	is.NoErr(err)
	is.True(&again[0] == &body[0]) // packed once
	newer := cataloger.Config{Version: sent.Version + 1}
	body, err = p.of(&newer)
	is.NoErr(err)
	got, err = unpack(bytes.NewReader(body))
	is.NoErr(err)
	is.Equal(got.Version, newer.Version)
	_, err = unpack(bytes.NewReader(body[:len(body)/2]))
	is.True(err != nil) // half of an answer changes nothing
}

// Guards against configurations that fill the links of those that have them first.
func TestParcelsAreSmall(t *testing.T) {
	is := is.New(t)
	config := many()
	plain, err := json.Marshal(&config)
	is.NoErr(err)
	body, err := pack(&config)
	is.NoErr(err)
	t.Logf("%d bytes of %d", len(body), len(plain))
	is.True(len(body)*10 <= len(plain))
}

// Guards against transfers that share a link until all of them are given up.
func TestTransfersBeyondWhatALinkCarriesAreRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	p := &Proxier{Log: zap.NewNop(), registry: metrics.NewRegistry(), transfers: semaphore.NewWeighted(mostTransfers), holdings: &holdings{}}
	config := cataloger.Catalog{}
	config.Configure(cataloger.Config{Version: 2})
	p.holdings.view.Store(config.View())
	server := httptest.NewServer(http.HandlerFunc(p.configuration))
	defer server.Close()
	ask := func(has string) int {
		resp, err := http.Get(server.URL + "?configuration=" + has)
		is.NoErr(err)
		defer resp.Body.Close()
		_, err = io.Copy(io.Discard, resp.Body)
		is.NoErr(err)
		return resp.StatusCode
	}
	is.Equal(ask("1"), http.StatusOK)
	is.Equal(ask("2"), http.StatusNoContent)
	is.True(p.transfers.TryAcquire(mostTransfers)) // others are being told
	is.Equal(ask("1"), http.StatusServiceUnavailable)
	p.transfers.Release(mostTransfers)
	is.Equal(ask("1"), http.StatusOK)
}

// bounded notes the bounds that a handler sets on its connection.
type bounded struct {
	httptest.ResponseRecorder
	deadlines []time.Time
}

func (b *bounded) SetWriteDeadline(t time.Time) error {
	b.deadlines = append(b.deadlines, t)
	return nil
}

// Guards against a bound of one answer that breaks the next one on the same connection.
func TestTheBoundOfATransferEndsWithIt(t *testing.T) {
	is := is.New(t)
	var p Proxier
	w := &bounded{}
	is.NoErr(p.deliver(w, http.NewResponseController(w), &cataloger.Config{Version: 2}))
	is.Equal(len(w.deadlines), 2)
	is.True(w.deadlines[0].After(time.Now()))
	is.True(w.deadlines[1].IsZero())
}
