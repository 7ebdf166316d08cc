package forwarder

import (
	"context"
	"encoding/json"
	"net/netip"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"basildale.example/basildale/carrier"
	"basildale.example/basildale/cataloger"
	"basildale.example/basildale/delegator"
	"basildale.example/basildale/gossiper"
	"basildale.example/basildale/internal/matcher"
	"basildale.example/basildale/tracker"
)

var ordinaryMark = tracker.Mark{Term: tracker.Term{Epoch: 3, Seq: 1}, Pos: 1207}

func ordinaryRequest() request {
	return request{
		Action: runOne, Group: "billet-db", Stream: 7, ReadOnly: true, Request: "5c0e7a21d94b36f8", Workspace: "aarhus", Rank: 2, Freshness: cataloger.Latest, MaxStaleness: time.Second,
		LastWrite: ordinaryMark, Writes: true, Age: time.Millisecond, Left: time.Second, Objective: 300 * time.Millisecond,
		Values: []carrier.Value{{Name: "lang", Data: "da"}}, Prepared: &carrier.Prepared{Shape: "q2c", Writes: true},
		Command: carrier.Command{ID: "5c0e7a21d94b36f8", Verb: carrier.Execute, Since: ordinaryMark, Text: "EXECUTE s1 1a4 xkqpwnzd", Name: "s1", Value: "1a4 <xkqpwnzd> \"é\t\u2028", Writes: true, Term: ordinaryMark.Term},
		Lend:    &delegator.Lend{Lender: "p/1", Seq: 1, Upstream: "i-7f3a91c2", Count: 2, Duration: time.Second, Echo: delegator.Token{Start: 1, At: 2}},
		Return:  &delegator.Return{Lender: "p/1", Seq: 1, Upstream: "i-7f3a91c2"}, Loads: true,
	}
}

func ordinaryResponse() response {
	return response{
		Answer: carrier.Answer{
			Rows: []string{"qhzkwmtrbelo", "<a&b>"}, Signature: "7.1f3.c.2b.90e1c4d2a7b3f655", Code: carrier.Busy, Text: "come back in 1s", State: carrier.InTransaction, Mark: ordinaryMark,
			Waited: time.Millisecond, Ran: time.Second, Upstream: "i-7f3a91c2", Connection: 3, Led: true, Queued: time.Millisecond, Place: 2, Gateway: "front-skje",
			Report: carrier.Report{Leads: true, Term: ordinaryMark.Term, Received: ordinaryMark, Held: ordinaryMark.Term},
		},
		Refused: true, LeaderFault: gossiper.Isolated, Substitute: &substitute{Name: "front-hal", Address: at(1)},
		Loan: &delegator.Reply{Granted: true}, Loads: []gatewayLoad{{Name: "front-hal", Statements: 3}},
	}
}

// Guards against messages that processes of an earlier build do not understand.
func TestOrdinaryMessagesKeepTheirForm(t *testing.T) {
	for _, test := range []struct {
		name  string
		value any
	}{
		{"request", ordinaryRequest()},
		{"request_small", request{Action: takeSample, Group: "billet-db", Left: sampleTimeout}},
		{"response", ordinaryResponse()},
		{"response_small", response{}},
	} {
		t.Run(test.name, func(t *testing.T) {
			encoded, err := json.Marshal(test.value)
			is.New(t).NoErr(err)
			matcher.Golden(t, "testdata/"+test.name+".golden", string(encoded)+"\n")
		})
	}
}

func drawRequest(t *rapid.T, bytes *rapid.Generator[string]) request {
	r := request{Action: runOne, Group: bytes.Draw(t, "group"), Request: bytes.Draw(t, "request"), Workspace: bytes.Draw(t, "workspace")}
	for range rapid.IntRange(0, 2).Draw(t, "values") {
		r.Values = append(r.Values, carrier.Value{Name: bytes.Draw(t, "name"), Data: bytes.Draw(t, "data")})
	}
	if rapid.Bool().Draw(t, "prepared") {
		r.Prepared = &carrier.Prepared{Shape: bytes.Draw(t, "shape")}
	}
	r.Command = carrier.Command{ID: bytes.Draw(t, "id"), Text: bytes.Draw(t, "text"), Name: bytes.Draw(t, "alias"), Value: bytes.Draw(t, "value")}
	return r
}

// Guards against a statement or an answer whose bytes change on the way between two processes.
func TestTextPassesBetweenProcessesUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		bytes := rapid.Map(rapid.SliceOf(rapid.Byte()), func(b []byte) string { return string(b) })
		want := drawRequest(t, bytes)
		answer := carrier.Answer{Signature: bytes.Draw(t, "signature"), Text: bytes.Draw(t, "cause"), Upstream: bytes.Draw(t, "upstream")}
		answer.Rows = rapid.SliceOfN(bytes, 1, 3).Draw(t, "rows")
		f := newFleet("home")
		var got request
		f.Send = func(_ context.Context, _ netip.AddrPort, payload json.RawMessage) (json.RawMessage, error) {
			is.NoErr(json.Unmarshal(payload, &got))
			return json.Marshal(response{Answer: answer})
		}
		resp, err := f.call(context.Background(), Candidate{Address: at(0)}, want)
		is.NoErr(err)
		is.Equal(got, want)
		is.Equal(resp.Answer, answer)
	})
}

// Guards against a field that is lost, or that stays behind, when messages are encoded.
func TestEveryFieldPassesBetweenProcesses(t *testing.T) {
	is := is.New(t)
	var r request
	var resp response
	fill(reflect.ValueOf(&r).Elem())
	fill(reflect.ValueOf(&resp).Elem())
	encoded, err := json.Marshal(r)
	is.NoErr(err)
	var gotRequest request
	is.NoErr(json.Unmarshal(encoded, &gotRequest))
	is.Equal(gotRequest, r)
	encoded, err = json.Marshal(resp)
	is.NoErr(err)
	var gotResponse response
	is.NoErr(json.Unmarshal(encoded, &gotResponse))
	is.Equal(gotResponse, resp)
}

// fill sets every field below a value to something other than zero.
func fill(v reflect.Value) {
	switch v.Kind() {
	case reflect.Struct:
		if v.Type() == reflect.TypeFor[netip.AddrPort]() {
			v.Set(reflect.ValueOf(at(1)))
			return
		}
		for i := range v.NumField() {
			fill(v.Field(i))
		}
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem())
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		fill(v.Index(0))
		fill(v.Index(1))
	case reflect.Map:
		v.Set(reflect.MakeMap(v.Type()))
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key)
		fill(value)
		v.SetMapIndex(key, value)
	case reflect.String:
		v.SetString("s")
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int64:
		v.SetInt(3)
	case reflect.Uint8, reflect.Uint32, reflect.Uint64:
		v.SetUint(3)
	default:
		panic("kind " + v.Kind().String())
	}
}

// Guards against text that is cut or empty because its form comes from a later build.
func TestUnknownFormOfTextIsAnError(t *testing.T) {
	for _, encoded := range []string{`{}`, `{"c":"eA=="}`, `{"b":"*"}`, `{"b":null}`, `7`, `["x"]`} {
		var got text
		is.New(t).True(json.Unmarshal([]byte(encoded), &got) != nil) // an unknown form
	}
}

// Guards against text of control characters that takes six times its size between processes.
func TestEncodedTextStaysNearItsSize(t *testing.T) {
	is := is.New(t)
	for _, content := range []string{"\x00", "<", "\xff", "x", "\u2028"} {
		want := text(strings.Repeat(content, (1<<20)/len(content)))
		encoded, err := json.Marshal(want)
		is.NoErr(err)
		is.True(len(encoded) <= len(want)*4/3+64) // the size of base64 at most
		var got text
		is.NoErr(json.Unmarshal(encoded, &got))
		is.True(got == want)
	}
}

// earlierRequest is a part of a request as processes of an earlier build decode it.
type earlierRequest struct {
	Command struct{ Text string } `json:"command"`
}

// Guards against a process of an earlier build that runs a statement it reads other bytes of.
func TestEarlierBuildRefusesTextThatIsNoString(t *testing.T) {
	is := is.New(t)
	for content, readable := range map[string]bool{"WRITE a <b>\t\u2028\n\x00": true, "WRITE a \xe6": false} {
		encoded, err := json.Marshal(request{Command: carrier.Command{Text: content}})
		is.NoErr(err)
		var got earlierRequest
		err = json.Unmarshal(encoded, &got)
		is.Equal(err == nil, readable)
		is.True(err != nil || got.Command.Text == content)
	}
}
