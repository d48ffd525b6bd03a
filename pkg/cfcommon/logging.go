package cfcommon

import (
	"github.com/rs/zerolog"

	"cranberryford/pkg/cfcore"
)

// WithRun adds the run of a job's task to a log line, with the keys that all lines about
// runs share.
func WithRun(e *zerolog.Event, t cfcore.TaskName, run uint64) *zerolog.Event {
	return e.Str("Job", t.Job).Int("Step", t.Step).Int("Index", t.Index).Uint64("Run", run)
}
