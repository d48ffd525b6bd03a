package cfprint

import (
	"fmt"
	"strings"
	"time"

	"cranberryford/internal/cftrace"
)

// logTimeFormat is the format in which the time of a log line is printed.
const logTimeFormat = "15:04:05.000"

// Trace prints the log lines of t, which are about the job with the given ID, in their
// order. The messages of context lines, which are not about the job itself, are in
// brackets.
func (p *Printer) Trace(id string, t *cftrace.Trace) {
	if len(t.Lines) == 0 {
		p.Printf("No line of these logs mentions %s.\n", id)
	} else {
		first, last := t.Lines[0].At, t.Lines[len(t.Lines)-1].At
		p.Printf("%s: %d lines in %s, from %s.\n", id, len(t.Lines), last.Sub(first), first.UTC().Format(time.RFC3339))
	}
	for _, l := range t.Lines {
		message := l.Message
		if l.Context {
			message = "[" + message + "]"
		}
		var fields []string
		for _, f := range l.Fields {
			fields = append(fields, f.Key+"="+f.Value)
		}
		line := fmt.Sprintf("%s  %-20s  %s  %s", l.At.UTC().Format(logTimeFormat), l.Node, message, strings.Join(fields, " "))
		p.Printf("%s\n", strings.TrimRight(line, " "))
	}
	if t.Unreadable > 0 {
		p.Printf("%d lines are not log lines.\n", t.Unreadable)
	}
}
