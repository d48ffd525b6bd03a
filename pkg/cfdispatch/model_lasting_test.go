package cfdispatch_test

import "cranberryford/pkg/cfcore"

// The scopes in which some tasks last until their jobs are cancelled, which none are.
var (
	lasting           = modelScope{slowClocks: true, lasting: true, lateStarts: true, lateStops: true, lateHolds: true, workerRestarts: true}
	lastingAndFull    = modelScope{slowClocks: true, lasting: true, room: true, lateStarts: true, lateStops: true, workerRestarts: true}
	lastingAndDrains  = modelScope{slowClocks: true, lasting: true, drains: true, flaps: true, lateStarts: true, lateStops: true, lateHolds: true, workerRestarts: true, agentRestarts: true}
	lastingAndCuts    = modelScope{slowClocks: true, lasting: true, workerCuts: true, oneWayCuts: true, fewTakeovers: true, lateStarts: true, lateStops: true, lateHolds: true, workerRestarts: true}
	lastingAndLosses  = modelScope{slowClocks: true, lasting: true, losses: true, fewTakeovers: true, lateStarts: true, lateStops: true, lateHolds: true, workerRestarts: true, lateStore: true}
	lastingAndNewIDs  = modelScope{slowClocks: true, lasting: true, newIDs: true, flaps: true, leaves: true, drains: true, lateStarts: true, lateStops: true, lateHolds: true, workerRestarts: true, agentRestarts: true, workerCuts: true}
	lastingAndFormer  = modelScope{slowClocks: true, lasting: true, clockSteps: true, formerCheckIns: true, lateGoodbyes: true, lateStarts: true, lateStops: true, lateHolds: true, workerRestarts: true, agentRestarts: true, fewTakeovers: true}
	lastingAndMessage = modelScope{slowClocks: true, lasting: true, heldOrders: true, lateReports: true, pausedPlanners: true, agentRestarts: true, lateStarts: true, workerCuts: true, workerRestarts: true}
	lastingScopes     = map[string]modelScope{
		"lasting": lasting, "lastingAndFull": lastingAndFull, "lastingAndDrains": lastingAndDrains, "lastingAndCuts": lastingAndCuts, "lastingAndLosses": lastingAndLosses,
		"lastingAndNewIDs": lastingAndNewIDs, "lastingAndFormer": lastingAndFormer, "lastingAndMessages": lastingAndMessage,
	}
)

// startupTicks is how long a task that lasts is not at work after its start.
const startupTicks = 5

// percent returns the progress that a worker lists for a run.
func (w *modelWorker) percent(n cfcore.TaskName, r *modelRun) int {
	if w.m.step(n).LongRunning {
		return min(100, 100*r.ticks/startupTicks)
	}
	return 100 * r.ticks / w.m.taskTicks[n.Job]
}
