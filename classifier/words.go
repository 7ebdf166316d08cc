package classifier

// meaning is what a word can do to the proof that a statement is a read.
type meaning uint8

const (
	plain     meaning = iota // a name; as a function it is not on the list
	changes                  // changes data, takes locks or makes a table
	locking                  // UPDATE, SHARE, KEY or NO after FOR
	opener                   // reserved keyword that may stand before a parenthesis
	keyword                  // keyword that an expression may follow
	afterWord                // keyword before a parenthesis, if an operand is before it
	afterCall                // keyword before a parenthesis, if one was closed before it
	function                 // function that reads only
)

// maxWord is the length of the longest word in the lists.
const maxWord = 24

// folded is a word in lower case, in place.
type folded struct {
	buf [maxWord]byte
	n   int
}

// fold sets f to w in lower case. A longer word than any in the lists is folded
// to nothing, which is in none of them.
func (f *folded) fold(w []byte) {
	f.n = 0
	if len(w) > maxWord {
		return
	}
	f.n = len(w)
	for i, c := range w {
		if c >= 'A' && c <= 'Z' {
			c |= 0x20
		}
		f.buf[i] = c
	}
}

// is reports whether the folded word is s.
func (f *folded) is(s string) bool { return string(f.buf[:f.n]) == s }

// meaning looks the word up. The openers are reserved words, so no function can
// bear their name unquoted.
func (f *folded) meaning() meaning {
	switch string(f.buf[:f.n]) {
	case "insert", "update", "delete", "merge", "into", "call", "truncate", "lock", "copy",
		"create", "alter", "drop", "grant", "revoke", "vacuum", "returning":
		return changes
	case "share", "key", "no":
		return locking
	case "in", "and", "or", "not", "any", "all", "some", "select", "distinct", "on", "where",
		"having", "from", "lateral", "as", "when", "then", "else", "case", "union", "intersect",
		"except", "using", "limit", "offset", "array", "only", "exists", "values", "row",
		"between", "grouping", "group", "interval", "is", "symmetric", "order":
		return opener
	case "zone", "to", "escape", "for", "first", "next", "asymmetric", "overlaps", "rows",
		"range", "groups", "passing", "by", "with", "preceding", "collate":
		return keyword
	case "join", "like", "ilike":
		return afterWord
	case "over", "filter":
		return afterCall
	}
	if f.readsOnly() {
		return function
	}
	return plain
}

// readsOnly reports whether the word is the name of a built-in function that
// changes nothing, or of a type used like one.
func (f *folded) readsOnly() bool {
	switch string(f.buf[:f.n]) {
	case "count", "sum", "avg", "min", "max", "bool_and", "bool_or", "every", "array_agg",
		"string_agg", "json_agg", "jsonb_agg", "json_object_agg", "jsonb_object_agg",
		"stddev", "variance", "percentile_cont", "percentile_disc", "mode",
		"row_number", "rank", "dense_rank", "percent_rank", "ntile", "lag", "lead",
		"first_value", "last_value", "nth_value":
		return true
	case "coalesce", "nullif", "greatest", "least", "cast", "extract",
		"lower", "upper", "initcap", "length", "char_length", "octet_length", "substring",
		"substr", "trim", "btrim", "ltrim", "rtrim", "replace", "translate", "repeat", "left",
		"right", "lpad", "rpad", "position", "strpos", "split_part", "concat", "concat_ws",
		"format", "md5", "reverse", "ascii", "chr", "starts_with", "overlay", "quote_literal",
		"quote_ident", "to_hex", "encode", "decode", "sha256":
		return true
	case "abs", "ceil", "ceiling", "floor", "round", "trunc", "mod", "power", "sqrt", "sign",
		"exp", "ln", "log", "div", "random", "generate_series", "unnest", "array_length",
		"cardinality", "array_to_string", "string_to_array", "array_position",
		"now", "clock_timestamp", "statement_timestamp", "transaction_timestamp", "date_trunc",
		"date_part", "age", "to_char", "to_date", "to_timestamp", "to_number", "make_date",
		"make_interval", "make_timestamp", "current_timestamp", "localtimestamp", "date_bin",
		"isfinite", "justify_days":
		return true
	case "to_json", "to_jsonb", "row_to_json", "json_build_object", "jsonb_build_object",
		"json_build_array", "jsonb_build_array", "json_array_elements", "jsonb_array_elements",
		"json_array_length", "jsonb_array_length", "jsonb_typeof", "json_typeof",
		"current_setting", "version", "current_database", "current_schema", "pg_typeof",
		"pg_sleep":
		return true
	}
	return f.typeName()
}

// typeName reports whether the word is a type that takes a length, as in
// numeric(10,2).
func (f *folded) typeName() bool {
	switch string(f.buf[:f.n]) {
	case "varchar", "char", "character", "varying", "numeric", "decimal", "float", "bit",
		"timestamp", "timestamptz", "time":
		return true
	}
	return false
}
