package cfjobentry

import (
	"context"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfjob"
)

// resignations holds this entry's resignation until it is in the store.
type resignations struct {
	// unrecorded has epoch 0 if there is none.
	unrecorded cfjob.Resignation
	inFlight   bool
}

// resignationRecorded is the outcome of an append of this entry's resignation from an epoch.
type resignationRecorded struct {
	epoch cfcore.Epoch
	err   error
}

func (resignationRecorded) isEvent() {}

// recordResignation appends this entry's resignation to the store. An entry that starts later, and reaches no
// other one, then claims without a wait.
func (c *control) recordResignation(ctx context.Context) {
	u := &c.resignations
	if u.unrecorded.Epoch == 0 || u.inFlight || c.bootTime() < c.noResignationBefore {
		return
	}
	r, err := c.codec.Resignation(&u.unrecorded)
	if err != nil {
		c.Log.Error().Err(err).Msg("resignation cannot be encoded; not recording it")
		u.unrecorded = cfjob.Resignation{}
		return
	}
	u.inFlight = true
	epoch := u.unrecorded.Epoch
	go func() { c.post(ctx, resignationRecorded{epoch: epoch, err: c.submissions.add(ctx, r)}) }()
}

// handleResignationRecorded handles the outcome of an append of this entry's resignation.
func (c *control) handleResignationRecorded(ev resignationRecorded) {
	u := &c.resignations
	u.inFlight = false
	switch {
	case ev.err != nil:
		c.Log.Warn().Err(ev.err).Uint64("Epoch", uint64(ev.epoch)).Msg("append of a resignation was rejected, or its outcome is unknown; retrying")
		c.noResignationBefore = c.bootTime() + retryDelay
	case u.unrecorded.Epoch == ev.epoch:
		c.Log.Info().Uint64("Epoch", uint64(ev.epoch)).Msg("resignation recorded")
		u.unrecorded = cfjob.Resignation{}
	}
}

// markResigned handles a resignation in the store.
func (c *control) markResigned() { c.markPlannerGone(c.stored.Resigned.Epoch) }
