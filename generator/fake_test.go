package generator_test

import (
	"context"
	"net/netip"
	"regexp"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"basildale.example/basildale/generator"
)

// fakeDB is a table without sockets, for virtual time. Transactions write at
// once, which is enough as long as they commit.
type fakeDB struct {
	mu   sync.Mutex
	rows map[string][]string
	ids  []string
	// delay is how long a statement takes that starts now.
	delay func() time.Duration
	// spoil may change what a statement answers.
	spoil func(sql string, rows [][]string, err error) ([][]string, error)
	// skip says that a statement isn't run.
	skip func(sql string) bool
}

func (db *fakeDB) connect(context.Context, netip.AddrPort, string) (generator.Conn, error) {
	return generator.Conn{
		Exec: func(_ context.Context, sql string, args ...string) ([][]string, error) {
			if db.delay != nil {
				time.Sleep(db.delay())
			}
			for i, a := range args {
				sql = strings.Replace(sql, "$"+string(rune('1'+i)), "'"+a+"'", 1)
			}
			if db.skip != nil && db.skip(sql) {
				return nil, nil
			}
			rows, err := db.exec(sql)
			if db.spoil != nil {
				return db.spoil(sql, rows, err)
			}
			return rows, err
		},
		Alive: func() bool { return true },
		Close: func() {},
	}, nil
}

func (db *fakeDB) exec(sql string) ([][]string, error) {
	db.mu.Lock()
	defer db.mu.Unlock()
	if db.rows == nil {
		db.rows = make(map[string][]string)
	}
	var texts []string
	for _, m := range regexp.MustCompile(`'([^']*)'`).FindAllStringSubmatch(sql, -1) {
		texts = append(texts, m[1])
	}
	switch {
	case strings.HasPrefix(sql, "INSERT"):
		if db.rows[texts[0]] != nil {
			return nil, &pgconn.PgError{Code: "23505"}
		}
		db.rows[texts[0]] = texts
		db.ids = append(db.ids, texts[0])
		return nil, nil
	case strings.HasPrefix(sql, "SELECT") && len(texts) > 0:
		if r := db.rows[texts[0]]; r != nil {
			return [][]string{r}, nil
		}
		return nil, nil
	case strings.HasPrefix(sql, "SELECT"):
		var all [][]string
		for _, id := range db.ids {
			all = append(all, db.rows[id])
		}
		return all, nil
	default:
		return nil, nil
	}
}
