// Package cfcommon is the small set of dependencies that every part of a process
// is given by its constructor.
package cfcommon

import (
	"math/rand/v2"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"cranberryford/pkg/cfrecord"
	"cranberryford/pkg/cfwire"
)

// Common is what every part of a process needs.
type Common struct {
	Log   zerolog.Logger
	Clock clockwork.Clock
	Scope tally.Scope
	Codec *cfrecord.Codec
	Key   cfwire.Key
	// Seed is the seed of the process's random numbers.
	Seed uint64
}

// Rand returns a source of random numbers for one goroutine. The stream tells
// the sources of one process apart.
func (c *Common) Rand(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(c.Seed, stream))
}
