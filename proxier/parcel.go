package proxier

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"sync"

	"github.com/cockroachdb/errors"

	"basildale.example/basildale/cataloger"
)

// mostUnpacked bounds what a parcel unpacks to, in bytes. The largest configuration that
// the store takes makes 0.7 MB.
const mostUnpacked = 32 << 20

// parcel is the configuration in force as it is sent to peers, packed once for each
// version. Its zero value is empty; it may be used by several goroutines.
type parcel struct {
	mu      sync.Mutex
	version uint64
	body    []byte
}

// of returns a configuration packed. The bytes aren't changed any more.
func (p *parcel) of(c *cataloger.Config) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.version == c.Version {
		return p.body, nil
	}
	body, err := pack(c)
	if err != nil {
		return nil, err
	}
	p.version, p.body = c.Version, body
	return body, nil
}

// pack returns a configuration as it is sent to peers. Routes differ in little but their
// names, so that compressed they take less than a tenth of a link's time.
func pack(c *cataloger.Config) ([]byte, error) {
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	if err := json.NewEncoder(w).Encode(c); err != nil {
		return nil, errors.Wrap(err, "proxier: pack the configuration")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "proxier: pack the configuration")
	}
	return out.Bytes(), nil
}

// unpack reads what pack wrote.
func unpack(r io.Reader) (cataloger.Config, error) {
	var c cataloger.Config
	in, err := gzip.NewReader(r)
	if err != nil {
		return c, errors.Wrap(err, "proxier: unpack the configuration")
	}
	err = json.NewDecoder(io.LimitReader(in, mostUnpacked)).Decode(&c)
	return c, errors.Wrap(err, "proxier: unpack the configuration")
}
