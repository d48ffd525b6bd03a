// Package cftrace collects the log lines about one job from the logs of several
// processes.
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

// Kind classifies the errors of this package.
type Kind string

// KindRead means that a log cannot be read.
const KindRead Kind = "cannot read log"

// Error is the error type of this package.
type Error = cferror.Error[Kind]

// A context line is kept only if it was logged at most contextBefore before the first line
// about the job. Context lines show why a process refused the job. An older line about the
// beginning of an outage of a dependency is not needed, because the effects of the outage
// are logged again.
const contextBefore = 10 * time.Second

// maxLineBytes limits the length of a log line.
const maxLineBytes = 1 << 20

// The keys of a log line that parseLine does not put into Fields.
const (
	keyTime    = "time"
	keyLevel   = "level"
	keyMessage = "message"
	keyRole    = "Role"
	keyNode    = "Node"
	keyJob     = "Job"
)

// Field is a key of a log line and its value.
type Field struct {
	Key   string
	Value string
}

// Line is a decoded log line.
type Line struct {
	At time.Time
	// Node is the name of the process, or its role if the line has no name.
	Node    string
	Message string
	// Fields are the other keys and their values, sorted by key.
	Fields []Field
	// Context is set for a context line, which is not about the job itself.
	Context bool
}

// Trace holds the log lines about a job and the context lines, sorted by time.
type Trace struct {
	Lines []Line
	// Unreadable is the number of input lines that are not log lines.
	Unreadable int
}

// Read reads the logs of several processes and returns the lines about the job with the
// given ID in the order of time. If withContext is set, it adds context lines. These are
// lines about no job, for instance about lost dependencies, of the processes that handled
// the job. The earliest is at most contextBefore older than the job's first line, and the
// latest is no newer than the job's last line.
func Read(id string, withContext bool, logs ...io.Reader) (*Trace, error) {
	t := &Trace{}
	for _, r := range logs {
		if err := t.addLines(id, withContext, r); err != nil {
			return nil, err
		}
	}
	slices.SortStableFunc(t.Lines, func(a, b Line) int { return a.At.Compare(b.At) })
	t.trimContext()
	return t, nil
}

// addLines adds the lines about a job from one log. If withContext is set, it also adds
// the lines about no job, as context lines.
func (t *Trace) addLines(id string, withContext bool, r io.Reader) error {
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLineBytes)
	for sc.Scan() {
		l, job, ok := parseLine(sc.Bytes())
		switch {
		case !ok:
			t.Unreadable++
		case job == id:
			t.Lines = append(t.Lines, l)
		case job == "" && withContext:
			l.Context = true
			t.Lines = append(t.Lines, l)
		}
	}
	return cferror.Wrap("collect lines about job", KindRead, sc.Err())
}

// parseLine decodes a log line and returns it with the ID of its job, which is empty if the
// line is about no job. It skips a prefix that a log collector has added. It returns
// false if data is not a log line.
func parseLine(data []byte) (Line, string, bool) {
	i := bytes.IndexByte(data, '{')
	if i < 0 {
		return Line{}, "", false
	}
	var fields map[string]json.RawMessage
	if json.Unmarshal(data[i:], &fields) != nil {
		return Line{}, "", false
	}
	l := Line{Node: unquote(fields[keyNode]), Message: unquote(fields[keyMessage])}
	at, err := time.Parse(time.RFC3339Nano, unquote(fields[keyTime]))
	if err != nil || l.Message == "" {
		return Line{}, "", false
	}
	l.At = at
	if l.Node == "" {
		l.Node = unquote(fields[keyRole])
	}
	job := unquote(fields[keyJob])
	for _, k := range []string{keyTime, keyLevel, keyMessage, keyRole, keyNode, keyJob} {
		delete(fields, k)
	}
	for k, v := range fields {
		l.Fields = append(l.Fields, Field{Key: k, Value: unquote(v)})
	}
	slices.SortFunc(l.Fields, func(a, b Field) int { return strings.Compare(a.Key, b.Key) })
	return l, job, true
}

// unquote returns the value of a JSON string, and the JSON text of any other value.
func unquote(raw json.RawMessage) string {
	var s string
	if json.Unmarshal(raw, &s) == nil {
		return s
	}
	return string(raw)
}

// trimContext removes the context lines of processes that did not handle the job. It also
// removes context lines that were logged after the job's last line, or more than
// contextBefore before the job's first line. The lines must be sorted by time.
func (t *Trace) trimContext() {
	var first, last time.Time
	involved := map[string]bool{}
	for _, l := range t.Lines {
		if l.Context {
			continue
		}
		if first.IsZero() {
			first = l.At
		}
		last = l.At
		involved[l.Node] = true
		for _, f := range l.Fields {
			if f.Key == "Agent" {
				involved[f.Value] = true
			}
		}
	}
	first = first.Add(-contextBefore)
	t.Lines = slices.DeleteFunc(t.Lines, func(l Line) bool {
		return l.Context && (!involved[l.Node] || l.At.Before(first) || l.At.After(last))
	})
}
