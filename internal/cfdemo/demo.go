// Package cfdemo shows the whole path in one process on loopback, with stand-ins
// for the platform.
package cfdemo

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"cranberryford/internal/cfapi"
	"cranberryford/internal/cfprint"
	"cranberryford/pkg/cferror"
)

// Kind is the kind of an Error of this package.
type Kind string

// The kinds of errors.
const (
	// KindStart is a deployment that does not come up.
	KindStart Kind = "cannot start"
	// KindStory is a step of the demo that does not do what it should.
	KindStory Kind = "unexpected"
)

// Error is the error type of this package.
type Error = cferror.Error[Kind]

// deployment says what one of the two deployments is made of.
type deployment struct {
	title       string
	name        string
	dataCentres []string
	service     string
	request     string
	body        string
	job         string
	watch       string
}

var deployments = [...]deployment{
	{
		title: "Granite Spring Fountain Care Franchising", name: "granite-spring",
		dataCentres: []string{"north-shore", "merrimack", "seacoast"},
		service:     "dispatch", request: "/dispatch/bookings", body: "filter check, gym, fountain 7",
		job: "route-plan", watch: "fountain-watch",
	},
	{
		title: "Kelaniya Municipal Public Notice Authority", name: "kelaniya",
		dataCentres: []string{"colombo-north", "kelaniya-central", "gampaha-south"},
		service:     "crier-hub", request: "/crier-hub/notices", body: "ward 3: water cut at noon",
		job: "bulletin", watch: "flood-relay",
	},
}

// stepTimeout bounds each step of the story.
const stepTimeout = 10 * time.Second

// Run runs the demo and prints what happens.
func Run(ctx context.Context, out io.Writer) error {
	p := &cfprint.Printer{Out: out}
	for _, d := range deployments {
		p.Printf("\n######## %s\n\n", d.title)
		if err := runDeployment(ctx, p, d); err != nil {
			return err
		}
	}
	return nil
}

func runDeployment(ctx context.Context, p *cfprint.Printer, d deployment) error {
	f, cleanup, err := startFleet(ctx, d)
	if err != nil {
		return err
	}
	defer cleanup()
	s := &story{Printer: p, fleet: f, d: d}
	for _, step := range []func(context.Context) error{
		s.plan, s.calls, s.targetLeaves, s.workerFails, s.jobsComplete, s.audit,
	} {
		stepCtx, cancel := context.WithTimeout(ctx, stepTimeout)
		err := step(stepCtx)
		cancel()
		if err = errors.CombineErrors(err, f.failure()); err != nil {
			return err
		}
	}
	return nil
}

// story tells what happens in one deployment.
type story struct {
	*cfprint.Printer
	fleet *fleet
	d     deployment
}

func (s *story) plan(ctx context.Context) error {
	in, text, err := sampleIntent(s.d.name)
	if err != nil {
		return err
	}
	s.Printf("The operator's intent (samples/%s/intent.jsonc):\n%s\n", s.d.name, text)
	return s.accept(ctx, in)
}

// accept shows the plan for an intent and confirms it.
func (s *story) accept(ctx context.Context, in *cfapi.Intent) error {
	plan, err := s.fleet.api.MakePlan(ctx, in)
	if err != nil {
		return cferror.Wrap("plan", KindStory, err)
	}
	s.Plan(plan)
	c, err := s.fleet.api.ConfirmPlan(ctx, cfapi.ConfirmPlanParams{Plan: plan.ID})
	if err != nil {
		return cferror.Wrap("confirm", KindStory, err)
	}
	s.Printf("The operator confirms. ")
	s.Confirmation(c)
	return nil
}

func (s *story) calls(ctx context.Context) error {
	if err := s.until(ctx, "all targets are there", s.allTargets); err != nil {
		return err
	}
	st, err := s.fleet.api.GetStatus(ctx)
	if err != nil {
		return cferror.Wrap("status", KindStory, err)
	}
	s.Printf("\nWhat runs where:\n")
	s.Status(st)
	s.Printf("\nCalls, one through each entry, then one for a service that there is not:\n")
	for i := range s.fleet.entries {
		s.call(ctx, i, s.d.request, s.d.body)
	}
	s.call(ctx, 0, "/no-such-service/", "")
	return nil
}

func (s *story) call(ctx context.Context, entry int, path, body string) {
	r := s.fleet.call(ctx, entry, path, body)
	s.Printf("  POST %-20s -> %d, %s, %q from %s in %s\n", path, r.status, r.verdict, r.body, r.target, r.took.Round(100*time.Microsecond))
}

func (s *story) allTargets(ctx context.Context) bool {
	st, err := s.fleet.api.GetStatus(ctx)
	if err != nil {
		return false
	}
	n := 0
	for i := range st.Workers {
		n += len(st.Workers[i].Targets)
	}
	return n == len(s.fleet.hosts)
}

func (s *story) targetLeaves(ctx context.Context) error {
	worker := s.fleet.hosts[0].name
	s.Printf("\nA target leaves: the operator drains worker %s.\n", worker)
	if err := s.accept(ctx, &cfapi.Intent{Drain: []string{worker}}); err != nil {
		return err
	}
	err := s.until(ctx, "the worker is empty", func(ctx context.Context) bool {
		st, err := s.fleet.api.GetStatus(ctx)
		return err == nil && st.Workers != nil && workerTasks(st, worker) == 0
	})
	if err != nil {
		return err
	}
	s.Printf("Worker %s has no tasks any more. Calls go on elsewhere:\n", worker)
	s.call(ctx, 1, s.d.request, s.d.body)
	return nil
}

func workerTasks(st *cfapi.Status, worker string) int {
	for i := range st.Workers {
		if st.Workers[i].ID == worker {
			return st.Workers[i].Tasks
		}
	}
	return -1
}

func (s *story) workerFails(ctx context.Context) error {
	task := s.d.watch + "/0"
	e, err := s.fleet.api.ExplainTask(ctx, cfapi.ExplainTaskParams{Task: task})
	if err != nil {
		return cferror.Wrap("explain", KindStory, err)
	}
	worker := e.Task.Worker.Or("")
	s.Printf("\nThe VM of worker %s fails: it runs %s. It must be silent for its whole lease before\nthe task may run elsewhere.\n", worker, task)
	s.fleet.fail(worker)
	began := time.Now()
	err = s.until(ctx, "the watch runs elsewhere", func(ctx context.Context) bool {
		e, err = s.fleet.api.ExplainTask(ctx, cfapi.ExplainTaskParams{Task: task})
		if err != nil {
			return false
		}
		now, ok := e.Task.Worker.Get()
		return ok && now != worker
	})
	if err != nil {
		return err
	}
	s.Printf("After %s:\n", time.Since(began).Round(100*time.Millisecond))
	s.Explanation(e)
	s.call(ctx, 2, s.d.request, s.d.body)
	return nil
}

func (s *story) jobsComplete(ctx context.Context) error {
	err := s.until(ctx, "the job is done", func(ctx context.Context) bool {
		st, err := s.fleet.api.GetStatus(ctx)
		return err == nil && allDone(st, s.d.job)
	})
	if err != nil {
		return err
	}
	st, err := s.fleet.api.GetStatus(ctx)
	if err != nil {
		return cferror.Wrap("status", KindStory, err)
	}
	s.Printf("\nThe job %s is complete, each task once:\n", s.d.job)
	s.Tasks(st.Workloads)
	return nil
}

func allDone(st *cfapi.Status, job string) bool {
	for i := range st.Workloads {
		if st.Workloads[i].Name != job {
			continue
		}
		for j := range st.Workloads[i].Tasks {
			if st.Workloads[i].Tasks[j].Status != "Done" {
				return false
			}
		}
		return true
	}
	return false
}

func (s *story) audit(ctx context.Context) error {
	events, err := s.fleet.api.GetAudit(ctx, cfapi.GetAuditParams{Limit: cfapi.NewOptInt(auditLines)})
	if err != nil {
		return cferror.Wrap("audit", KindStory, err)
	}
	s.Printf("\nThe last %d lines of the audit trail:\n", len(events))
	s.Events(events)
	return nil
}

// auditLines is the number of lines of the audit trail that the demo prints.
const auditLines = 30

// pollPause is the time between two looks at a condition.
const pollPause = 50 * time.Millisecond

func (s *story) until(ctx context.Context, what string, f func(context.Context) bool) error {
	for !f(ctx) {
		select {
		case <-ctx.Done():
			return cferror.New("demo", KindStory, "gave up waiting until %s", what)
		case <-time.After(pollPause):
		}
	}
	return nil
}
