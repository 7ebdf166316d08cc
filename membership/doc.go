// Package membership knows which proxies of the fleet live.
package membership
