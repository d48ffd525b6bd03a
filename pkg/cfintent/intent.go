// Package cfintent defines the intents of operators, and checks them as far as is possible
// without the state of the system.
package cfintent

import (
	"time"

	"cranberryford/pkg/cfcore"
)

// Limits of one intent.
const (
	// MaxWorkloads is the maximum number of workloads in one intent.
	MaxWorkloads = 2000
	// MaxReplicas is the maximum number of replicas, and so of tasks, of one workload.
	MaxReplicas = 5000
	// MaxNameLength is the maximum length of a name in bytes.
	MaxNameLength = 100
)

// Defaults of a workload.
const (
	// DefaultTimeout is the Timeout of a service workload that sets no Timeout.
	DefaultTimeout = 2 * time.Second
	// DefaultMaxFailures is the number of failed runs after which a batch task fails, if its
	// workload sets no MaxFailures.
	DefaultMaxFailures = 3
)

// Intent is a set of changes that an operator requests. The changes are accepted together
// or not at all.
type Intent struct {
	// Workloads are created, or changed if they exist.
	Workloads []cfcore.Workload
	// Remove names workloads to remove. Their tasks are cancelled.
	Remove []string
	// Restart names workloads whose held tasks become pending again.
	Restart []string
	// Teams are created, or changed if they exist.
	Teams []cfcore.Team
	// Drain names workers to drain. Their tasks are stopped, and the workers get no new tasks.
	Drain []cfcore.WorkerID
	// Undrain names workers whose draining ends. The workers get tasks again.
	Undrain []cfcore.WorkerID
	// Forget names entries that are lost for good, to remove them from the membership.
	Forget []cfcore.EntryID
}

// WithDefaults returns a copy of the intent with default values for unset fields of the
// workloads: Replicas, the Timeout of services and the MaxFailures of batch workloads.
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

// Empty reports whether the intent requests no change.
func (in Intent) Empty() bool {
	n := len(in.Workloads) + len(in.Remove) + len(in.Restart) + len(in.Teams)
	return n+len(in.Drain)+len(in.Undrain)+len(in.Forget) == 0
}
