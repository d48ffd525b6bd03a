// Package cfcommon holds the dependencies and helpers that all components of a process
// share.
package cfcommon

import (
	"math/rand/v2"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"cranberryford/pkg/cfrecord"
	"cranberryford/pkg/cfwire"
)

// Common holds the dependencies that a process passes to the constructors of its
// components.
type Common struct {
	Log   zerolog.Logger
	Clock clockwork.Clock
	Scope tally.Scope
	Codec *cfrecord.Codec
	Key   cfwire.Key
	// Seed is the seed of the process's random numbers.
	Seed uint64
}

// Rand returns a random number generator for a stream number. Generators with different stream
// numbers yield independent sequences. A generator is not safe for concurrent use.
func (c *Common) Rand(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(c.Seed, stream))
}
