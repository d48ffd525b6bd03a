package cfapp

import (
	"io"

	"github.com/rs/zerolog/diode"
	"github.com/uber-go/tally/v4"
)

// maxQueuedLogLines is the maximum number of log lines that wait to be written. This is
// enough for several seconds of logs of a busy entry. With 250 bytes a line, the lines need
// about 1 MB.
const maxQueuedLogLines = 4096

// nonBlockingLogs returns a writer that never blocks. If lines arrive faster than they
// can be written, it drops the oldest ones and counts them. The returned function
// writes the queued lines and closes the writer.
func nonBlockingLogs(w io.Writer, scope tally.Scope) (io.Writer, func()) {
	dropped := scope.Counter("log_lines_dropped")
	// Several roles can share w. The wrapper hides w's Close method, so that closing d
	// leaves w open.
	d := diode.NewWriter(struct{ io.Writer }{w}, maxQueuedLogLines, 0, func(missed int) { dropped.Inc(int64(missed)) })
	return d, func() { _ = d.Close() }
}
