package cfprint

import (
	"fmt"
	"strings"
	"time"

	"cranberryford/internal/cftrace"
)

// logTime is how the time of a log line is printed.
const logTime = "15:04:05.000"

// Story prints what logs tell of a request. A line that is not about the request
// itself stands in brackets.
func (p *Printer) Story(id string, s *cftrace.Story) {
	if len(s.Lines) == 0 {
		p.Printf("No line of these logs names %s.\n", id)
	} else {
		first, last := s.Lines[0].At, s.Lines[len(s.Lines)-1].At
		p.Printf("%s: %d lines in %s, from %s.\n", id, len(s.Lines), last.Sub(first), first.UTC().Format(time.RFC3339))
	}
	for _, l := range s.Lines {
		message := l.Message
		if l.Context {
			message = "[" + message + "]"
		}
		var fields []string
		for _, f := range l.Fields {
			fields = append(fields, f.Key+"="+f.Value)
		}
		line := fmt.Sprintf("%s  %-20s  %s  %s", l.At.UTC().Format(logTime), l.Node, message, strings.Join(fields, " "))
		p.Printf("%s\n", strings.TrimRight(line, " "))
	}
	if s.Unreadable > 0 {
		p.Printf("%d lines are no log lines.\n", s.Unreadable)
	}
}
