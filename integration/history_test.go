package integration

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

// span is one run of a task on one VM.
type span struct {
	vm         string
	task       cfcore.TaskID
	assignment cfcore.Assignment
	from, to   time.Time
	end        string
	progress   time.Duration
	resumed    time.Duration
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

// spans returns all runs of all VMs, in the order in which they began.
func (c *cluster) spans() []span {
	var out []span
	for _, v := range c.vms {
		for _, f := range v.former {
			out = append(out, spansOf(v.name, lines(f.session), f.killed)...)
		}
		out = append(out, spansOf(v.name, lines(v.worker.session), v.worker.killed)...)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].from.Before(out[j].from) })
	return out
}

// spansOf pairs beginnings with ends. A run of a killed VM ended with it.
func spansOf(vm string, history []cfstandin.HistoryLine, killed time.Time) []span {
	open := map[cfcore.Assignment]*span{}
	var all []*span
	for _, l := range history {
		if l.What == "begin" {
			s := &span{vm: vm, task: l.Task, assignment: l.Assignment, from: l.At, resumed: l.Progress}
			open[l.Assignment] = s
			all = append(all, s)
			continue
		}
		if s := open[l.Assignment]; s != nil {
			s.to, s.end, s.progress = l.At, l.What, l.Progress
		}
	}
	out := make([]span, len(all))
	for i, s := range all {
		if s.to.IsZero() {
			s.to = killed
		}
		if s.to.IsZero() {
			s.to = time.Now()
		}
		out[i] = *s
	}
	return out
}

// runs counts the runs of a task that ended in a state.
func (c *cluster) runs(task cfcore.TaskID, end string) int {
	n := 0
	for _, s := range c.spans() {
		if s.task == task && s.end == end {
			n++
		}
	}
	return n
}

// checkHistory fails where a task ran in two places at once, an assignment was
// started twice, or a job completed twice.
func (c *cluster) checkHistory() {
	GinkgoHelper()
	last := map[cfcore.TaskID]span{}
	seen := map[cfcore.Assignment]bool{}
	done := map[cfcore.TaskID]int{}
	for _, s := range c.spans() {
		if before, ok := last[s.task]; ok {
			Expect(s.from).To(BeTemporally(">=", before.to), "%s ran in two places: %+v and %+v", s.task, before, s)
		}
		Expect(seen[s.assignment]).To(BeFalse(), "assignment %d was started twice", s.assignment)
		seen[s.assignment] = true
		last[s.task] = s
		if s.end == string(cfcore.RunDone) {
			done[s.task]++
		}
	}
	for task, n := range done {
		Expect(n).To(Equal(1), "%s completed %d times", task, n)
	}
}
