package cfdriver

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"sort"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"cranberryford/internal/cfstandin"
	"cranberryford/pkg/cfcore"
)

// Span is one run of a task on one VM. From is when the run started, To is when it ended, and
// EndState is the state in which it ended. The history of a VM can lack the end of a run.
// EndState is then empty and Progress is 0. If the worker process was killed, To is the time of
// the kill. If the worker process still runs, To is the time at which Spans was called.
type Span struct {
	VM         string
	Task       cfcore.TaskID
	Assignment cfcore.Assignment
	From, To   time.Time
	EndState   string
	// Progress is the task's progress at the end of the run, and StartProgress the
	// progress from which the run resumed.
	Progress      time.Duration
	StartProgress time.Duration
}

// historyLines returns the history of runs that a worker process printed. The session keeps
// the output after the process is killed.
func historyLines(s *gexec.Session) []cfstandin.HistoryLine {
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

// ExecutionCounts returns the number of executions of each call on all VMs together. The map
// key is the call's Call-Key.
func (c *Cluster) ExecutionCounts() map[string]int {
	GinkgoHelper()
	out := map[string]int{}
	for _, v := range c.VMs {
		calls := c.CallsOn(v)
		for _, old := range v.replaced {
			calls = append(calls, executedCalls(old.session)...)
		}
		for _, call := range calls {
			out[call.Key]++
		}
	}
	return out
}

// printTimeout bounds how long the output of a worker process takes to arrive.
const printTimeout = 5 * time.Second

// CallsOn returns the calls that a VM executed in its current incarnation. If the VM answers, these
// include all calls that it has answered, although its output arrives later than its answers.
func (c *Cluster) CallsOn(v *VMProc) []cfstandin.Call {
	GinkgoHelper()
	var answered, printed []cfstandin.Call
	c.getJSON(fmt.Sprintf("http://%s/calls", v.addr), &answered)
	c.Eventually(printTimeout, "the calls are printed", func() bool {
		printed = executedCalls(v.Worker.session)
		return len(printed) >= len(answered)
	})
	return printed
}

// executedCalls returns the calls that the targets of one worker process executed and that
// the process printed.
func executedCalls(s *gexec.Session) []cfstandin.Call {
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

// Spans returns the runs of all VMs, including replaced ones, sorted by their start.
func (c *Cluster) Spans() []Span {
	var out []Span
	for _, v := range c.VMs {
		for _, old := range v.replaced {
			out = append(out, spansOf(v.Name, historyLines(old.session), old.killedAt)...)
		}
		out = append(out, spansOf(v.Name, historyLines(v.Worker.session), v.Worker.killedAt)...)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].From.Before(out[j].From) })
	return out
}

// spansOf returns the runs of one worker process. A run whose end is not in the history ends
// at killedAt. If killedAt is zero, the process still runs, and the run ends at the current
// time.
func spansOf(vm string, history []cfstandin.HistoryLine, killedAt time.Time) []Span {
	byAssignment := map[cfcore.Assignment]*Span{}
	var all []*Span
	for _, l := range history {
		if l.What == "begin" {
			s := &Span{VM: vm, Task: l.Task, Assignment: l.Assignment, From: l.At, StartProgress: l.Progress}
			byAssignment[l.Assignment] = s
			all = append(all, s)
			continue
		}
		if s := byAssignment[l.Assignment]; s != nil {
			s.To, s.EndState, s.Progress = l.At, l.What, l.Progress
		}
	}
	out := make([]Span, len(all))
	for i, s := range all {
		if s.To.IsZero() {
			s.To = killedAt
		}
		if s.To.IsZero() {
			s.To = time.Now()
		}
		out[i] = *s
	}
	return out
}

// CountRuns returns the number of a task's runs that ended in the given state.
func (c *Cluster) CountRuns(task cfcore.TaskID, endState string) int {
	n := 0
	for _, s := range c.Spans() {
		if s.Task == task && s.EndState == endState {
			n++
		}
	}
	return n
}

// CheckHistory fails the spec if two runs of a task overlap, an assignment was started
// twice, or a task completed twice.
func (c *Cluster) CheckHistory() {
	GinkgoHelper()
	lastSpan := map[cfcore.TaskID]Span{}
	seenAssignments := map[cfcore.Assignment]bool{}
	completions := map[cfcore.TaskID]int{}
	for _, s := range c.Spans() {
		if previous, ok := lastSpan[s.Task]; ok {
			Expect(s.From).To(BeTemporally(">=", previous.To), "runs of %s overlap: %+v and %+v", s.Task, previous, s)
		}
		Expect(seenAssignments[s.Assignment]).To(BeFalse(), "assignment %d was started twice", s.Assignment)
		seenAssignments[s.Assignment] = true
		lastSpan[s.Task] = s
		if s.EndState == string(cfcore.RunDone) {
			completions[s.Task]++
		}
	}
	for task, n := range completions {
		Expect(n).To(Equal(1), "task %s completed %d times", task, n)
	}
}
