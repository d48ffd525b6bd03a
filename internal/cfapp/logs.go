package cfapp

import (
	"io"

	"github.com/rs/zerolog/diode"
	"github.com/uber-go/tally/v4"
)

// maxQueuedLogLines is the number of log lines that may wait to be written. It is
// enough for several seconds of logs of a busy entry and needs about 1 MB.
const maxQueuedLogLines = 4096

// nonBlockingLogs returns a writer that never blocks. If lines arrive faster than they
// can be written, it drops the oldest ones and counts them. The returned function
// writes the queued lines and closes the writer.
func nonBlockingLogs(w io.Writer, scope tally.Scope) (io.Writer, func()) {
	dropped := scope.Counter("log_lines_dropped")
	// w may be shared. The wrapper hides its Close method, so that it stays open.
	d := diode.NewWriter(struct{ io.Writer }{w}, maxQueuedLogLines, 0, func(missed int) { dropped.Inc(int64(missed)) })
	return d, func() { _ = d.Close() }
}
