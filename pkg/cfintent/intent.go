// Package cfintent defines what operators ask for, and checks it as far as that
// is possible without the state of the system.
package cfintent

import (
	"time"

	"cranberryford/pkg/cfcore"
)

// Limits of one intent.
const (
	// MaxWorkloads is the number of workloads in one intent.
	MaxWorkloads = 2000
	// MaxReplicas is the number of tasks of one workload.
	MaxReplicas = 5000
	// MaxNameLength is the length of a name in bytes.
	MaxNameLength = 100
)

// Defaults of a workload.
const (
	// DefaultTimeout is a service's time for one call.
	DefaultTimeout = 2 * time.Second
	// DefaultMaxFailures is the number of failed runs that ends a batch task.
	DefaultMaxFailures = 3
)

// Intent is what an operator asks for. All of it is accepted, or none.
type Intent struct {
	// Workloads are created, or changed where they exist.
	Workloads []cfcore.Workload
	// Remove names workloads to cancel.
	Remove []string
	// Restart names workloads whose held tasks may start again.
	Restart []string
	// Teams are created, or changed where they exist.
	Teams []cfcore.Team
	// Drain names workers that give up their tasks and take no new ones.
	Drain []cfcore.WorkerID
	// Undrain names workers that take tasks again.
	Undrain []cfcore.WorkerID
	// Forget names entries that are lost for good.
	Forget []cfcore.EntryID
}

// WithDefaults returns the intent with its defaults filled in.
func (in Intent) WithDefaults() Intent {
	out := in
	out.Workloads = make([]cfcore.Workload, len(in.Workloads))
	for i, w := range in.Workloads {
		out.Workloads[i] = withDefaults(w)
	}
	return out
}

func withDefaults(w cfcore.Workload) cfcore.Workload {
	if w.Replicas == 0 {
		w.Replicas = 1
	}
	if w.Class == cfcore.ClassService && w.Timeout == 0 {
		w.Timeout = DefaultTimeout
	}
	if w.Class == cfcore.ClassBatch && w.MaxFailures == 0 {
		w.MaxFailures = DefaultMaxFailures
	}
	return w
}

// Empty reports whether the intent asks for nothing.
func (in Intent) Empty() bool {
	n := len(in.Workloads) + len(in.Remove) + len(in.Restart) + len(in.Teams)
	return n+len(in.Drain)+len(in.Undrain)+len(in.Forget) == 0
}
