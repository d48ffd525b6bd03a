// Package cfprint prints the results of commands in human-readable form.
package cfprint

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"

	"cranberryford/internal/cfapi"
)

// Printer prints the results of commands to Out.
type Printer struct {
	Out io.Writer
}

// Printf prints text. It ignores write errors, because a command cannot handle a
// closed output.
func (p *Printer) Printf(format string, args ...any) { _, _ = fmt.Fprintf(p.Out, format, args...) }

// Table returns a table with a header. The table's methods Render and RenderMarkdown print
// the table to Out.
func (p *Printer) Table(header ...any) table.Writer {
	t := table.NewWriter()
	t.SetOutputMirror(p.Out)
	t.SetStyle(table.StyleLight)
	t.AppendHeader(table.Row(header))
	return t
}

// Plan prints a plan.
func (p *Printer) Plan(plan *cfapi.Plan) {
	t := p.Table("Step", "Subject", "Detail")
	for _, s := range plan.Steps {
		t.AppendRow([]any{s.Action, s.Subject, s.Detail})
	}
	t.Render()
	p.Printf("Plan %s by %s, for the state at offset %d. Nothing changes before it is confirmed:\n  cranberryford confirm %s\n",
		plan.ID, plan.Who, plan.Base, plan.ID)
}

// Confirmation prints the confirmation of a plan.
func (p *Printer) Confirmation(c *cfapi.Confirmation) {
	p.Printf("Plan %s is in force since offset %d.\n", c.Plan, c.Offset)
}

// Status prints the entries, workers and tasks.
func (p *Printer) Status(s *cfapi.Status) {
	logState := "readable"
	if !s.LogHealthy {
		logState = "NOT readable"
	}
	p.Printf("Entry %s: offset %d, epoch %d, log %s\n", s.Entry, s.Offset, s.Epoch, logState)
	t := p.Table("Entry", "Peer", "Data centre", "Planner")
	for _, e := range s.Entries {
		t.AppendRow([]any{e.ID, e.Peer, e.DataCentre, e.Planner})
	}
	t.Render()
	t = p.Table("Worker", "Data centre", "Rack", "State", "Millicores", "Memory MB", "Tasks", "Targets")
	for i := range s.Workers {
		w := &s.Workers[i]
		t.AppendRow([]any{
			w.ID, w.DataCentre, w.Rack, w.State, usedOfCapacity(w.Used.MilliCores, w.Capacity.MilliCores),
			usedOfCapacity(w.Used.MemoryMB, w.Capacity.MemoryMB), w.Tasks, strings.Join(w.Targets, " "),
		})
	}
	t.Render()
	p.Tasks(s.Workloads)
}

// Tasks prints the tasks of workloads.
func (p *Printer) Tasks(workloads []cfapi.WorkloadStatus) {
	t := p.Table("Task", "Class", "Team", "Status", "Worker", "Evictions", "Failures", "Reason")
	for i := range workloads {
		w := &workloads[i]
		for j := range w.Tasks {
			task := &w.Tasks[j]
			t.AppendRow([]any{task.ID, w.Class, w.Team, task.Status, task.Worker.Or(""), task.Evictions, task.Failures, task.Reason.Or("")})
		}
	}
	t.Render()
}

// usedOfCapacity formats the used and the total amount of a resource as used/total.
func usedOfCapacity(used, capacity cfapi.OptInt64) string {
	return strconv.FormatInt(used.Or(0), 10) + "/" + strconv.FormatInt(capacity.Or(0), 10)
}

// Explanation prints the state and history of a task.
func (p *Printer) Explanation(e *cfapi.Explanation) {
	t := &e.Task
	where := "on no worker"
	if w, ok := t.Worker.Get(); ok {
		where = "on " + w
	}
	p.Printf("%s is %s, %s, since %s. %s\n", t.ID, t.Status, where, t.Since.Format(time.RFC3339), t.Reason.Or(""))
	p.Printf("It is a %s of plan %s, which permits: %s.\n", e.Class, e.Plan, orNothing(e.Permissions))
	p.Events(e.Events)
}

// orNothing joins a list with commas. For an empty list it returns "nothing".
func orNothing(list []string) string {
	if len(list) == 0 {
		return "nothing"
	}
	return strings.Join(list, ", ")
}

// Events prints events of the audit trail or of a task's history.
func (p *Printer) Events(events []cfapi.Event) {
	t := p.Table("Offset", "Time", "Who", "Plan", "What", "Subject", "Cause")
	for i := range events {
		e := &events[i]
		t.AppendRow([]any{
			e.Offset, e.At.Format(time.TimeOnly), e.Who, e.Plan.Or(""), e.What, e.Subject, e.Cause.Or(""),
		})
	}
	t.Render()
}
