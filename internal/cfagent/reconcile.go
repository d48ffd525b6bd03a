package cfagent

import (
	"context"
	"sort"
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfwire"
)

// action is one thing to do at the worker. Exactly one field is set.
type action struct {
	start  *cfcore.RunSpec
	stop   cfcore.Assignment
	renew  *renewal
	forget []cfcore.Assignment
}

type renewal struct {
	until time.Duration
	runs  []cfcore.Assignment
}

// graceShare is the part of a grant before whose end runs are stopped, so that
// they can make a checkpoint before the worker ends them.
const graceShare = 8

// reconcile compares what runs with what should run and returns what to do.
func (c *control) reconcile() []action {
	var out []action
	if !c.hasLease() {
		return c.stopAll(out)
	}
	renew := &renewal{until: c.until}
	known := map[cfcore.Assignment]bool{}
	var forget []cfcore.Assignment
	for _, r := range c.report.Runs {
		known[r.Assignment] = true
		it, wanted := c.items[r.Assignment]
		switch {
		case !wanted && r.State.Ended():
			forget = append(forget, r.Assignment)
		case r.State.Ended():
		case !wanted || (it.Stop && c.drained(&it)):
			out = append(out, action{stop: r.Assignment})
		default:
			renew.runs = append(renew.runs, r.Assignment)
		}
	}
	out = append(out, c.starts(known)...)
	if len(renew.runs) > 0 {
		out = append([]action{{renew: renew}}, out...)
	}
	if len(forget) > 0 {
		out = append(out, action{forget: forget})
	}
	return out
}

// drained reports whether a run that should stop may: a service's run only when
// its targets on this VM have no calls left, or have had time enough.
func (c *control) drained(it *cfwire.Item) bool {
	if it.Workload.Class != cfcore.ClassService {
		return true
	}
	since, ok := c.stopSince[it.Assignment]
	if !ok {
		since = c.Clock.Now()
		c.stopSince[it.Assignment] = since
	}
	waited := c.Clock.Since(since)
	if waited < c.cfg.Lease.Ask {
		// Calls that were sent before the entries hear of it are still on their way.
		return false
	}
	return c.targets.openOf(it.Workload.Name) == 0 || waited >= c.cfg.ShutdownTimeout
}

// hasLease reports whether enough lease time is left to run anything.
func (c *control) hasLease() bool {
	left := c.until - c.report.Uptime
	return !c.barred && left > c.cfg.Lease.Grant/graceShare
}

func (c *control) stopAll(out []action) []action {
	for _, r := range c.report.Runs {
		if !r.State.Ended() {
			out = append(out, action{stop: r.Assignment})
		}
	}
	return out
}

// starts returns the runs to start, in the order of their numbers. A run that
// should stop before it has started is reported as stopped.
func (c *control) starts(known map[cfcore.Assignment]bool) []action {
	var out []action
	for _, it := range sortedItems(c.items) {
		if it.Instance != c.report.Instance {
			continue // The run was for the VM before this one.
		}
		if known[it.Assignment] || c.refused[it.Assignment].State != "" {
			continue
		}
		if it.Stop {
			c.refused[it.Assignment] = cfcore.Run{
				Assignment: it.Assignment, Task: it.Task, State: cfcore.RunStopped,
				Checkpoint: it.Checkpoint, Reason: "stopped before it started",
			}
			continue
		}
		out = append(out, action{start: &cfcore.RunSpec{
			Assignment: it.Assignment, Task: it.Task, Workload: it.Workload,
			Checkpoint: it.Checkpoint, Until: c.until,
		}})
	}
	return out
}

func sortedItems(m map[cfcore.Assignment]cfwire.Item) []cfwire.Item {
	out := make([]cfwire.Item, 0, len(m))
	for _, it := range m {
		out = append(out, it)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Assignment < out[j].Assignment })
	return out
}

// vmLoop asks the worker for its state and does what the control answers.
func (a *Agent) vmLoop(ctx context.Context) error {
	tick := a.Clock.NewTicker(a.cfg.VMPoll)
	defer tick.Stop()
	for {
		if acted := a.vmStep(ctx); acted {
			continue // What was done shows in the next report.
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.Chan():
		case <-a.kick:
		}
	}
}

// vmStep takes one report and reports whether something was started or stopped.
func (a *Agent) vmStep(ctx context.Context) bool {
	r, err := a.vm.Report(ctx)
	if err != nil {
		a.Scope.Counter("vm_errors").Inc(1)
		return false
	}
	reply := make(chan []action, 1)
	a.tell(ctx, vmReported{report: r, reply: reply})
	select {
	case actions := <-reply:
		return a.act(ctx, actions)
	case <-ctx.Done():
		return false
	}
}

func (a *Agent) act(ctx context.Context, actions []action) bool {
	acted := false
	for _, x := range actions {
		var err error
		switch {
		case x.renew != nil:
			err = a.vm.Renew(ctx, x.renew.until, x.renew.runs)
		case x.start != nil:
			acted = true
			err = a.start(ctx, x.start)
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

// start starts a run. A worker that refuses it has not started it; a worker that
// gave no answer may have, and the next report tells.
func (a *Agent) start(ctx context.Context, spec *cfcore.RunSpec) error {
	err := a.vm.Start(ctx, *spec)
	if err != nil && refusedByVM(err) {
		a.tell(ctx, startFailed{assignment: spec.Assignment, task: spec.Task, reason: err.Error()})
		return nil
	}
	return err
}
