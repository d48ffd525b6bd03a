package cfagent

import (
	"context"
	"sort"
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfwire"
)

// action is one operation to perform on the worker. Exactly one field is set.
type action struct {
	start *cfcore.RunSpec
	stop  cfcore.Assignment
	renew *renewal
	// forget lists ended runs whose results the worker no longer needs to keep.
	forget []cfcore.Assignment
}

// renewal extends the leases of runs. The field leaseUntil is the worker's uptime at which
// the extended leases expire.
type renewal struct {
	leaseUntil time.Duration
	runs       []cfcore.Assignment
}

// The agent stops all runs once the remaining time of the worker's lease is at most
// Lease.Grant/stopMarginDivisor. The runs need this time to write a checkpoint before the
// worker ends them.
const stopMarginDivisor = 8

// reconcile compares the worker's runs with the desired state. It returns the actions that
// bring the runs in line with the desired state. Without a lease, the actions stop all
// active runs.
func (c *control) reconcile() []action {
	var actions []action
	if !c.hasLease() {
		return c.stopAll(actions)
	}
	renew := &renewal{leaseUntil: c.leaseUntil}
	reported := map[cfcore.Assignment]bool{}
	var forget []cfcore.Assignment
	for _, r := range c.vmReport.Runs {
		reported[r.Assignment] = true
		desired, wanted := c.desiredRuns[r.Assignment]
		switch {
		case !wanted && r.State.Ended():
			forget = append(forget, r.Assignment)
		case r.State.Ended():
			// The log does not record the end of the run yet. The worker keeps the
			// result until then.
		case !wanted || (desired.Stop && c.canStop(&desired)):
			actions = append(actions, action{stop: r.Assignment})
		default:
			renew.runs = append(renew.runs, r.Assignment)
		}
	}
	actions = append(actions, c.startActions(reported)...)
	if len(renew.runs) > 0 {
		actions = append([]action{{renew: renew}}, actions...)
	}
	if len(forget) > 0 {
		actions = append(actions, action{forget: forget})
	}
	return actions
}

// canStop reports whether the agent can stop a run now. A run of any class but service can
// stop at once. A service run must wait for Lease.Ask. After that, it can stop when the
// service's targets on this VM have no open calls, or when ShutdownTimeout has passed. Both
// times count from the first call of canStop for the run.
func (c *control) canStop(desired *cfwire.DesiredRun) bool {
	if desired.Workload.Class != cfcore.ClassService {
		return true
	}
	waitingSince, ok := c.callsAwaitedSince[desired.Assignment]
	if !ok {
		waitingSince = c.Clock.Now()
		c.callsAwaitedSince[desired.Assignment] = waitingSince
	}
	waited := c.Clock.Since(waitingSince)
	if waited < c.cfg.Lease.Ask {
		// Before Lease.Ask has passed, some entries possibly do not know that the targets
		// are draining, and calls from these entries can still arrive.
		return false
	}
	return c.targets.openCallsOf(desired.Workload.Name) == 0 || waited >= c.cfg.ShutdownTimeout
}

// hasLease reports whether the worker's lease lasts long enough for its runs to go on, see
// stopMarginDivisor. A fenced worker has no lease.
func (c *control) hasLease() bool {
	remaining := c.leaseUntil - c.vmReport.Uptime
	return !c.fenced && remaining > c.cfg.Lease.Grant/stopMarginDivisor
}

// stopAll appends one stop action for each active run, and returns the extended slice.
func (c *control) stopAll(actions []action) []action {
	for _, r := range c.vmReport.Runs {
		if !r.State.Ended() {
			actions = append(actions, action{stop: r.Assignment})
		}
	}
	return actions
}

// startActions returns the actions that start missing runs, in the order of their
// assignments. reported holds the assignments whose runs the worker already has. A run
// that should stop before it has started is recorded as stopped.
func (c *control) startActions(reported map[cfcore.Assignment]bool) []action {
	var actions []action
	for _, desired := range sortedByAssignment(c.desiredRuns) {
		if desired.Instance != c.vmReport.Instance {
			continue // The run was assigned to an earlier instance of the VM.
		}
		if reported[desired.Assignment] || c.unstarted[desired.Assignment].State != "" {
			continue
		}
		if desired.Stop {
			c.unstarted[desired.Assignment] = cfcore.Run{
				Assignment: desired.Assignment, Task: desired.Task, State: cfcore.RunStopped,
				Checkpoint: desired.Checkpoint, Reason: "stopped before it started",
			}
			continue
		}
		actions = append(actions, action{start: &cfcore.RunSpec{
			Assignment: desired.Assignment, Task: desired.Task, Workload: desired.Workload,
			Checkpoint: desired.Checkpoint, Until: c.leaseUntil,
		}})
	}
	return actions
}

// sortedByAssignment returns the runs in the order of their assignments.
func sortedByAssignment(runs map[cfcore.Assignment]cfwire.DesiredRun) []cfwire.DesiredRun {
	out := make([]cfwire.DesiredRun, 0, len(runs))
	for _, run := range runs {
		out = append(out, run)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Assignment < out[j].Assignment })
	return out
}

// vmLoop polls the worker and performs the resulting actions until ctx is done.
func (a *Agent) vmLoop(ctx context.Context) error {
	tick := a.Clock.NewTicker(a.cfg.VMPoll)
	defer tick.Stop()
	for {
		if acted := a.vmStep(ctx); acted {
			continue // The next report shows the effect of the actions.
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.Chan():
		case <-a.pollVM:
		}
	}
}

// vmStep polls the worker once and performs the resulting actions. It returns true if all
// actions succeeded and at least one of them started or stopped a run, see performActions.
// Otherwise it returns false, also if the worker sends no report or ctx is done first.
func (a *Agent) vmStep(ctx context.Context) bool {
	r, err := a.vm.Report(ctx)
	if err != nil {
		a.Scope.Counter("vm_errors").Inc(1)
		return false
	}
	reply := make(chan []action, 1)
	a.enqueue(ctx, vmReported{report: r, reply: reply})
	select {
	case actions := <-reply:
		return a.performActions(ctx, actions)
	case <-ctx.Done():
		return false
	}
}

// performActions performs actions until one fails. It reports whether all succeeded and a
// run was started or stopped. A start that the worker refuses counts as a start.
func (a *Agent) performActions(ctx context.Context, actions []action) bool {
	acted := false
	for _, x := range actions {
		var err error
		switch {
		case x.renew != nil:
			err = a.vm.Renew(ctx, x.renew.leaseUntil, x.renew.runs)
		case x.start != nil:
			acted = true
			err = a.startRun(ctx, x.start)
		case x.stop != 0:
			err = a.vm.Stop(ctx, x.stop)
			acted = err == nil
		case x.forget != nil:
			err = a.vm.Forget(ctx, x.forget)
		}
		if err != nil {
			a.Scope.Counter("vm_errors").Inc(1)
			return false
		}
	}
	return acted
}

// startRun starts a run. If the worker refuses to start the run, the run is recorded as
// failed. After any other error, only the worker's next report shows whether the run has
// started.
func (a *Agent) startRun(ctx context.Context, spec *cfcore.RunSpec) error {
	err := a.vm.Start(ctx, *spec)
	if err != nil && refusedByVM(err) {
		a.enqueue(ctx, startFailed{assignment: spec.Assignment, task: spec.Task, reason: err.Error()})
		return nil
	}
	return err
}
