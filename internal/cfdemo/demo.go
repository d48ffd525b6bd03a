// Package cfdemo runs two sample deployments in one process on loopback, with fakes of the
// platform. It prints how they carry out plans, answer calls, drain a worker and fail over.
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

// Kind says what failed in a demo.
type Kind string

const (
	// KindStart is a deployment that fails to start, or a sample intent that cannot be read.
	KindStart Kind = "deployment failed"
	// KindStep is a step of the demo that fails or times out.
	KindStep Kind = "step failed"
)

// Error is the error type of this package.
type Error = cferror.Error[Kind]

// deployment describes one of the two sample deployments.
type deployment struct {
	title string
	// name is the folder of the deployment's files in samples.
	name        string
	dataCentres []string
	service     string
	// path and body are the URL path and the body of a call to the service.
	path string
	body string
	// job and watch are the names of a workload of class Batch and one of class Watch in the
	// sample intent.
	job   string
	watch string
}

var deployments = [...]deployment{
	{
		title: "Granite Spring Fountain Care Franchising", name: "granite-spring",
		dataCentres: []string{"north-shore", "merrimack", "seacoast"},
		service:     "dispatch", path: "/dispatch/bookings", body: "filter check, gym, fountain 7",
		job: "route-plan", watch: "fountain-watch",
	},
	{
		title: "Kelaniya Municipal Public Notice Authority", name: "kelaniya",
		dataCentres: []string{"colombo-north", "kelaniya-central", "gampaha-south"},
		service:     "crier-hub", path: "/crier-hub/notices", body: "ward 3: water cut at noon",
		job: "bulletin", watch: "flood-relay",
	},
}

// stepTimeout is the timeout for the wait until a deployment is ready, and for each step.
const stepTimeout = 10 * time.Second

// Run runs the demo on one deployment after the other and prints the results.
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

// runDeployment starts a deployment, runs all steps of the demo on it, and stops it.
func runDeployment(ctx context.Context, p *cfprint.Printer, spec deployment) error {
	f, cleanup, err := startFleet(ctx, spec)
	if err != nil {
		return err
	}
	defer cleanup()
	s := &scenario{Printer: p, fleet: f, spec: spec}
	for _, step := range []func(context.Context) error{
		s.applySampleIntent, s.sendCalls, s.drainWorker, s.failWorker, s.awaitJob, s.printAudit,
	} {
		stepCtx, cancel := context.WithTimeout(ctx, stepTimeout)
		err := step(stepCtx)
		cancel()
		if err = errors.CombineErrors(err, f.firstError()); err != nil {
			return err
		}
	}
	return nil
}

// scenario runs the demo's steps on one deployment and prints their results.
type scenario struct {
	*cfprint.Printer
	fleet *fleet
	spec  deployment
}

// applySampleIntent prints the sample intent, plans it and confirms the plan.
func (s *scenario) applySampleIntent(ctx context.Context) error {
	in, text, err := sampleIntent(s.spec.name)
	if err != nil {
		return err
	}
	s.Printf("The operator's intent (samples/%s/intent.jsonc):\n%s\n", s.spec.name, text)
	return s.planAndConfirm(ctx, in)
}

// planAndConfirm makes and prints the plan for an intent, and confirms the plan.
func (s *scenario) planAndConfirm(ctx context.Context, in *cfapi.Intent) error {
	plan, err := s.fleet.api.MakePlan(ctx, in)
	if err != nil {
		return cferror.Wrap("make a plan", KindStep, err)
	}
	s.Plan(plan)
	c, err := s.fleet.api.ConfirmPlan(ctx, cfapi.ConfirmPlanParams{Plan: plan.ID})
	if err != nil {
		return cferror.Wrap("confirm the plan", KindStep, err)
	}
	s.Printf("The operator confirms. ")
	s.Confirmation(c)
	return nil
}

// sendCalls waits for all targets. It then sends one call through each entry and one call to
// an unknown service.
func (s *scenario) sendCalls(ctx context.Context) error {
	if err := s.waitUntil(ctx, "all targets have announced themselves", s.hasAllTargets); err != nil {
		return err
	}
	st, err := s.fleet.api.GetStatus(ctx)
	if err != nil {
		return cferror.Wrap("get the status", KindStep, err)
	}
	s.Printf("\nWhat runs where:\n")
	s.Status(st)
	s.Printf("\nCalls: one through each entry, then one to a service that does not exist:\n")
	for i := range s.fleet.callerAddrs {
		s.sendCall(ctx, i, s.spec.path, s.spec.body)
	}
	s.sendCall(ctx, 0, "/no-such-service/", "")
	return nil
}

// sendCall sends one call through an entry and prints the response.
func (s *scenario) sendCall(ctx context.Context, entry int, path, body string) {
	r := s.fleet.call(ctx, entry, path, body)
	s.Printf("  POST %-20s -> %d, %s, %q from %s in %s\n", path, r.status, r.verdict, r.body, r.target, r.took.Round(100*time.Microsecond))
}

// hasAllTargets reports whether the status lists as many targets as the deployment has VMs. In
// each sample intent, the service has one replica for each VM, and each replica has one target.
func (s *scenario) hasAllTargets(ctx context.Context) bool {
	st, err := s.fleet.api.GetStatus(ctx)
	if err != nil {
		return false
	}
	n := 0
	for i := range st.Workers {
		n += len(st.Workers[i].Targets)
	}
	return n == len(s.fleet.vms)
}

// drainWorker drains a worker, waits until it has no tasks and sends a call, which another
// worker answers.
func (s *scenario) drainWorker(ctx context.Context) error {
	worker := s.fleet.vms[0].name
	s.Printf("\nA target leaves: the operator drains worker %s.\n", worker)
	if err := s.planAndConfirm(ctx, &cfapi.Intent{Drain: []string{worker}}); err != nil {
		return err
	}
	err := s.waitUntil(ctx, "the drained worker has no tasks", func(ctx context.Context) bool {
		st, err := s.fleet.api.GetStatus(ctx)
		return err == nil && st.Workers != nil && countTasks(st, worker) == 0
	})
	if err != nil {
		return err
	}
	s.Printf("Worker %s has no tasks left. Other workers answer the calls:\n", worker)
	s.sendCall(ctx, 1, s.spec.path, s.spec.body)
	return nil
}

// countTasks returns the number of tasks on a worker, or -1 for an unknown worker.
func countTasks(st *cfapi.Status, worker string) int {
	for i := range st.Workers {
		if st.Workers[i].ID == worker {
			return st.Workers[i].Tasks
		}
	}
	return -1
}

// failWorker stops the VM that runs the watch and waits until the watch is assigned to
// another worker.
func (s *scenario) failWorker(ctx context.Context) error {
	task := s.spec.watch + "/0"
	e, err := s.fleet.api.ExplainTask(ctx, cfapi.ExplainTaskParams{Task: task})
	if err != nil {
		return cferror.Wrap("explain the watch's task", KindStep, err)
	}
	worker := e.Task.Worker.Or("")
	s.Printf("\nThe VM of worker %s fails. It runs %s. The task may run elsewhere only after\nthe worker's lease has expired.\n", worker, task)
	s.fleet.stopVM(worker)
	start := time.Now()
	err = s.waitUntil(ctx, "the watch runs on another worker", func(ctx context.Context) bool {
		e, err = s.fleet.api.ExplainTask(ctx, cfapi.ExplainTaskParams{Task: task})
		if err != nil {
			return false
		}
		current, ok := e.Task.Worker.Get()
		return ok && current != worker
	})
	if err != nil {
		return err
	}
	s.Printf("After %s:\n", time.Since(start).Round(100*time.Millisecond))
	s.Explanation(e)
	s.sendCall(ctx, 2, s.spec.path, s.spec.body)
	return nil
}

// awaitJob waits until all tasks of the job are done and prints them.
func (s *scenario) awaitJob(ctx context.Context) error {
	err := s.waitUntil(ctx, "the job is done", func(ctx context.Context) bool {
		st, err := s.fleet.api.GetStatus(ctx)
		return err == nil && isJobDone(st, s.spec.job)
	})
	if err != nil {
		return err
	}
	st, err := s.fleet.api.GetStatus(ctx)
	if err != nil {
		return cferror.Wrap("get the status", KindStep, err)
	}
	s.Printf("\nThe job %s is complete; each task completed once:\n", s.spec.job)
	s.Tasks(st.Workloads)
	return nil
}

// isJobDone reports whether the status lists the job with all its tasks done.
func isJobDone(st *cfapi.Status, job string) bool {
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

// printAudit prints the end of the audit trail.
func (s *scenario) printAudit(ctx context.Context) error {
	events, err := s.fleet.api.GetAudit(ctx, cfapi.GetAuditParams{Limit: cfapi.NewOptInt(auditLines)})
	if err != nil {
		return cferror.Wrap("read the audit trail", KindStep, err)
	}
	s.Printf("\nThe last %d lines of the audit trail:\n", len(events))
	s.Events(events)
	return nil
}

// auditLines is the maximum number of audit events that the demo prints.
const auditLines = 30

// pollInterval is the interval at which the demo checks a condition that it waits for.
const pollInterval = 50 * time.Millisecond

// waitUntil calls the function holds at intervals until the function returns true. If ctx ends
// first, waitUntil returns an error. The parameter condition is a text for this error. It
// describes what the function checks.
func (s *scenario) waitUntil(ctx context.Context, condition string, holds func(context.Context) bool) error {
	for !holds(ctx) {
		select {
		case <-ctx.Done():
			return cferror.New("wait for a condition", KindStep, "timed out before %s", condition)
		case <-time.After(pollInterval):
		}
	}
	return nil
}
