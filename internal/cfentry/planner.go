package cfentry

import (
	"time"

	"github.com/google/uuid"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfrecord"
	"cranberryford/pkg/cfstate"
)

// joinPause is the minimum time between two requests to become a member.
const joinPause = 2 * time.Second

// requestMembership submits a record that makes this entry a candidate for membership, at
// most once per joinPause. It does nothing if this entry is already a member or a
// candidate, has no state, cannot read the log, or is shutting down.
func (c *control) requestMembership() {
	s := c.state()
	if s == nil || !c.logHealthy || c.leaving.Load() || s.IsMember(c.id) || c.isCandidate() {
		return
	}
	if c.Clock.Since(c.joinAttemptAt) < joinPause {
		return
	}
	c.joinAttemptAt = c.Clock.Now()
	c.submit(&submission{records: []cfrecord.Record{{Candidate: &cfrecord.Candidate{Member: cfrecord.Member{
		Entry: c.id, Peer: c.Advertised(), DataCentre: c.cfg.DataCentre,
	}}}}})
}

// isCandidate reports whether this entry is a candidate for membership. The state must not
// be nil.
func (c *control) isCandidate() bool {
	for _, m := range c.state().Candidates {
		if m.Entry == c.id {
			return true
		}
	}
	return false
}

// claimRank returns the rank of this entry. The higher the rank, the longer the entry waits
// before it claims an epoch, see claimEpoch. The different waiting times make it rare that
// two entries claim the same epoch. The rank of a member is its index in the list of
// members. Other entries draw a random rank above those of the members.
func (c *control) claimRank() int {
	s := c.state()
	for i, m := range s.Members {
		if m.Entry == c.id {
			return i
		}
	}
	return len(s.Members) + c.rand.IntN(3)
}

// planOrClaim makes the planner's next decision if this entry is the planner. Otherwise
// it claims the next epoch if the current planner has been silent for too long. It does
// neither while the state is not current, decisionPending is set, or this entry is shutting
// down.
func (c *control) planOrClaim() {
	s := c.state()
	if s == nil || !c.logHealthy || !c.reader.IsCurrent() || c.decisionPending || c.leaving.Load() {
		return
	}
	if s.Planner != c.id {
		c.claimEpoch()
		return
	}
	c.setPlanning(true)
	startedAt := c.Clock.Now()
	records := c.planner.Decide(c.plannerInput())
	c.Scope.Timer("decide").Record(c.Clock.Since(startedAt))
	if len(records) == 0 {
		return
	}
	c.decisionPending = true
	c.submit(&submission{records: records, fromPlanner: true})
}

// claimEpoch claims the next epoch once a waiting time has passed since plannerSeenAt. The
// waiting time is the entry's rank times Lease.Poll. For every epoch but the first,
// PlannerSilence is added. If several entries claim an epoch, the state machine accepts only
// the first claim.
func (c *control) claimEpoch() {
	s := c.state()
	wait := time.Duration(c.claimRank()) * c.cfg.Lease.Poll
	if s.Epoch > 0 {
		wait += c.cfg.Planner.PlannerSilence
	}
	if c.Clock.Since(c.plannerSeenAt) < wait {
		return
	}
	c.decisionPending = true
	c.submit(&submission{fromPlanner: true, records: []cfrecord.Record{{Claim: &cfrecord.Claim{
		Epoch: s.Epoch + 1, Entry: c.id,
	}}}})
}

// snapshotMayExpire reports whether a burst of records could push this entry's newest
// snapshot out of the log before the next one is due. This counts as possible if two
// conditions hold: the log has already dropped entries, and the offset of the snapshot's
// state is not in the newer half of the log that is left.
func (c *control) snapshotMayExpire() bool {
	if c.firstLogOffset <= 1 || c.state().Offset < c.firstLogOffset {
		return false
	}
	retained := c.state().Offset - c.firstLogOffset
	return c.snapshotOffset < c.firstLogOffset+retained/2
}

// writeSnapshot submits a snapshot of the state if this entry is the planner and needs a
// new snapshot. It needs one if its last snapshot is too old, is followed by too many log
// entries, or is close to removal by the log's retention.
func (c *control) writeSnapshot() {
	s := c.state()
	if s == nil || !c.planning || !c.logHealthy {
		return
	}
	isOld := c.Clock.Since(c.snapshotWrittenAt) >= c.cfg.Planner.SnapshotAge
	tooManyEntries := s.Offset >= c.snapshotOffset+cfcore.Offset(c.cfg.Planner.SnapshotEvery)
	if !isOld && !tooManyEntries && !c.snapshotMayExpire() {
		return
	}
	data, err := s.Encode(c.Codec)
	if err != nil {
		c.Log.Error().Err(err).Msg("cannot encode the state; no snapshot is written")
		return
	}
	c.snapshotOffset, c.snapshotWrittenAt = s.Offset, c.Clock.Now()
	c.Scope.Counter("snapshots").Inc(1)
	c.Scope.Gauge("snapshot_bytes").Update(float64(len(data)))
	for _, r := range cfstate.SplitSnapshot(cfrecord.BatchID(uuid.New()), s.Offset, data) {
		c.submit(&submission{records: []cfrecord.Record{r}, snapshotBytes: len(r.Snapshot.Data)})
	}
}
