// Package cftrace tells the story of one request from the log lines that the
// processes have written.
package cftrace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"slices"
	"strings"
	"time"

	"cranberryford/pkg/cferror"
)

// Kind is the kind of an Error of this package.
type Kind string

// KindRead is a log that cannot be read.
const KindRead Kind = "cannot read log"

// Error is the error type of this package.
type Error = cferror.Error[Kind]

// contextBefore is how long before the first line about a request lines of context are
// of use: what made a process refuse it stands there. Outages of dependencies that are
// older are told again by their effects.
const contextBefore = 10 * time.Second

// maxLine bounds a log line, in bytes.
const maxLine = 1 << 20

// The keys of a line that are not part of what it tells of the request.
const (
	keyTime    = "time"
	keyLevel   = "level"
	keyMessage = "message"
	keyRole    = "Role"
	keyNode    = "Node"
	keyJob     = "Job"
)

// Field is a key of a log line with its value.
type Field struct {
	Key   string
	Value string
}

// Line is a log line.
type Line struct {
	At      time.Time
	Node    string
	Message string
	// Fields are the other keys, in the order of their names.
	Fields []Field
	// Context is set for a line that is not about the request itself.
	Context bool
}

// Story is what the logs tell of a request.
type Story struct {
	Lines []Line
	// Unreadable is the number of lines that are no log lines.
	Unreadable int
}

// Read reads the logs of any number of processes, one after the other, and returns
// the lines about a request in the order of time. With context, lines about the
// processes that the request met are added, such as lost dependencies, from shortly
// before its first line to its last.
func Read(id string, context bool, logs ...io.Reader) (*Story, error) {
	s := &Story{}
	for _, r := range logs {
		if err := s.read(id, context, r); err != nil {
			return nil, err
		}
	}
	slices.SortStableFunc(s.Lines, func(a, b Line) int { return a.At.Compare(b.At) })
	s.trim()
	return s, nil
}

func (s *Story) read(id string, context bool, r io.Reader) error {
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLine)
	for sc.Scan() {
		l, job, ok := parse(sc.Bytes())
		switch {
		case !ok:
			s.Unreadable++
		case job == id:
			s.Lines = append(s.Lines, l)
		case job == "" && context:
			l.Context = true
			s.Lines = append(s.Lines, l)
		}
	}
	return cferror.Wrap("read log", KindRead, sc.Err())
}

// parse decodes a log line. What a log collector has put before the line is left out.
func parse(data []byte) (Line, string, bool) {
	i := bytes.IndexByte(data, '{')
	if i < 0 {
		return Line{}, "", false
	}
	var fields map[string]json.RawMessage
	if json.Unmarshal(data[i:], &fields) != nil {
		return Line{}, "", false
	}
	l := Line{Node: text(fields[keyNode]), Message: text(fields[keyMessage])}
	at, err := time.Parse(time.RFC3339Nano, text(fields[keyTime]))
	if err != nil || l.Message == "" {
		return Line{}, "", false
	}
	l.At = at
	if l.Node == "" {
		l.Node = text(fields[keyRole])
	}
	job := text(fields[keyJob])
	for _, k := range []string{keyTime, keyLevel, keyMessage, keyRole, keyNode, keyJob} {
		delete(fields, k)
	}
	for k, v := range fields {
		l.Fields = append(l.Fields, Field{Key: k, Value: text(v)})
	}
	slices.SortFunc(l.Fields, func(a, b Field) int { return strings.Compare(a.Key, b.Key) })
	return l, job, true
}

// text returns a JSON string without its quotes, and any other value as it stands.
func text(raw json.RawMessage) string {
	var s string
	if json.Unmarshal(raw, &s) == nil {
		return s
	}
	return string(raw)
}

// trim leaves the lines of context out that are of processes which the request did
// not meet, or from long before its first line or after its last.
func (s *Story) trim() {
	var first, last time.Time
	met := map[string]bool{}
	for _, l := range s.Lines {
		if l.Context {
			continue
		}
		if first.IsZero() {
			first = l.At
		}
		last = l.At
		met[l.Node] = true
		for _, f := range l.Fields {
			if f.Key == "Agent" {
				met[f.Value] = true
			}
		}
	}
	first = first.Add(-contextBefore)
	s.Lines = slices.DeleteFunc(s.Lines, func(l Line) bool {
		return l.Context && (!met[l.Node] || l.At.Before(first) || l.At.After(last))
	})
}
