package cfcore

import "fmt"

// Resources is an amount of CPU, memory and accelerators, for example the capacity of a worker
// or the need of a task.
type Resources struct {
	// MilliCores is CPU in thousandths of a core.
	MilliCores int64
	// MemoryMB is memory in MiB (2^20 bytes).
	MemoryMB int64
	// Accelerators is a number of whole devices.
	Accelerators int64
}

// Add returns r + o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.MilliCores + o.MilliCores, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Sub returns r - o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.MilliCores - o.MilliCores, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Fits reports whether r is at most c in every dimension.
func (r Resources) Fits(c Resources) bool {
	return r.MilliCores <= c.MilliCores && r.MemoryMB <= c.MemoryMB && r.Accelerators <= c.Accelerators
}

// Valid reports whether no dimension is negative.
func (r Resources) Valid() bool {
	return r.MilliCores >= 0 && r.MemoryMB >= 0 && r.Accelerators >= 0
}

// IsZero reports whether every dimension is zero.
func (r Resources) IsZero() bool { return r == Resources{} }

// String formats r as "2000m/4096MB/0acc".
func (r Resources) String() string {
	return fmt.Sprintf("%dm/%dMB/%dacc", r.MilliCores, r.MemoryMB, r.Accelerators)
}
