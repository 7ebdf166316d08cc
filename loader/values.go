package loader

import (
	"fmt"
	"net/netip"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
	"go.uber.org/zap/zapcore"
)

// What is allowed, in the words of the messages.
const (
	allowedName     = "allowed are 1 to 63 lower-case letters, digits and hyphens"
	allowedAddress  = "allowed is an IP number and port such as 10.0.0.1:5432 or [fd00::1]:5432"
	allowedLog      = "allowed are debug, info, warn, error"
	allowedPath     = "allowed is the path of a file that can be read"
	allowedVerifier = "allowed is SCRAM-SHA-256$ITERATIONS:SALT$STOREDKEY:SERVERKEY"
)

// maxName is the longest name, the same as PostgreSQL's for its identifiers.
const maxName = 63

// text reads a name into dst.
func (r *reader) text(dst *string) func(string, ast.Node) {
	return func(path string, n ast.Node) {
		s, ok := r.scalar(path, n, allowedName)
		if !ok {
			return
		}
		if !validName(s) {
			r.fail(n, fmt.Sprintf("%s is %q", path, s), allowedName)
			return
		}
		*dst = s
	}
}

func validName(s string) bool {
	if s == "" || len(s) > maxName {
		return false
	}
	return strings.Trim(s, "abcdefghijklmnopqrstuvwxyz0123456789-") == ""
}

// address reads an IP number and port into dst. Port 0, which lets the system
// choose, is allowed only for an address to listen on.
func (r *reader) address(dst *netip.AddrPort, listens bool) func(string, ast.Node) {
	return func(path string, n ast.Node) {
		s, ok := r.scalar(path, n, allowedAddress)
		if !ok {
			return
		}
		a, err := netip.ParseAddrPort(s)
		if err != nil {
			r.fail(n, fmt.Sprintf("%s is %q", path, s), allowedAddress)
			return
		}
		if a.Port() == 0 && !listens {
			r.fail(n, fmt.Sprintf("%s is %q", path, s), "allowed is a port from 1 to 65535")
			return
		}
		*dst = a
	}
}

// count reads a whole number from 1 to high into dst.
func (r *reader) count(dst *int, high int) func(string, ast.Node) {
	allowed := fmt.Sprintf("allowed is a whole number from 1 to %d", high)
	return func(path string, n ast.Node) {
		s, ok := r.scalar(path, n, allowed)
		if !ok {
			return
		}
		v, err := strconv.Atoi(s)
		if err != nil || v < 1 || v > high {
			r.fail(n, fmt.Sprintf("%s is %q", path, s), allowed)
			return
		}
		*dst = v
	}
}

// cores reads a number of processors, or a part of one, into dst.
func (r *reader) cores(dst *float64) func(string, ast.Node) {
	return r.number(dst, minCores, maxCores)
}

// number reads a number from low to high into dst.
func (r *reader) number(dst *float64, low, high float64) func(string, ast.Node) {
	allowed := fmt.Sprintf("allowed is a number from %v to %v", low, high)
	return func(path string, n ast.Node) {
		s, ok := r.scalar(path, n, allowed)
		if !ok {
			return
		}
		v, err := strconv.ParseFloat(s, 64)
		if err != nil || !(v >= low && v <= high) {
			r.fail(n, fmt.Sprintf("%s is %q", path, s), allowed)
			return
		}
		*dst = v
	}
}

// size reads a number of bytes such as 64KiB from low to high into dst.
func (r *reader) size(dst *int, low, high int) func(string, ast.Node) {
	allowed := fmt.Sprintf("allowed is a size from %s to %s", formatSize(low), formatSize(high))
	return func(path string, n ast.Node) {
		s, ok := r.scalar(path, n, allowed)
		if !ok {
			return
		}
		v, ok := parseSize(s)
		if !ok || v < low || v > high {
			r.fail(n, fmt.Sprintf("%s is %q", path, s), allowed)
			return
		}
		*dst = v
	}
}

const (
	kib = 1 << 10
	mib = 1 << 20
	gib = 1 << 30
)

func parseSize(s string) (int, bool) {
	unit := 1
	switch {
	case strings.HasSuffix(s, "KiB"):
		s, unit = strings.TrimSuffix(s, "KiB"), kib
	case strings.HasSuffix(s, "MiB"):
		s, unit = strings.TrimSuffix(s, "MiB"), mib
	case strings.HasSuffix(s, "GiB"):
		s, unit = strings.TrimSuffix(s, "GiB"), gib
	}
	// 32 bits keep the product with the largest unit inside an int.
	v, err := strconv.ParseInt(s, 10, 32)
	if err != nil || v < 0 {
		return 0, false
	}
	return int(v) * unit, true
}

func formatSize(v int) string {
	switch {
	case v >= gib && v%gib == 0:
		return strconv.Itoa(v/gib) + "GiB"
	case v >= mib && v%mib == 0:
		return strconv.Itoa(v/mib) + "MiB"
	case v >= kib && v%kib == 0:
		return strconv.Itoa(v/kib) + "KiB"
	default:
		return strconv.Itoa(v)
	}
}

// span reads a duration such as 30s from low to high into dst.
func (r *reader) span(dst *time.Duration, low, high time.Duration) func(string, ast.Node) {
	allowed := fmt.Sprintf("allowed is a duration from %s to %s", low, high)
	return func(path string, n ast.Node) {
		s, ok := r.scalar(path, n, allowed)
		if !ok {
			return
		}
		v, err := time.ParseDuration(s)
		if err != nil || v < low || v > high {
			r.fail(n, fmt.Sprintf("%s is %q", path, s), allowed)
			return
		}
		*dst = v
	}
}

// level reads a log level into dst.
func (r *reader) level(dst *zapcore.Level) func(string, ast.Node) {
	return func(path string, n ast.Node) {
		s, ok := r.scalar(path, n, allowedLog)
		if !ok {
			return
		}
		switch s {
		case "debug", "info", "warn", "error":
			*dst, _ = zapcore.ParseLevel(s)
		default:
			r.fail(n, fmt.Sprintf("%s is %q", path, s), allowedLog)
		}
	}
}

// verifier reads a SCRAM verifier into dst. The message doesn't repeat it: a
// wrong one is often a password that was put there by mistake.
func (r *reader) verifier(dst *string) func(string, ast.Node) {
	shape := regexp.MustCompile(`^SCRAM-SHA-256\$[0-9]+:[A-Za-z0-9+/=]+\$[A-Za-z0-9+/=]{44}:[A-Za-z0-9+/=]{44}$`)
	return func(path string, n ast.Node) {
		s, ok := r.scalar(path, n, allowedVerifier)
		if !ok {
			return
		}
		if !shape.MatchString(s) {
			r.fail(n, path+" is not a verifier", allowedVerifier)
			return
		}
		*dst = s
	}
}
