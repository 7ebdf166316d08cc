package relayer

import (
	"testing"

	"github.com/matryer/is"

	"basildale.example/basildale/classifier"
)

// Guards against texts whose settings outlast their transaction unnoticed.
func TestTextsThatSetByFunction(t *testing.T) {
	for sql, want := range map[string]bool{
		"SELECT 1":                                                                 false,
		"INSERT INTO seats (a_b) VALUES ('_')":                                     false,
		"SELECT set_config('a', 'b', false)":                                       true,
		"SELECT pg_catalog.SET_CONFIG ('a', 'b', 'f')":                             true,
		"SELECT set_config($1, $2, $3)":                                            true,
		"SELECT set_config('a', $1, true)":                                         false,
		"SELECT set_config('a', f(',', ')'), TRUE )":                               false,
		"SELECT set_config('a', 'it''s', true), set_config('b', 'c', false)":       true,
		"SELECT set_config('a', E'\\'', false), set_config('b', 'c, true)', true)": true,
		"SELECT set_config('a', 'b', /* ) */ false), (1, true)":                    true,
		"SELECT set_config('a', $$'$$, false), ('b', true)":                        true,
		"SELECT set_config('a'":                                                    true,
		"SELECT a_, set_config":                                                    false, // a column
	} {
		st := classifier.Classify([]byte(sql))
		is.New(t).Equal(setsByFunction(st.Kind, []byte(sql)), want) // by text
	}
}
