// Package limiter keeps the load of upstreams within what they take.
package limiter
