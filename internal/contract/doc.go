// Package contract holds the tests of docs/CONTRACTS.md: one suite for each
// interface, which runs against the stand-in, or against another implementation
// whose addresses the environment gives.
//
// # Usage
//
//	go test ./internal/contract
//	BASILDALE_CONTRACT_UPSTREAMS=10.0.0.1:5432,10.0.0.2:5432,10.0.0.3:5432 \
//	BASILDALE_CONTRACT_USER=app BASILDALE_CONTRACT_PASSWORD=... \
//	go test ./internal/contract -run Upstream
//
//	BASILDALE_CONTRACT_CALLERS=10.0.1.1:5432,10.0.1.2:5432 \
//	go test ./internal/contract -run Caller
//
// The upstreams are one database group of three that nobody else uses: the suite
// fences and promotes them and writes to a table named contract_rows. The callers'
// addresses are two ways to the same group; that suite writes to the same table.
package contract
