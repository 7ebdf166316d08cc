// Package certifier gives TLS configurations whose certificates can be replaced
// on disk while the process runs.
//
// Before each handshake the files are looked at; when one has changed all are
// read again. New handshakes use the new certificate, connections that stand go
// on. When the new files can't be used, for instance because only one of
// certificate and key has been replaced yet, the old ones stay in use, the log
// says so, and the next handshake tries again.
//
// # Usage
//
//	c := &certifier.Certifier{Cert: "caller.pem", Key: "caller.key", Log: log}
//	if err := c.Load(); err != nil {
//		return err
//	}
//	conn := tls.Server(raw, c.Server())
package certifier
