package cfjob

import (
	"encoding/hex"
	"math"
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cferror"
)

// Limits of a job.
const (
	// MaxSpecBytes is the maximum length of a job's Spec in bytes. The platform's interface
	// sets this limit.
	MaxSpecBytes = 4000
	// MaxSteps is the maximum number of steps. MaxTasks is the maximum number of tasks of one
	// occurrence. Both limit the memory that the planner needs for one job.
	MaxSteps = 1000
	MaxTasks = 100_000
	// MaxOccurrences is the maximum number of occurrences. Positions of tasks do not overflow.
	MaxOccurrences = 1_000_000_000
	// maxAmount is the maximum amount of one resource that a task asks for. Sums over all
	// tasks of a job do not overflow.
	maxAmount = 1 << 40
	// idBytes is the number of bytes that the hexadecimal digits of a job ID encode.
	idBytes = 8
)

// ValidID reports whether id is 16 hexadecimal digits.
func ValidID(id string) bool {
	data, err := hex.DecodeString(id)
	return err == nil && len(data) == idBytes
}

// Check returns an error of KindInvalid if the job breaks a limit or can never run.
func (j *Job) Check() error {
	switch {
	case !ValidID(j.ID):
		return newInvalidError("id %q is not 16 hexadecimal digits", j.ID)
	case len(j.Spec) > MaxSpecBytes:
		return newInvalidError("spec has %d bytes; at most %d are allowed", len(j.Spec), MaxSpecBytes)
	case len(j.Steps) == 0 || len(j.Steps) > MaxSteps:
		return newInvalidError("%d steps; 1 to %d are allowed", len(j.Steps), MaxSteps)
	}
	if s := j.Schedule; s != nil {
		if err := s.check(); err != nil {
			return err
		}
	}
	for i := range j.Steps {
		if err := j.checkStep(i); err != nil {
			return err
		}
	}
	if n := j.TasksPerOccurrence(); n > MaxTasks {
		return newInvalidError("%d tasks; at most %d are allowed", n, MaxTasks)
	}
	return nil
}

// latestFirstRun is the end of the range of Schedule.FirstRun. The due times of all
// occurrences are then before the year 10000, as their encoding requires.
var latestFirstRun = time.Date(9000, 1, 1, 0, 0, 0, 0, time.UTC)

func (s *Schedule) check() error {
	switch {
	case s.Count < 1 || s.Count > MaxOccurrences || s.Period < 0 || s.Period > math.MaxInt64/time.Duration(s.Count):
		return newInvalidError("schedule of %d runs each %s", s.Count, s.Period)
	case !s.FirstRun.IsZero() && s.FirstRun.Before(time.Unix(0, 0)) || s.FirstRun.After(latestFirstRun):
		return newInvalidError("schedule that starts in the year %d", s.FirstRun.Year())
	}
	return nil
}

func (j *Job) checkStep(i int) error {
	s := &j.Steps[i]
	switch {
	case s.Count < 1 || s.Count > MaxTasks:
		return newInvalidError("step %d has %d tasks; 1 to %d are allowed", i, s.Count, MaxTasks)
	case !s.Resources.Valid() || !s.Resources.Fits(cfcore.Resources{MilliCores: maxAmount, MemoryMB: maxAmount, Accelerators: maxAmount}):
		return newInvalidError("step %d asks for %s", i, s.Resources)
	case s.Estimate < 0 || s.TailTarget < 0 || s.MaxPerWorker < 0 || s.MaxUnavailable < 0:
		return newInvalidError("step %d has a negative value", i)
	}
	if len(s.After) > MaxSteps {
		return newInvalidError("step %d waits for %d steps; at most %d are allowed", i, len(s.After), MaxSteps)
	}
	for _, a := range s.After {
		// Only earlier steps are allowed, which rules out cycles.
		if a < 0 || a >= i {
			return newInvalidError("step %d waits for step %d, which is not an earlier one", i, a)
		}
	}
	return nil
}

func newInvalidError(format string, args ...any) error {
	return cferror.New("check job", KindInvalid, format, args...)
}
