package classifier

import (
	"bytes"
	"regexp"
	"testing"

	"github.com/matryer/is"
)

func TestKinds(t *testing.T) {
	tests := []struct {
		text string
		want Kind
	}{
		{"", Empty},
		{" ; -- nothing\n/* at /* all */ */", Empty},
		{"SELECT 1", Read},
		{"(select 1) union all (select 2)", Read},
		{"VALUES (1), (2)", Read},
		{"TABLE seats", Read},
		{"SHOW work_mem", Read},
		{"SHOW TRANSACTION ISOLATION LEVEL", Read},
		{"SHOW transaction_read_only", Write},
		{"SELECT count(*), pg_sleep(0.01), repeat('a', 3) FROM seats WHERE id IN (1,2)", Read},
		{"SELECT x.a FROM (SELECT a FROM t) AS x(a) JOIN (SELECT 2) y ON (x.a=y.a)", Read},
		{"SELECT sum(a) OVER (PARTITION BY b ORDER BY c), count(*) FILTER (WHERE a > 1) FROM t", Read},
		{"SELECT a FROM t WHERE NOT EXISTS (SELECT 1) AND a LIKE ('x%') AND a = ANY ($1)", Read},
		{"SELECT a::numeric(10,2), CAST(b AS varchar(3)) FROM t GROUP BY (a, b) LIMIT (2)", Read},
		{"WITH RECURSIVE t(n) AS (SELECT 1 UNION SELECT n+1 FROM t) SELECT n FROM t", Read},
		{"SELECT 'insert into t', \"update\", $q$ delete $q$, E'it\\'s; drop' -- merge", Read},
		{"SELECT substring(a FOR 3) FROM t", Read},
		{"EXPLAIN SELECT 1", Read},
		{"EXPLAIN (ANALYZE, BUFFERS) SELECT 1", Read},
		{"EXPLAIN ANALYZE INSERT INTO t VALUES (1)", Write},
		{"EXPLAIN (SELECT nextval('s'))", Write},
		{"EXPLAIN EXECUTE p", Write},
		{"INSERT INTO t VALUES (1)", Write},
		{"SELECT 1 INTO t", Write},
		{"SELECT * FROM t FOR UPDATE", Write},
		{"SELECT * FROM t FOR NO KEY UPDATE", Write},
		{"SELECT * FROM t FOR KEY SHARE", Write},
		{"TABLE t FOR SHARE", Write},
		{"WITH x AS (DELETE FROM t RETURNING *) SELECT * FROM x", Write},
		{"SELECT nextval('s')", Write},
		{"SELECT pg_advisory_lock(1)", Write},
		{"SELECT set_config('a', 'b', false)", Write},
		{"SELECT public.lower('a')", Write},
		{"SELECT \"lower\"('a')", Write},
		{"SELECT over(1)", Write},
		{"SELECT now() AT TIME ZONE like('a', 'b')", Write},
		{"SELECT lower /* x */ ('a'), book/**/(1)", Write},
		{"SELECT (1", Write},
		{"SELECT 1)", Write},
		{"SELECT 'open", Write},
		{"SELECT /* open", Write},
		{"SELECT $x$ open", Write},
		{"SELECT '\\'; INSERT INTO t VALUES (1); --'", Write},
		{"SELECT 1; SELECT 2;", Read},
		{"SELECT 1; UPDATE t SET a = 1", Write},
		{"BEGIN; SELECT 1", Multi},
		{"BEGIN; INSERT INTO t VALUES (1); COMMIT", Write},
		{"SET a = 1; SET b = 2", Multi},
		{"CREATE TABLE t (a int)", Write},
		{"LOCK TABLE t", Write},
		{"CALL p()", Write},
		{"DO $$ BEGIN END $$", Write},
		{"DECLARE c CURSOR FOR SELECT 1", Write},
		{"start transaction", Begin},
		{"START", Write},
		{"END", Commit},
		{"ABORT WORK", Rollback},
		{"COMMIT PREPARED 'x'", Write},
		{"PREPARE TRANSACTION 'x'", Write},
		{"SAVEPOINT a", Savepoint},
		{"RELEASE SAVEPOINT a", Savepoint},
		{"ROLLBACK TO SAVEPOINT a", Savepoint},
		{"EXECUTE p", Execute},
		{"EXECUTE p (1, lower('a'))", Execute},
		{"EXECUTE p (nextval('s'))", Write},
		{"DEALLOCATE PREPARE p", Deallocate},
		{"DISCARD ALL", Discard},
		{"RESET search_path", Reset},
		{"LISTEN seats", Listen},
		{"UNLISTEN *", Listen},
		{"NOTIFY seats, 'x'", Notify},
		{"COPY t FROM STDIN", Copy},
		{"BEGIN nonsense", Write},
	}
	for _, tt := range tests {
		t.Run(tt.text, func(t *testing.T) {
			is.New(t).Equal(Classify([]byte(tt.text)).Kind.String(), tt.want.String())
		})
	}
}

func TestParts(t *testing.T) {
	tests := []struct {
		text string
		want Statement
	}{
		{"BEGIN ISOLATION LEVEL REPEATABLE READ, READ ONLY", Statement{Kind: Begin, Isolation: RepeatableRead, ReadOnly: true}},
		{"START TRANSACTION READ WRITE", Statement{Kind: Begin, ReadWrite: true}},
		{"SET TRANSACTION READ ONLY", Statement{Kind: Set, Local: true, ReadOnly: true, Name: []byte("TRANSACTION")}},
		{"SET SESSION CHARACTERISTICS AS TRANSACTION READ ONLY", Statement{Kind: Set, ReadOnly: true, Name: []byte("CHARACTERISTICS")}},
		{"SET basildale.session = 'kiosk 7'", Statement{Kind: Set, Name: []byte("basildale.session"), Value: []byte("'kiosk 7'")}},
		{"SET LOCAL work_mem TO '1MB' ;", Statement{Kind: Set, Local: true, Name: []byte("work_mem"), Value: []byte("'1MB'")}},
		{"set time zone 'UTC'", Statement{Kind: Set, Name: []byte("time zone"), Value: []byte("'UTC'")}},
		{"SET SESSION AUTHORIZATION anna", Statement{Kind: Set, Name: []byte("AUTHORIZATION"), Value: []byte("anna")}},
		{"SET search_path = a, b", Statement{Kind: Set, Name: []byte("search_path"), Value: []byte("a, b")}},
		{"COMMIT AND CHAIN", Statement{Kind: Commit, Chain: true}},
		{"PREPARE p (int) AS SELECT $1", Statement{Kind: Prepare, Inner: Read, Name: []byte("p")}},
		{"PREPARE p AS UPDATE t SET a = 1", Statement{Kind: Prepare, Inner: Write, Name: []byte("p")}},
		{"RESET basildale.age", Statement{Kind: Reset, Name: []byte("basildale.age")}},
		{"RESET ALL", Statement{Kind: Reset}},
	}
	for _, tt := range tests {
		t.Run(tt.text, func(t *testing.T) {
			is := is.New(t)
			tt.want.Count = 1
			tt.want.Kinds = 1 << tt.want.Kind
			is.Equal(Classify([]byte(tt.text)), tt.want)
		})
	}
}

func TestSettingLosesItsQuotes(t *testing.T) {
	is := is.New(t)
	for text, want := range map[string]string{"SET a = 'b c'": "b c", "SET a TO b": "b", "SET a = 12": "12"} {
		st := Classify([]byte(text))
		v, ok := st.Setting()
		is.True(ok)
		is.Equal(string(v), want)
	}
	for _, text := range []string{"SET a = b, c", "SET a = E'b'", "SET a = 'b''c'", "SET a ="} {
		st := Classify([]byte(text))
		_, ok := st.Setting()
		is.True(!ok)
	}
}

func TestNextCutsAtSemicolons(t *testing.T) {
	is := is.New(t)
	st, rest := Next([]byte("SET a = ';'; /* ; */ SELECT 1"))
	is.Equal(st.Kind, Set)
	st, rest = Next(rest)
	is.Equal(st.Kind, Read)
	is.Equal(len(rest), 0)
}

func TestClassifyAllocatesNothing(t *testing.T) {
	text := []byte("SELECT count(*) FROM seats WHERE train = $1 AND day IN (1, 2); SET a = 'b'")
	is.New(t).Equal(testing.AllocsPerRun(100, func() { Classify(text) }), 0.0)
}

// outside removes what can hide a keyword, for texts without dollar quotes,
// backslashes and block comments.
var outside = regexp.MustCompile(`--[^\n\r]*|'[^']*'|"[^"]*"`)

// FuzzClassify looks for a panic, and for a Read that is none.
//
// Symptom: an INSERT runs on a replica, is refused, and counts as a read.
// Sequence: a text is cut so that the INSERT seems to be in a string or comment.
// Cause: a quote that is read otherwise than PostgreSQL reads it.
func FuzzClassify(f *testing.F) {
	for _, s := range []string{
		"SELECT 1", "SELECT 'a' -- b", "SELECT E'\\''", "SELECT $a$x$a$", "SELECT \"a\"\"b\" /* /* */ */",
		"WITH x(a) AS (SELECT 1) TABLE x", "SHOW a; SELECT U&'x'", "SELECT 'insert' insert 'x'", "SELECT '\\'' insert",
	} {
		f.Add([]byte(s))
	}
	insert := regexp.MustCompile(`(?i)(^|[^\w$\x{80}-\x{10FFFF}])insert($|[^\w$\x{80}-\x{10FFFF}])`)
	f.Fuzz(func(t *testing.T, text []byte) {
		is := is.New(t)
		if Classify(text).Kind != Read {
			return
		}
		for _, end := range []string{"\ninsert into t values (1)", "\n;\nINSERT INTO t VALUES (1)", "\n;nextval(1)"} {
			is.True(Classify(append(bytes.Clone(text), end...)).Kind != Read)
		}
		if bytes.ContainsAny(text, "$\\") || bytes.Contains(text, []byte("/*")) {
			return
		}
		is.True(!insert.Match(outside.ReplaceAll(text, []byte(" x "))))
	})
}

func BenchmarkClassify(b *testing.B) {
	text := []byte("SELECT count(*) FROM seats WHERE train = $1 AND day IN (1, 2) ORDER BY seat LIMIT 10")
	b.ReportAllocs()
	for b.Loop() {
		Classify(text)
	}
}
