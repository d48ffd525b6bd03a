package jobs

import (
	"cmp"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	. "github.com/onsi/ginkgo/v2"

	"cranberryford/platform/standin"
)

// maxReportedConflicts bounds the conflicts whose logs a fleet with more than maxReportedAgents reports.
const (
	maxReportedConflicts = 3
	maxReportedAgents    = 10
)

// reportLogs adds the logs of all processes to the report. Those of a large fleet are restricted to the
// lines about the tasks of the first conflicts. The ends of the logs of exited processes follow.
func (f *fleet) reportLogs() {
	conflicts := standin.ConflictsBeside(f.runs(), f.isDuplicable)
	// Those without orders to former incarnations have another cause.
	slices.SortStableFunc(conflicts, func(a, b standin.Conflict) int { return cmp.Compare(btoi(a.IsOrphaned()), btoi(b.IsOrphaned())) })
	var tasks []string
	for _, c := range conflicts {
		if len(tasks) < maxReportedConflicts && !slices.Contains(tasks, c.Earlier.Task) {
			tasks = append(tasks, c.Earlier.Task)
		}
	}
	files, _ := filepath.Glob(filepath.Join(f.dir, "*.log"))
	for _, name := range files {
		data, _ := os.ReadFile(name)
		text := string(data)
		if len(f.agents) > maxReportedAgents {
			text = strings.Join(slices.DeleteFunc(strings.SplitAfter(text, "\n"), func(line string) bool {
				return !slices.ContainsFunc(tasks, func(task string) bool { return isAboutTask(line, task) })
			}), "")
		}
		if text != "" {
			AddReportEntry(filepath.Base(name), text)
		}
	}
	for _, p := range append(slices.Clone(f.entries), f.agents...) {
		if code := p.session.ExitCode(); code >= 0 {
			data, _ := os.ReadFile(strings.TrimSuffix(p.settingsFile, ".jsonc") + ".log")
			AddReportEntry(fmt.Sprintf("%s has exited with %d", filepath.Base(p.settingsFile), code), string(data[max(0, len(data)-4000):]))
		}
	}
}

// isAboutTask reports whether a line of a log has the job and the index of a task.
func isAboutTask(line, task string) bool {
	job, _, _ := strings.Cut(task, ".")
	return strings.Contains(line, `"Job":"`+job) && strings.Contains(line, `"Index":`+task[strings.LastIndexByte(task, '.')+1:]+",")
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}
