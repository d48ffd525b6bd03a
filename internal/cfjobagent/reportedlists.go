package cfjobagent

import (
	"slices"
	"time"

	"cranberryford/pkg/cfcore"
)

// progressInterval is the minimum time between two reports of run lists that differ only in the progress of
// the runs.
const progressInterval = 200 * time.Millisecond

// percentAtWork is the percentage of a long-running task that is at work.
const percentAtWork = 100

// reportedLists are the run lists in the newest report to the planner that has lists.
type reportedLists struct {
	lists cfcore.RunLists
	// at is when they were reported. It is zero if the planner possibly needs the same lists again.
	at time.Duration
}

// set remembers lists that are reported at a time.
func (r *reportedLists) set(l cfcore.RunLists, at time.Duration) { r.lists, r.at = l, at }

// reset makes the next lists part of a report in any case.
func (r *reportedLists) reset() { r.at = 0 }

// cover reports whether lists differ from those that were just reported only in the progress of the runs.
func (r *reportedLists) cover(l *cfcore.RunLists, now time.Duration) bool {
	return r.at > 0 && now-r.at < progressInterval && l.Born.Equal(r.lists.Born) &&
		l.Incomplete == r.lists.Incomplete && l.LacksEnds == r.lists.LacksEnds && l.MoreEnds == r.lists.MoreEnds &&
		slices.EqualFunc(l.Running, r.lists.Running, isSameRun) &&
		slices.EqualFunc(l.Ended, r.lists.Ended, func(a, b cfcore.EndedTask) bool { return a.Number == b.Number })
}

// isSameRun reports whether two rows show the same run with the same checkpoint, and at work in both or none.
func isSameRun(a, b cfcore.RunningTask) bool {
	return a.Task == b.Task && a.Run == b.Run && a.Checkpoint == b.Checkpoint && (a.Percent >= percentAtWork) == (b.Percent >= percentAtWork)
}
