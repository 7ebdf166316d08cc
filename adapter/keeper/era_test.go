package keeper_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"basildale.example/basildale/adapter/keeper"
	"basildale.example/basildale/versioner"
)

// stating answers each call with the next of some eras; an empty one is left out.
type stating struct {
	eras   []string
	status int
}

func (s *stating) RoundTrip(req *http.Request) (*http.Response, error) {
	if trace := httptrace.ContextClientTrace(req.Context()); trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{})
	}
	header := http.Header{}
	if era := s.eras[0]; era != "" {
		header.Set(keeper.EraHeader, era)
	}
	s.eras = s.eras[1:]
	body := `{"kind":"k","name":"a","version":7,"value":1,"items":[{"kind":"k","name":"a","version":7}]}`
	return &http.Response{StatusCode: s.status, Header: header, Body: io.NopCloser(strings.NewReader(body)), Request: req}, nil
}

func stated(status int, eras ...string) *keeper.Client {
	return &keeper.Client{
		Addrs: []netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:1")}, Transport: &stating{eras: eras, status: status},
	}
}

func TestAnswersStateTheirEra(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	c := stated(http.StatusOK, "4", "4", "4", "4")
	o, err := c.Get(ctx, "k", "a")
	is.NoErr(err)
	is.Equal(o.At(), versioner.Version{Era: 4, Revision: 7})
	o, err = c.Put(ctx, "k", "a", 6, 1)
	is.NoErr(err)
	is.Equal(o.At(), versioner.Version{Era: 4, Revision: 7})
	page, err := c.List(ctx, "k", "", 9)
	is.NoErr(err)
	is.Equal(page.At(), versioner.Version{Era: 4, Revision: 7})
	is.Equal(page.Items[0].At(), versioner.Version{Era: 4, Revision: 7})
	is.Equal(c.Era(), uint64(4))

	c = stated(http.StatusConflict, "5")
	_, err = c.Put(ctx, "k", "a", 6, 1)
	var conflict *keeper.ConflictError
	is.True(errors.As(err, &conflict))
	is.Equal(conflict.Current.At(), versioner.Version{Era: 5, Revision: 7})
}

// Guards against an answer of before a restore that arrives after one of later and is
// believed.
func TestAnswersOfThePastAreDropped(t *testing.T) {
	for _, stale := range []string{"1", "", "soon"} {
		is := is.New(t)
		ctx := context.Background()
		c := stated(http.StatusOK, "1", "2", stale, stale, "2")
		var renewed [][2]uint64
		dropped := 0
		c.Renewed = func(before, now uint64) { renewed = append(renewed, [2]uint64{before, now}) }
		c.Dropped = func(string, versioner.Verdict) { dropped++ }
		for range 2 {
			_, err := c.Get(ctx, "k", "a")
			is.NoErr(err)
		}
		is.Equal(renewed, [][2]uint64{{1, 2}})
		_, err := c.Get(ctx, "k", "a")
		is.True(errors.Is(err, keeper.ErrEra))
		_, err = c.Put(ctx, "k", "a", 6, 1)
		is.True(errors.Is(err, keeper.ErrLost)) // it may have been done
		is.Equal(dropped, 2)
		o, err := c.Get(ctx, "k", "a")
		is.NoErr(err)
		is.Equal(o.At(), versioner.Version{Era: 2, Revision: 7})
		is.Equal(len(renewed), 1)
	}
}

func TestAStoreWithoutErasStaysInOne(t *testing.T) {
	is := is.New(t)
	c := stated(http.StatusOK, "", "")
	c.Renewed = func(uint64, uint64) { t.Error("renewed") }
	for range 2 {
		o, err := c.Get(context.Background(), "k", "a")
		is.NoErr(err)
		is.Equal(o.At(), versioner.Version{Revision: 7})
	}
}
