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

// keyedSession is the session of a caller that has presented a key, with the configuration of
// its fleet.
type keyedSession struct {
	*Session
	group   *fakeGroup
	catalog *cataloger.Catalog
	version uint64
}

func newKeyedSession() *keyedSession {
	s, g := newSession()
	k := &keyedSession{Session: s, group: g, catalog: &cataloger.Catalog{}}
	s.View = k.catalog.View
	s.Key = cataloger.NewFingerprint(secret)
	k.configure("depot", secret)
	return k
}

// configure applies a configuration in which a workspace has the given keys.
func (k *keyedSession) configure(workspace string, keys ...string) {
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

func TestStatementsBelongToWorkspaceOfKey(t *testing.T) {
	is := is.New(t)
	k := newKeyedSession()
	is.Equal(k.do(Read, "", "seat").Code, carrier.OK)
	is.Equal(k.do(Begin, "", "").Code, carrier.OK)
	is.Equal(k.do(Read, "", "seat").Code, carrier.OK)
	is.Equal(k.do(Read, "", "seat").Code, carrier.OK)
	for _, job := range k.group.jobs {
		is.Equal(job.Workspace, "depot")
	}
	k = newKeyedSession()
	k.Key = cataloger.Fingerprint{}
	is.Equal(k.do(Read, "", "seat").Code, carrier.Forbidden)
	is.Equal(k.do(Begin, "", "").Code, carrier.Forbidden)
	is.Equal(k.State(), carrier.Idle)
	k.Database = "open"
	is.Equal(k.do(Read, "", "seat").Code, carrier.OK)
	is.Equal(len(k.group.jobs), 1)
	is.Equal(k.group.jobs[0].Workspace, "")
}

// Guards against a caller that continues with a revoked key, outside or inside a transaction.
func TestRevokedKeyIsRefused(t *testing.T) {
	is := is.New(t)
	k := newKeyedSession()
	is.Equal(k.do(Read, "", "seat").Code, carrier.OK)
	k.configure("depot", "another")
	is.Equal(k.do(Read, "", "seat").Code, carrier.Forbidden)
	k.configure("depot", "another", secret)
	is.Equal(k.do(Read, "", "seat").Code, carrier.OK) // the key is valid again

	is.Equal(k.do(Begin, "", "").Code, carrier.OK)
	is.Equal(k.do(Write, "", "seat anna").Code, carrier.OK)
	k.configure("depot", "another")
	reply := k.do(Write, "", "seat bo")
	is.Equal(reply.Code, carrier.Forbidden)
	is.Equal(reply.State, carrier.InFailedTransaction)
	is.Equal(k.do(Commit, "", "").Code, carrier.Aborted)
	is.Equal(k.group.transactionEndings(), []string{"rollback"})
}

// Guards against a transaction that is committed with a revoked key.
func TestRevokedKeyCannotCommit(t *testing.T) {
	is := is.New(t)
	k := newKeyedSession()
	is.Equal(k.do(Begin, "", "").Code, carrier.OK)
	is.Equal(k.do(Write, "", "seat anna").Code, carrier.OK)
	k.configure("depot", "another")
	reply := k.do(Commit, "", "")
	is.Equal(reply.Code, carrier.Forbidden)
	is.Equal(reply.State, carrier.Idle)
	is.Equal(k.group.transactionEndings(), []string{"rollback"})
}

// Guards against a transaction that belongs to two workspaces because its key was moved.
func TestMovedKeyEndsTransaction(t *testing.T) {
	is := is.New(t)
	k := newKeyedSession()
	is.Equal(k.do(Begin, "", "").Code, carrier.OK)
	is.Equal(k.do(Read, "", "seat").Code, carrier.OK)
	k.configure("hall", secret)
	is.Equal(k.do(Read, "", "seat").Code, carrier.Forbidden)
	is.Equal(k.do(Rollback, "", "").Code, carrier.OK)
	is.Equal(k.do(Read, "", "seat").Code, carrier.OK)
	is.Equal(k.group.jobs[len(k.group.jobs)-1].Workspace, "hall")
}

// An operation is a single statement or a whole transaction: it is counted once, before it
// uses an upstream.
func TestOperationsAreCountedOnce(t *testing.T) {
	is := is.New(t)
	k := newKeyedSession()
	counted := 0
	left := 2
	k.Admit = func(job *carrier.Job) carrier.Answer {
		is.Equal(job.Workspace, "depot")
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

// Guards against keys that appear in logs or replies.
func TestKeyIsNeverDisclosed(t *testing.T) {
	is := is.New(t)
	k := newKeyedSession()
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
