package cfdriver

import (
	"bufio"
	"bytes"
	"encoding/json"
	"sort"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"cranberryford/internal/cfstandin"
	"cranberryford/pkg/cfcore"
)

// Span is one run of a task on one VM.
type Span struct {
	VM         string
	Task       cfcore.TaskID
	Assignment cfcore.Assignment
	From, To   time.Time
	End        string
	// Progress is how far the task was at the end of the run, and Resumed where
	// the run began.
	Progress time.Duration
	Resumed  time.Duration
}

// lines reads what a worker printed of what it executed. It survives a kill.
func lines(s *gexec.Session) []cfstandin.HistoryLine {
	var out []cfstandin.HistoryLine
	sc := bufio.NewScanner(bytes.NewReader(s.Out.Contents()))
	for sc.Scan() {
		var l cfstandin.HistoryLine
		if json.Unmarshal(sc.Bytes(), &l) == nil && l.Task != "" {
			out = append(out, l)
		}
	}
	return out
}

// Executed returns how often each call was executed, by its key, on all VMs.
func (c *Cluster) Executed() map[string]int {
	out := map[string]int{}
	for _, v := range c.VMs {
		sessions := []*gexec.Session{v.Worker.session}
		for _, f := range v.former {
			sessions = append(sessions, f.session)
		}
		for _, s := range sessions {
			for _, call := range calls(s) {
				out[call.Key]++
			}
		}
	}
	return out
}

// CallsOn returns the calls that a VM executed, with their times.
func (c *Cluster) CallsOn(v *VMProc) []cfstandin.Call { return calls(v.Worker.session) }

func calls(s *gexec.Session) []cfstandin.Call {
	var out []cfstandin.Call
	sc := bufio.NewScanner(bytes.NewReader(s.Out.Contents()))
	for sc.Scan() {
		var call cfstandin.Call
		if json.Unmarshal(sc.Bytes(), &call) == nil && call.Path != "" {
			out = append(out, call)
		}
	}
	return out
}

// Spans returns all runs of all VMs, in the order in which they began.
func (c *Cluster) Spans() []Span {
	var out []Span
	for _, v := range c.VMs {
		for _, f := range v.former {
			out = append(out, spansOf(v.Name, lines(f.session), f.killed)...)
		}
		out = append(out, spansOf(v.Name, lines(v.Worker.session), v.Worker.killed)...)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].From.Before(out[j].From) })
	return out
}

// spansOf pairs beginnings with ends. A run of a killed VM ended with it.
func spansOf(vm string, history []cfstandin.HistoryLine, killed time.Time) []Span {
	open := map[cfcore.Assignment]*Span{}
	var all []*Span
	for _, l := range history {
		if l.What == "begin" {
			s := &Span{VM: vm, Task: l.Task, Assignment: l.Assignment, From: l.At, Resumed: l.Progress}
			open[l.Assignment] = s
			all = append(all, s)
			continue
		}
		if s := open[l.Assignment]; s != nil {
			s.To, s.End, s.Progress = l.At, l.What, l.Progress
		}
	}
	out := make([]Span, len(all))
	for i, s := range all {
		if s.To.IsZero() {
			s.To = killed
		}
		if s.To.IsZero() {
			s.To = time.Now()
		}
		out[i] = *s
	}
	return out
}

// Runs counts the runs of a task that ended in a state.
func (c *Cluster) Runs(task cfcore.TaskID, end string) int {
	n := 0
	for _, s := range c.Spans() {
		if s.Task == task && s.End == end {
			n++
		}
	}
	return n
}

// CheckHistory fails where a task ran in two places at once, an assignment was
// started twice, or a job completed twice.
func (c *Cluster) CheckHistory() {
	GinkgoHelper()
	last := map[cfcore.TaskID]Span{}
	seen := map[cfcore.Assignment]bool{}
	done := map[cfcore.TaskID]int{}
	for _, s := range c.Spans() {
		if before, ok := last[s.Task]; ok {
			Expect(s.From).To(BeTemporally(">=", before.To), "%s ran in two places: %+v and %+v", s.Task, before, s)
		}
		Expect(seen[s.Assignment]).To(BeFalse(), "assignment %d was started twice", s.Assignment)
		seen[s.Assignment] = true
		last[s.Task] = s
		if s.End == string(cfcore.RunDone) {
			done[s.Task]++
		}
	}
	for task, n := range done {
		Expect(n).To(Equal(1), "%s completed %d times", task, n)
	}
}
