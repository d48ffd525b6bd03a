package jobs

import (
	"math/rand/v2"
	"time"

	"cranberryford/platform/standin"
)

// lateOrder returns a fault of orders: they get no answer, and each is executed after a
// random delay.
func lateOrder(rng *rand.Rand, minDelay, maxDelay time.Duration) standin.OrderFault {
	return standin.OrderFault{Fault: standin.Late, Delay: minDelay + time.Duration(rng.Int64N(int64(maxDelay-minDelay)))}
}
