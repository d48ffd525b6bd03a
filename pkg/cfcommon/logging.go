package cfcommon

import (
	"github.com/rs/zerolog"

	"cranberryford/pkg/cfcore"
)

// WithRun adds the job, step and index of a task and the number of a run to a log event. All
// log lines about runs use the keys that are set here.
func WithRun(e *zerolog.Event, t cfcore.TaskName, run uint64) *zerolog.Event {
	return e.Str("Job", t.Job).Int("Step", t.Step).Int("Index", t.Index).Uint64("Run", run)
}
