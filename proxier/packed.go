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

// maxUnpackedBytes bounds the size of an unpacked configuration. The largest configuration
// that the store accepts takes 0.7 MB.
const maxUnpackedBytes = 32 << 20

// packedConfig is the configuration in force as it is sent to peers, compressed once per
// version. Its zero value is empty; it is safe for concurrent use.
type packedConfig struct {
	mu      sync.Mutex
	version uint64
	body    []byte
}

// bytesOf returns a configuration in packed form. The returned bytes must not be modified.
func (p *packedConfig) bytesOf(c *cataloger.Config) ([]byte, error) {
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

// pack compresses a configuration for peers. Routes differ in little but their names, so that
// compression reduces the transfer time to less than a tenth.
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
	err = json.NewDecoder(io.LimitReader(in, maxUnpackedBytes)).Decode(&c)
	return c, errors.Wrap(err, "proxier: unpack the configuration")
}
