package cfjobagent

import (
	"context"
	"time"

	"cranberryford/pkg/cfcore"
)

// answeredCalls tells whether the worker may get starts. Once a call has failed, the worker has possibly
// restarted under its ID, also as another kind, until its present incarnation has answered a call that was
// sent later. Only run lists name the incarnation that has answered.
type answeredCalls struct {
	// failures counts the calls that got no answer.
	failures uint64
	// hasFailed is set while no later call has been answered.
	hasFailed bool
}

// hasFailedCall reports whether the last call to the worker has failed.
func (f *fence) hasFailedCall() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.answered.hasFailed
}

// recordFailure records that a call to an incarnation got no answer.
func (f *fence) recordFailure(incarnation uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if incarnation == f.incarnation {
		f.answered.failures++
		f.answered.hasFailed = true
	}
}

// failureCount returns the number of failed calls, for recordLists.
func (f *fence) failureCount() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.answered.failures
}

// recordLists records the answer to a call for the run lists of an incarnation that was sent after the given number
// of failures. isPresent is set if that incarnation has answered.
func (f *fence) recordLists(incarnation, failures uint64, isPresent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case incarnation != f.incarnation:
	case !isPresent:
		f.answered.failures++
		f.answered.hasFailed = true
	case failures == f.answered.failures:
		f.answered.hasFailed = false
	}
}

// holdCall is a call for the run lists of an incarnation of the worker.
type holdCall struct {
	worker      string
	incarnation uint64
	born        time.Time
	epoch       cfcore.Epoch
}

// present returns a call for the run lists of the present incarnation.
func (c *control) present() holdCall {
	return holdCall{worker: c.worker.ID, incarnation: c.fence.currentIncarnation(), born: c.worker.Born, epoch: c.epoch}
}

// hold requests the run lists. It reports whether an attempt was made.
func (c *control) hold(ctx context.Context, call holdCall, h cfcore.HoldOptions) (lists cfcore.RunLists, token cfcore.FencingToken, isSent bool, err error) {
	var failures uint64
	token, err = c.fence.send(call.worker, call.incarnation, call.epoch, nil, func(o cfcore.Order) (err error) {
		isSent, failures = true, c.fence.failureCount()
		lists, err = c.Executor.Hold(ctx, o, h)
		return err
	})
	if err == nil {
		c.fence.recordLists(call.incarnation, failures, lists.Born.Equal(call.born))
	}
	return lists, token, isSent, err
}

// isUnknown reports whether the present incarnation has not answered a call yet, or has not checked in.
func (c *control) isUnknown() bool { return c.awaitsCheckIn || c.hasAnswered() && !c.isConfirmed() }

// firstError returns first, or err if first is nil.
func firstError(first, err error) error {
	if first != nil {
		return first
	}
	return err
}
