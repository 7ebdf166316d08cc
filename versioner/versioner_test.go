package versioner

import (
	"encoding/json"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
)

func TestVersionsAreOrderedByEraFirst(t *testing.T) {
	is := is.New(t)
	rising := []Version{{}, {Revision: 9}, {Era: 1}, {Era: 1, Revision: 3}, {Era: 2, Revision: 1}, {Era: 2, Revision: 2}}
	for i, v := range rising {
		for j, o := range rising {
			is.Equal(v.Less(o), i < j)
			is.Equal(v.Max(o), rising[max(i, j)])
		}
	}
}

func TestVersionsEncodeAsTextAndCBOR(t *testing.T) {
	is := is.New(t)
	v := Version{Era: 3, Revision: 1042}
	b, err := json.Marshal(v)
	is.NoErr(err)
	is.Equal(string(b), `"3/1042"`)
	var got Version
	is.NoErr(json.Unmarshal(b, &got))
	is.Equal(got, v)
	for _, wrong := range []string{`""`, `"3"`, `"3/"`, `"/3"`, `"a/3"`, `"3/-1"`, `7`} {
		is.True(json.Unmarshal([]byte(wrong), &got) != nil)
	}
	b, err = cbor.Marshal(v)
	is.NoErr(err)
	is.True(len(b) <= 5)
	got = Version{}
	is.NoErr(cbor.Unmarshal(b, &got))
	is.Equal(got, v)
}

func TestErasOfAnswers(t *testing.T) {
	for _, test := range []struct {
		name    string
		stated  []string
		verdict []Verdict
		current uint64
	}{
		{"a store without eras", []string{"", "", ""}, []Verdict{Current, Current, Current}, 0},
		{"the first stated era is no change", []string{"4", "4"}, []Verdict{Current, Current}, 4},
		{"a store that begins to state eras", []string{"", "1", ""}, []Verdict{Current, Later, Missing}, 1},
		{"a restore", []string{"1", "2", "1", "2"}, []Verdict{Current, Later, Earlier, Current}, 2},
		{"two restores between two answers", []string{"1", "3", "2"}, []Verdict{Current, Later, Earlier}, 3},
		{"no era after a stated one", []string{"0", "", "0"}, []Verdict{Current, Missing, Current}, 0},
		{"not a number", []string{"1", "x", "-1", "1.0", " 2", "18446744073709551616"}, []Verdict{Current, Unreadable, Unreadable, Unreadable, Unreadable, Unreadable}, 1},
		{"above MaxEra", []string{"1", "8192", "2"}, []Verdict{Current, Unreadable, Later}, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var e EraTracker
			for i, stated := range test.stated {
				is.Equal(e.Check(stated), test.verdict[i])
			}
			is.Equal(e.Current(), test.current)
		})
	}
}
