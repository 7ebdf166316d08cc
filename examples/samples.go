package examples

import "embed"

// Files are the samples by their names.
//
//go:embed *.yaml peers.key
var Files embed.FS
