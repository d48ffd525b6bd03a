package cfintent

import (
	"fmt"
	"regexp"

	"cranberryford/pkg/cfcore"
)

// Fault is one reason why an intent is invalid.
type Fault struct {
	// Key is the path of the faulty value in the intent, for example "Workloads[2].Replicas".
	Key string
	// Message says what is wrong with the value.
	Message string
}

// String returns the fault in the form "Key: message".
func (f Fault) String() string { return f.Key + ": " + f.Message }

// namePattern matches the characters of a valid name. ValidName also checks the length.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$`)

const nameRule = "must be 1 to 100 of a-z, 0-9, '-' and '.', beginning and ending with a letter or digit"

// ValidName reports whether s follows the rule for the names of workloads, teams, workers
// and data centres.
func ValidName(s string) bool {
	return len(s) <= MaxNameLength && namePattern.MatchString(s)
}

// Check returns the faults of an intent that can be found without the state of the system.
// The intent must already have its defaults (see WithDefaults). If the intent has more than
// MaxWorkloads workloads, Check reports this fault and checks nothing further.
func (in Intent) Check() []Fault {
	c := &checker{}
	if in.Empty() {
		c.addFault("Intent", "asks for nothing")
	}
	if len(in.Workloads) > MaxWorkloads {
		c.addFault("Workloads", "at most %d in one intent", MaxWorkloads)
		return c.faults
	}
	c.checkWorkloads(in.Workloads)
	c.checkNames("Remove", in.Remove)
	c.checkNames("Restart", in.Restart)
	c.checkTeams(in.Teams)
	c.checkConflicts(in)
	return c.faults
}

// checker collects the faults of an intent. Each of its methods checks one part of the
// intent.
type checker struct {
	faults []Fault
}

func (c *checker) addFault(key, format string, args ...any) {
	c.faults = append(c.faults, Fault{Key: key, Message: fmt.Sprintf(format, args...)})
}

func (c *checker) checkWorkloads(ws []cfcore.Workload) {
	seen := map[string]bool{}
	for i := range ws {
		key := fmt.Sprintf("Workloads[%d]", i)
		c.checkWorkload(key, &ws[i])
		if seen[ws[i].Name] {
			c.addFault(key+".Name", "%q is given twice", ws[i].Name)
		}
		seen[ws[i].Name] = true
	}
}

func (c *checker) checkWorkload(key string, w *cfcore.Workload) {
	if !ValidName(w.Name) {
		c.addFault(key+".Name", "%q %s", w.Name, nameRule)
	}
	if !w.Class.Valid() {
		c.addFault(key+".Class", "%q must be Service, Batch or Watch", w.Class)
	}
	if !ValidName(w.Team) {
		c.addFault(key+".Team", "%q %s", w.Team, nameRule)
	}
	if w.Replicas < 1 || w.Replicas > MaxReplicas {
		c.addFault(key+".Replicas", "%d must be 1 to %d", w.Replicas, MaxReplicas)
	}
	c.checkResources(key+".Resources", w.Resources)
	c.checkLimits(key, w)
	for i, p := range w.Permissions {
		if !p.Valid() {
			c.addFault(fmt.Sprintf("%s.Permissions[%d]", key, i), "%q must be Restart, Move or Evict", p)
		}
	}
}

func (c *checker) checkResources(key string, r cfcore.Resources) {
	if !r.Valid() {
		c.addFault(key, "%s must not be negative", r)
	}
	if r.MilliCores <= 0 {
		c.addFault(key+".MilliCores", "must be at least 1")
	}
	if r.MemoryMB <= 0 {
		c.addFault(key+".MemoryMB", "must be at least 1")
	}
}

func (c *checker) checkLimits(key string, w *cfcore.Workload) {
	if w.Timeout < 0 {
		c.addFault(key+".Timeout", "%s must not be negative", w.Timeout)
	}
	if w.Duration < 0 {
		c.addFault(key+".Duration", "%s must not be negative", w.Duration)
	}
	if w.MaxFailures < 0 {
		c.addFault(key+".MaxFailures", "%d must not be negative", w.MaxFailures)
	}
	if w.Class != cfcore.ClassService && w.Timeout != 0 {
		c.addFault(key+".Timeout", "is for the class Service only")
	}
	if w.Class != cfcore.ClassBatch && w.Duration != 0 {
		c.addFault(key+".Duration", "is for the class Batch only")
	}
}

func (c *checker) checkNames(key string, names []string) {
	for i, n := range names {
		if !ValidName(n) {
			c.addFault(fmt.Sprintf("%s[%d]", key, i), "%q %s", n, nameRule)
		}
	}
}

func (c *checker) checkTeams(teams []cfcore.Team) {
	for i, t := range teams {
		key := fmt.Sprintf("Teams[%d]", i)
		if !ValidName(t.Name) {
			c.addFault(key+".Name", "%q %s", t.Name, nameRule)
		}
		if !t.Quota.Valid() {
			c.addFault(key+".Quota", "%s must not be negative", t.Quota)
		}
	}
}

// checkConflicts adds a fault for each name in both Workloads and Remove, and for each
// worker in both Drain and Undrain.
func (c *checker) checkConflicts(in Intent) {
	listed := map[string]bool{}
	for _, w := range in.Workloads {
		listed[w.Name] = true
	}
	for i, n := range in.Remove {
		if listed[n] {
			c.addFault(fmt.Sprintf("Remove[%d]", i), "%q is in Workloads too", n)
		}
	}
	drained := map[cfcore.WorkerID]bool{}
	for _, w := range in.Drain {
		drained[w] = true
	}
	for i, w := range in.Undrain {
		if drained[w] {
			c.addFault(fmt.Sprintf("Undrain[%d]", i), "%q is in Drain too", w)
		}
	}
}
