package loader

import (
	"net/netip"
	"time"

	"go.uber.org/zap/zapcore"
)

// Defaults of the settings that may be left out.
const (
	DefaultUser      = "basildale"
	DefaultMessage   = 16 << 20
	DefaultPending   = 200
	DefaultCallers   = 8000
	DefaultBuffer    = 256 << 10
	DefaultProcessor = 1
	DefaultStop      = 30 * time.Second
	DefaultSlots     = 5
	DefaultConnect   = 30 * time.Millisecond
)

// Settings are the settings of one proxy process.
type Settings struct {
	// Name tells this process from all others of the fleet.
	Name string
	// Zone is the availability zone the process runs in.
	Zone string
	// Workspace is the workspace whose pools the process serves.
	Workspace string
	// Listen is where callers connect.
	Listen netip.AddrPort
	// Peers is where the other proxies connect.
	Peers netip.AddrPort
	// Operators is where metrics, health and explanations are served over HTTP.
	Operators netip.AddrPort
	// Platform lists the addresses of the platform's object service. It is
	// empty only when Groups isn't.
	Platform []netip.AddrPort
	// Wire is the protocol of callers and upstreams.
	Wire Wire
	// Ready is where the platform's balancer asks whether to send callers, and
	// Orders the platform's address for changes of a leader. Carry is where peers
	// connect that have statements carried. All are needed with the wire Lines and
	// unused otherwise.
	Ready  netip.AddrPort
	Orders netip.AddrPort
	Carry  netip.AddrPort
	// TLS names the certificates of each side; a side without files is plain.
	TLS TLS
	// Secret is the path of the file with the key that all peers share; empty
	// when peers authenticate by mutual TLS or not at all.
	Secret string
	// Login is who the process is to upstreams.
	Login Login
	// Limits bound what callers can make the process hold.
	Limits Limits
	// Processor is what this process has of processors, in cores. Proxies that have
	// more carry more for the others.
	Processor float64
	// Stop is how long a graceful stop may wait for work in flight.
	Stop time.Duration
	// Leave is how long an upstream that says that it leaves may get new work; zero
	// sets no bound.
	Leave time.Duration
	// Quota says how exactly the quotas of workspaces are to be kept.
	Quota Quota
	// Rules lists the platform's names of the rules in force, which ask for some of the
	// choices that Load leaves open.
	Rules []string
	// Load says how the process decides under load.
	Load Choices
	// Log is the least level that is logged.
	Log zapcore.Level
	// Groups lists database groups for a process without a platform.
	Groups []Group
	// Callers lists who may connect, for a process without a platform.
	Callers []Caller
}

// Quota says how exactly the quotas of workspaces are to be kept: in any Window no more
// operations than rate and burst allow, but for a part of that, Excess, and Slack more.
type Quota struct {
	Window time.Duration
	Excess float64
	Slack  float64
}

// Wire is a protocol of callers and upstreams.
type Wire string

// The wires.
const (
	Postgres Wire = "postgres"
	Lines    Wire = "lines"
)

// TLS names the certificate files of the three sides.
type TLS struct {
	// Callers is the certificate shown to callers; its CA, when set, is what a
	// caller's own certificate must be signed by.
	Callers Files
	// Upstreams holds the CA that upstreams' certificates must be signed by.
	Upstreams Files
	// Peers is the certificate shown to peers and the CA that theirs must be
	// signed by.
	Peers Files
}

// Files are the paths of one side's PEM files; an empty path is not in use.
type Files struct {
	Cert string
	Key  string
	CA   string
}

// Login is who the process is to upstreams.
type Login struct {
	// User is the name of the role.
	User string
	// Password is the path of the file that holds the password; empty when
	// upstreams ask for none.
	Password string
}

// Limits bound what callers can make the process hold.
type Limits struct {
	// Message is the greatest length of one PostgreSQL message, in bytes.
	Message int
	// Pending is the greatest number of connections that haven't authenticated.
	Pending int
	// Callers is the greatest number of callers' connections.
	Callers int
	// Buffer is the most that is held for one slow caller, in bytes.
	Buffer int
}

// Group is a database group of a process without a platform.
type Group struct {
	Name      string
	Upstreams []Upstream
}

// Upstream is one copy of a group.
type Upstream struct {
	Name    string
	Zone    string
	Address netip.AddrPort
	// Slots is how many statements the upstream runs at a time.
	Slots int
	// Connections is how many connections it takes from all proxies together.
	Connections int
	// Connect is how long a new connection to it usually takes.
	Connect time.Duration
}

// Caller is somebody who may connect to a process without a platform.
type Caller struct {
	Name   string
	Tenant string
	// Verifier is what PostgreSQL stores for a SCRAM-SHA-256 password:
	// SCRAM-SHA-256$ITERATIONS:SALT$STOREDKEY:SERVERKEY.
	Verifier string
	// Groups lists the groups (databases) the caller may open.
	Groups []string
}
