package keeper_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"basildale.example/basildale/adapter/keeper"
)

// fixed is a platform that gives one answer.
type fixed string

func (f fixed) RoundTrip(req *http.Request) (*http.Response, error) {
	body := io.NopCloser(bytes.NewReader([]byte(f)))
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Request: req, Body: body}, nil
}

func nested(levels int) string { return strings.Repeat("[", levels) + strings.Repeat("]", levels) }

// Guards against one odd value that costs the whole list or watch with it, and against a value
// that can be read by itself but not within what is sent to other processes.
func TestOddValueLeavesPage(t *testing.T) {
	for name, odd := range map[string]string{
		"nested deeply": nested(100_000), "nested to the decoder's limit": nested(9_999), "infinite": `{"a":-Infinity}`,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			page := fmt.Sprintf(`{"items":[{"kind":"k","name":"a","version":3,"value":%s},{"kind":"k","name":"b","version":4,"value":{"x":1}}],"version":5}`, odd)
			c := &keeper.Client{Addrs: stub(), Transport: fixed(page)}
			listed, err := c.All(t.Context(), "k")
			is.NoErr(err)
			is.Equal(len(listed), 2)
			is.Equal(string(listed[1].Value), `{"x":1}`)
			watched, err := c.Watch(t.Context(), "k", 2, time.Second)
			is.NoErr(err)
			is.Equal(watched.Version, uint64(5))
			is.Equal(watched.Items[0].Version, uint64(3))
			inner, err := json.Marshal(map[string]any{"delta": map[string]any{"items": watched.Items}})
			is.NoErr(err)
			_, err = json.Marshal(map[string]any{"params": map[string]any{"payload": json.RawMessage(inner)}})
			is.NoErr(err)
		})
	}
}

// Guards against one odd instance that costs the whole list with it.
func TestOddInstanceLeavesList(t *testing.T) {
	for _, odd := range []string{
		`{"name":"b","address":"10.0.0.2:65536"}`, `{"name":"b","role":"proxy","address":"10.0.0.2:0"}`, `{"name":"b","role":7}`, `null`, `{"name":"b","extra":` + nested(20_000) + `}`, `{"name":"b","extra":Infinity}`,
	} {
		is := is.New(t)
		list := `{"items":[{"name":"a","role":"upstream","address":"10.0.0.1:1","state":"live"},` + odd + `,{"name":"c","role":"proxy","address":"10.0.0.3:3","state":"live"}]}`
		c := &keeper.Client{Addrs: stub(), Transport: fixed(list)}
		found, err := c.Instances(t.Context(), "")
		is.NoErr(err)
		is.Equal(len(found), 3)
		is.Equal(found[0].Address.String(), "10.0.0.1:1")
		is.Equal(found[1].Role, "") // neither a proxy nor an upstream
		is.Equal(found[2].Address.String(), "10.0.0.3:3")
	}
}
