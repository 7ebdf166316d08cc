package conductor

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"basildale.example/basildale/carrier"
	"basildale.example/basildale/cataloger"
)

const secret = "bkf83fgfwrz56aw63is4"

// keyed is a session of a caller that has shown a key, and the configuration of its fleet.
type keyed struct {
	*Session
	group   *group
	catalog *cataloger.Catalog
	version uint64
}

func newKeyed() *keyed {
	s, g := newSession()
	k := &keyed{Session: s, group: g, catalog: &cataloger.Catalog{}}
	s.View = k.catalog.View
	s.Key = cataloger.NewFingerprint(secret)
	k.configure("depot", secret)
	return k
}

// configure puts a configuration in force in which a workspace holds some keys.
func (k *keyed) configure(workspace string, keys ...string) {
	k.version++
	w := cataloger.Workspace{Name: workspace}
	for _, key := range keys {
		w.Keys = append(w.Keys, cataloger.NewFingerprint(key))
	}
	k.catalog.Configure(cataloger.Config{
		Version: k.version, IdleTransactionTimeout: time.Second, KeysRequired: true, Workspaces: []cataloger.Workspace{w}, Routes: []cataloger.Route{
			{Database: "guards", Group: "g", Timeout: time.Second, Objective: time.Second},
			{Database: "open", Group: "g", Timeout: time.Second, Objective: time.Second, Public: true},
		},
	})
}

func TestStatementsAreTheWorkspacesOfTheirKeys(t *testing.T) {
	is := is.New(t)
	k := newKeyed()
	is.Equal(k.do(Read, "", "seat").Code, carrier.OK)
	is.Equal(k.do(Begin, "", "").Code, carrier.OK)
	is.Equal(k.do(Read, "", "seat").Code, carrier.OK)
	is.Equal(k.do(Read, "", "seat").Code, carrier.OK)
	for _, job := range k.group.jobs {
		is.Equal(job.Workspace, "depot")
	}
	k = newKeyed()
	k.Key = cataloger.Fingerprint{}
	is.Equal(k.do(Read, "", "seat").Code, carrier.Forbidden)
	is.Equal(k.do(Begin, "", "").Code, carrier.Forbidden)
	is.Equal(k.State(), carrier.Idle)
	k.Database = "open"
	is.Equal(k.do(Read, "", "seat").Code, carrier.OK)
	is.Equal(len(k.group.jobs), 1)
	is.Equal(k.group.jobs[0].Workspace, "")
}

// Guards against a caller that goes on with a key that was taken away: idle, and inside
// a transaction.
func TestARevokedKeyOpensNothing(t *testing.T) {
	is := is.New(t)
	k := newKeyed()
	is.Equal(k.do(Read, "", "seat").Code, carrier.OK)
	k.configure("depot", "another")
	is.Equal(k.do(Read, "", "seat").Code, carrier.Forbidden)
	k.configure("depot", "another", secret)
	is.Equal(k.do(Read, "", "seat").Code, carrier.OK) // it is back

	is.Equal(k.do(Begin, "", "").Code, carrier.OK)
	is.Equal(k.do(Write, "", "seat anna").Code, carrier.OK)
	k.configure("depot", "another")
	reply := k.do(Write, "", "seat bo")
	is.Equal(reply.Code, carrier.Forbidden)
	is.Equal(reply.State, carrier.Broken)
	is.Equal(k.do(Commit, "", "").Code, carrier.Aborted)
	is.Equal(k.group.ended(), []string{"rollback"})
}

// Guards against a transaction that is committed with a key that was taken away.
func TestARevokedKeyCommitsNothing(t *testing.T) {
	is := is.New(t)
	k := newKeyed()
	is.Equal(k.do(Begin, "", "").Code, carrier.OK)
	is.Equal(k.do(Write, "", "seat anna").Code, carrier.OK)
	k.configure("depot", "another")
	reply := k.do(Commit, "", "")
	is.Equal(reply.Code, carrier.Forbidden)
	is.Equal(reply.State, carrier.Idle)
	is.Equal(k.group.ended(), []string{"rollback"})
}

// Guards against a transaction of which one half is one workspace's and one another's.
func TestAKeyThatMovesEndsItsTransaction(t *testing.T) {
	is := is.New(t)
	k := newKeyed()
	is.Equal(k.do(Begin, "", "").Code, carrier.OK)
	is.Equal(k.do(Read, "", "seat").Code, carrier.OK)
	k.configure("hall", secret)
	is.Equal(k.do(Read, "", "seat").Code, carrier.Forbidden)
	is.Equal(k.do(Rollback, "", "").Code, carrier.OK)
	is.Equal(k.do(Read, "", "seat").Code, carrier.OK)
	is.Equal(k.group.jobs[len(k.group.jobs)-1].Workspace, "hall")
}

// An operation is one statement, or a transaction: it is counted once, before it costs an
// upstream anything.
func TestOperationsAreCountedOnce(t *testing.T) {
	is := is.New(t)
	k := newKeyed()
	counted := 0
	left := 2
	k.Admit = func(workspace string, _ time.Time) carrier.Answer {
		is.Equal(workspace, "depot")
		counted++
		if counted > left {
			return carrier.Answer{Code: carrier.Busy, Text: "come back in 1s"}
		}
		return carrier.Answer{}
	}
	is.Equal(k.do(Read, "", "seat").Code, carrier.OK)
	is.Equal(k.do(Begin, "", "").Code, carrier.OK)
	for range 3 {
		is.Equal(k.do(Read, "", "seat").Code, carrier.OK)
	}
	is.Equal(k.do(Commit, "", "").Code, carrier.OK)
	is.Equal(counted, 2)
	ran := len(k.group.jobs)
	is.Equal(k.do(Read, "", "seat").Code, carrier.Busy)
	is.Equal(k.do(Begin, "", "").Code, carrier.OK)
	is.Equal(k.do(Write, "", "seat anna").Code, carrier.Busy)
	is.Equal(k.do(Rollback, "", "").Code, carrier.OK)
	is.Equal(len(k.group.jobs), ran)
	is.Equal(counted, 4)
}

// Guards against keys in logs and answers.
func TestAKeyIsNeverTold(t *testing.T) {
	is := is.New(t)
	k := newKeyed()
	core, logs := observer.New(zap.DebugLevel)
	k.Log = zap.New(core)
	k.do(Begin, "", "")
	k.configure("depot", "another")
	reply := k.do(Read, "", "seat")
	k.do(Rollback, "", "")
	again := k.do(Read, "", "seat")
	is.True(logs.Len() >= 2)
	text := reply.Text + again.Text
	for _, entry := range logs.All() {
		text += entry.Message
		for _, f := range entry.Context {
			text += f.String
			if s, ok := f.Interface.(interface{ String() string }); ok {
				text += s.String()
			}
		}
	}
	is.True(!strings.Contains(text, secret))
}
