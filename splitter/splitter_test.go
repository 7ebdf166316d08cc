package splitter

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

func members(text string) (out []string, err error) {
	err = Members([]byte(text), func(name, value []byte) error {
		out = append(out, string(name)+"="+string(value))
		return nil
	})
	return out, err
}

func elements(text string) (out []string, err error) {
	err = Elements([]byte(text), func(value []byte) error {
		out = append(out, string(value))
		return nil
	})
	return out, err
}

func TestMembersAreFound(t *testing.T) {
	for text, want := range map[string][]string{
		`{}`:                                  nil,
		" null\n":                             nil,
		` { "a" : 1 , "b":[1, {"c":2}] } `:    {"a=1", `b=[1, {"c":2}]`},
		`{"a":"}]\\\"","a":-1.5e999}`:         {`a="}]\\\""`, "a=-1.5e999"},
		`{"\u0061\"":NaN,"b":-Infinity}`:      {`a"=NaN`, "b=-Infinity"},
		"{\"a\":\"\xff\",\"\xff\":{\"\":[]}}": {"a=\"\xff\"", "\ufffd={\"\":[]}"},
	} {
		is := is.New(t)
		got, err := members(text)
		is.NoErr(err)
		is.Equal(got, want)
	}
}

func TestElementsAreFound(t *testing.T) {
	for text, want := range map[string][]string{
		`[]`: nil, `null`: nil, "[1,\t2]\n": {"1", "2"}, `[{"a":[]},"],",[[]]]`: {`{"a":[]}`, `"],"`, "[[]]"},
	} {
		is := is.New(t)
		got, err := elements(text)
		is.NoErr(err)
		is.Equal(got, want)
	}
}

func TestTextsWithoutValuesAreErrors(t *testing.T) {
	for _, text := range []string{
		``, `1`, `"a"`, `[`, `{`, `{"a"`, `{"a":`, `{"a":}`, `{"a":1`, `{"a":1,`, `{"a":1}}`, `{"a":1}x`, `{,}`, `{"a":1,}`, `{"a" 1}`,
		`{a:1}`, `{"a":1 2}`, `[1`, `[1,`, `[,1]`, `[1 2]`, `["`, `["\`, `["\"`, `[[]`, `[[1]`, `[1]]`,
	} {
		is := is.New(t)
		_, inObject := members(text)
		is.True(errors.Is(inObject, ErrSyntax))
		_, inArray := elements(text)
		is.True(errors.Is(inArray, ErrSyntax))
	}
}

// Guards against memory or a stack that grows with the nesting of a value.
func TestNestingTakesNoMemory(t *testing.T) {
	is := is.New(t)
	const levels = 4 << 20
	text := []byte("[" + strings.Repeat(`{"a":[`, levels/2) + strings.Repeat("]}", levels/2) + ",1]")
	count := func() { is.NoErr(Elements(text, func([]byte) error { return nil })) }
	is.True(testing.AllocsPerRun(1, count) < 10)
	is.True(errors.Is(Valid(text), ErrInvalid))
}

func TestValid(t *testing.T) {
	is := is.New(t)
	nested := func(levels int) []byte {
		return []byte(strings.Repeat("[", levels) + strings.Repeat("]", levels))
	}
	is.NoErr(Valid(nested(MaxDepth)))
	is.True(errors.Is(Valid(nested(MaxDepth+1)), ErrInvalid))
	is.NoErr(Valid([]byte(" {\"a\": [1e999, \"\xff\\ud800[[\", null, true]} ")))
	for _, value := range []string{"", "NaN", "[1,]", `{"a":Infinity}`, `"a`, "]", "01", "\x00"} {
		is.True(errors.Is(Valid([]byte(value)), ErrInvalid))
	}
}

// FuzzMembers: what is found in valid JSON is what encoding/json finds, and no bytes cause a
// panic.
func FuzzMembers(f *testing.F) {
	for _, text := range []string{`{}`, `{"a":1,"b":[2,{"c":"}"}]}`, ` {"\ud800" : "\"\\" } `, `{"a":NaN}`, "{\"\xff\":null}", `{"a":{`} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		got := map[string]string{}
		err := Members(text, func(name, value []byte) error {
			got[string(name)] = string(value)
			return nil
		})
		var want map[string]json.RawMessage
		if json.Unmarshal(text, &want) != nil {
			return
		}
		if err != nil {
			t.Fatalf("%q: %v", text, err)
		}
		if len(got) != len(want) {
			t.Fatalf("%q: %v", text, got)
		}
		for name, value := range want {
			if got[name] != string(value) {
				t.Fatalf("%q: %s", text, fmt.Sprint(got))
			}
		}
	})
}
