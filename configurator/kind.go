package configurator

import (
	"bytes"
	"encoding/json"
	"net/netip"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// StoreKind is the platform's kind under which all configuration is stored, each
// object by its ID as text. One kind for all makes one watch enough, and gives
// the objects of all kinds one order of changes.
const StoreKind = "config"

// Kind says what an object describes.
type Kind string

// The kinds of objects.
const (
	KindWorkspace Kind = "workspace"
	KindPool      Kind = "pool"
	KindGroup     Kind = "group"
	KindCaller    Kind = "caller"
	KindPreset    Kind = "preset"
	KindActive    Kind = "active"
)

// Kinds returns all kinds in the order in which new objects are written. Each
// prefix of that order is a configuration that can be in force: a workspace
// comes after the preset it runs under, and what hangs below it comes later.
// Removals go the other way.
func Kinds() []Kind {
	return []Kind{KindPreset, KindActive, KindWorkspace, KindPool, KindGroup, KindCaller}
}

// rank returns the place of a kind in Kinds.
func (k Kind) rank() int {
	for i, other := range Kinds() {
		if k == other {
			return i
		}
	}
	return len(Kinds())
}

// ID names an object. Its text form is "kind/name".
type ID struct {
	Kind Kind
	Name string
}

// String returns the text form.
func (id ID) String() string { return string(id.Kind) + "/" + id.Name }

// ParseID reads the text form; ok is false for an unknown kind or an empty name.
func ParseID(s string) (id ID, ok bool) {
	kind, name, found := strings.Cut(s, "/")
	id = ID{Kind: Kind(kind), Name: name}
	return id, found && name != "" && id.Kind.rank() < len(Kinds())
}

// Duration is a time.Duration with the text form "1m30s" in files and objects.
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	*d = Duration(v)
	return errors.Wrap(err, "configurator: duration")
}

// Spec is what an object says: a *Workspace, *Pool, *Group, *Caller, *Preset or
// *Active.
type Spec interface {
	// Kind returns the kind of objects that hold such a spec.
	Kind() Kind
}

// Workspace is one tenant's part of the fleet. The preset it runs under is
// named by the Active object of the same name.
type Workspace struct {
	// Zones are the availability zones its upstreams may be in.
	Zones []string `yaml:"zones" json:"zones"`
}

// Pool is a set of database groups of one workspace that callers see as one.
type Pool struct {
	Workspace string `yaml:"workspace" json:"workspace"`
}

// Group is a primary and its replicas.
type Group struct {
	Pool      string   `yaml:"pool" json:"pool"`
	Databases []string `yaml:"databases" json:"databases"`
	// Slots is how many statements each upstream runs at a time, Connections
	// how many connections it takes from the whole fleet.
	Slots       int        `yaml:"slots" json:"slots"`
	Connections int        `yaml:"connections" json:"connections"`
	Upstreams   []Upstream `yaml:"upstreams" json:"upstreams"`
}

// Upstream is one database server of a group.
type Upstream struct {
	Name    string         `yaml:"name" json:"name"`
	Address netip.AddrPort `yaml:"address" json:"address"`
	Zone    string         `yaml:"zone" json:"zone"`
}

// Caller is one account that may call, with what its requests are unless they
// say otherwise.
type Caller struct {
	Workspace string `yaml:"workspace" json:"workspace"`
	// Verifier is a SCRAM-SHA-256 verifier as PostgreSQL keeps it.
	Verifier string `yaml:"verifier" json:"verifier"`
	// Class is ClassBooking or ClassLookup.
	Class string `yaml:"class" json:"class"`
	// Deadline is how long an answer may take, Age how old the data of a read
	// may be. Zero leaves both to the class.
	Deadline Duration `yaml:"deadline,omitempty" json:"deadline,omitempty"`
	Age      Duration `yaml:"age,omitempty" json:"age,omitempty"`
	// Repeat says that its statements are idempotent.
	Repeat bool `yaml:"repeat,omitempty" json:"repeat,omitempty"`
}

// The classes of requests.
const (
	ClassBooking = "booking"
	ClassLookup  = "lookup"
)

// Preset is a set of limits that can be put in force for a workspace. Zeros leave
// a limit as on ordinary days.
type Preset struct {
	Workspace string `yaml:"workspace" json:"workspace"`
	// Writes is "allow" (also when empty) or "refuse".
	Writes string `yaml:"writes,omitempty" json:"writes,omitempty"`
	// Window bounds the requests that one proxy has at one upstream at a time,
	// Queue those that wait in it for that upstream.
	Window int `yaml:"window,omitempty" json:"window,omitempty"`
	Queue  int `yaml:"queue,omitempty" json:"queue,omitempty"`
	// Reserved is how many of an upstream's connections are kept for control.
	Reserved int `yaml:"reserved,omitempty" json:"reserved,omitempty"`
	// Opening bounds the connections that one proxy opens to one upstream in a
	// second.
	Opening float64 `yaml:"opening,omitempty" json:"opening,omitempty"`
	// Retries is how many retries each first attempt earns.
	Retries float64          `yaml:"retries,omitempty" json:"retries,omitempty"`
	Classes map[string]Class `yaml:"classes" json:"classes"`
}

// Class holds what a preset says of one class of requests.
type Class struct {
	// Weight is the worth of one answer in time against those of the other class.
	Weight int `yaml:"weight,omitempty" json:"weight,omitempty"`
	// Slots bounds how much of a window the class takes at a time, and Queue how
	// many of its requests wait. Zero is no bound of its own.
	Slots int `yaml:"slots,omitempty" json:"slots,omitempty"`
	Queue int `yaml:"queue,omitempty" json:"queue,omitempty"`
	// Deadline is how long an answer may take; Age is how old the data of a read
	// may be, zero for as new as the session's own writes.
	Deadline Duration `yaml:"deadline" json:"deadline"`
	Age      Duration `yaml:"age,omitempty" json:"age,omitempty"`
}

// Active names the preset in force for the workspace of the same name.
type Active struct {
	Preset string `yaml:"preset" json:"preset"`
}

// Kind returns KindWorkspace.
func (*Workspace) Kind() Kind { return KindWorkspace }

// Kind returns KindPool.
func (*Pool) Kind() Kind { return KindPool }

// Kind returns KindGroup.
func (*Group) Kind() Kind { return KindGroup }

// Kind returns KindCaller.
func (*Caller) Kind() Kind { return KindCaller }

// Kind returns KindPreset.
func (*Preset) Kind() Kind { return KindPreset }

// Kind returns KindActive.
func (*Active) Kind() Kind { return KindActive }

// newSpec returns an empty spec of a kind, or nil for an unknown kind.
func newSpec(k Kind) Spec {
	switch k {
	case KindWorkspace:
		return &Workspace{}
	case KindPool:
		return &Pool{}
	case KindGroup:
		return &Group{}
	case KindCaller:
		return &Caller{}
	case KindPreset:
		return &Preset{}
	case KindActive:
		return &Active{}
	default:
		return nil
	}
}

// Object is one stored object as the platform and the peers hand it on.
type Object struct {
	Name    string          `json:"name"` // an ID as text
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value,omitempty"`
	// Deleted marks an object that is gone from the platform. No command of ours
	// deletes one; somebody else's may.
	Deleted bool `json:"deleted,omitempty"`
}

// Meta says who wrote an object's present content.
type Meta struct {
	Writer string    `json:"writer"`
	Time   time.Time `json:"time"`
	// Nonce marks this one change. Past holds those of the changes before it,
	// the latest first: by them a writer whose answer was lost sees that its
	// change did take effect though another has followed.
	Nonce string   `json:"nonce"`
	Past  []string `json:"past,omitempty"`
}

// Entry is an Object taken apart. A removed entry keeps its last spec, so that
// a preset that one operator removes while another puts it in force still is
// what it was.
type Entry struct {
	ID      ID
	Version uint64
	Meta    Meta
	Removed bool
	Spec    Spec // nil when the object was deleted from the platform
}

// value is what is stored in an object's value.
type value struct {
	Meta    Meta            `json:"meta"`
	Removed bool            `json:"removed,omitempty"`
	Spec    json.RawMessage `json:"spec"`
}

// Encode returns the value to store.
func (e *Entry) Encode() (json.RawMessage, error) {
	spec, err := json.Marshal(e.Spec)
	if err != nil {
		return nil, errors.Wrapf(err, "configurator: encode %s", e.ID)
	}
	b, err := json.Marshal(value{Meta: e.Meta, Removed: e.Removed, Spec: spec})
	return b, errors.Wrapf(err, "configurator: encode %s", e.ID)
}

// Decode takes an object apart. Fields that this version does not know are left
// out, so that a newer writer does not stop older proxies.
func Decode(o Object) (Entry, error) {
	id, ok := ParseID(o.Name)
	if !ok {
		return Entry{}, errors.Newf("configurator: object %q is of no known kind", o.Name)
	}
	if o.Deleted {
		return Entry{ID: id, Version: o.Version, Removed: true}, nil
	}
	var v value
	if err := json.Unmarshal(o.Value, &v); err != nil {
		return Entry{}, errors.Wrapf(err, "configurator: decode %s", id)
	}
	if !v.Removed && bytes.Equal(v.Spec, []byte("null")) {
		return Entry{}, errors.Newf("configurator: decode %s: no spec", id)
	}
	e := Entry{ID: id, Version: o.Version, Meta: v.Meta, Removed: v.Removed, Spec: newSpec(id.Kind)}
	if err := json.Unmarshal(v.Spec, e.Spec); err != nil {
		return Entry{}, errors.Wrapf(err, "configurator: decode %s", id)
	}
	return e, nil
}
