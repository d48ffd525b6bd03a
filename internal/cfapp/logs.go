package cfapp

import (
	"io"

	"github.com/rs/zerolog/diode"
	"github.com/uber-go/tally/v4"
)

// logLines is the number of log lines that may wait to be written. It holds what a
// busy entry writes in some seconds, in about 1 MB.
const logLines = 4096

// boundedLogs returns a writer that never blocks: where lines come in faster than
// they can be written, the oldest are dropped and counted. The function closes it
// after the lines that wait are written.
func boundedLogs(w io.Writer, scope tally.Scope) (io.Writer, func()) {
	dropped := scope.Counter("log_lines_dropped")
	// The writer may be shared; hiding its other methods keeps it from being closed.
	d := diode.NewWriter(struct{ io.Writer }{w}, logLines, 0, func(missed int) { dropped.Inc(int64(missed)) })
	return d, func() { _ = d.Close() }
}
