package cfentry

import (
	"github.com/cespare/xxhash/v2"

	"cranberryford/pkg/cfwire"
)

// fingerprint returns a hash of a request's method, path and body.
func fingerprint(c *cfwire.Call) uint64 {
	h := xxhash.New()
	for _, part := range [][]byte{[]byte(c.Method), []byte(c.Path), c.Body} {
		// Writes to the hash never fail.
		_, _ = h.Write(part)
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}
