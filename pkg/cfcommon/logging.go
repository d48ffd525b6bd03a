package cfcommon

import (
	"github.com/rs/zerolog"

	"cranberryford/pkg/cfcore"
)

// WithRun adds the task's job, step and index and the run number to a log event. All log
// lines about runs use these keys.
func WithRun(e *zerolog.Event, t cfcore.TaskName, run uint64) *zerolog.Event {
	return e.Str("Job", t.Job).Int("Step", t.Step).Int("Index", t.Index).Uint64("Run", run)
}
