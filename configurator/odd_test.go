package configurator

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"
)

// Guards against an object without a spec that is taken for one whose fields are all zero, and
// replaces what was in force.
func TestOddObjectIsNotDecoded(t *testing.T) {
	for _, value := range []string{
		``, `null`, `7`, `[]`, `{}`, `{"spec":null}`, `{"spec":7}`, `{"spec":{"slots":1e999,"address":7}}`, `{"meta":7,"spec":{}}`,
	} {
		t.Run(value, func(t *testing.T) {
			is := is.New(t)
			_, err := Decode(Object{Name: ID{KindGroup, "billet"}.String(), Version: 3, Value: json.RawMessage(value)})
			is.True(err != nil)
		})
	}
}
