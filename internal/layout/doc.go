// Package layout holds the tests of the repository's own rules: which package
// may import which, how large files may grow, and that sources carry no notice.
// It has no code of its own.
//
// # Usage
//
//	go test ./internal/layout
package layout
