package cfentry

import (
	"time"

	"github.com/google/uuid"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cffold"
	"cranberryford/pkg/cfrecord"
)

// joinPause is the time between two attempts to become a member.
const joinPause = 2 * time.Second

// join asks for membership until the log names this entry.
func (c *control) join() {
	s := c.state()
	if s == nil || !c.logHealthy || c.leaving.Load() || s.IsMember(c.id) || c.isCandidate() {
		return
	}
	if c.Clock.Since(c.joinedAt) < joinPause {
		return
	}
	c.joinedAt = c.Clock.Now()
	c.submit(&submission{records: []cfrecord.Record{{Candidate: &cfrecord.Candidate{Member: cfrecord.Member{
		Entry: c.id, Peer: c.Advertised(), DataCentre: c.cfg.DataCentre,
	}}}}})
}

func (c *control) isCandidate() bool {
	for _, m := range c.state().Candidates {
		if m.Entry == c.id {
			return true
		}
	}
	return false
}

// rank spreads the entries' claims in time, so that seldom two claim at once.
func (c *control) rank() int {
	s := c.state()
	for i, m := range s.Members {
		if m.Entry == c.id {
			return i
		}
	}
	return len(s.Members) + c.rand.IntN(3)
}

// plan makes this entry the planner where there is none, and decides where it is.
func (c *control) plan() {
	s := c.state()
	if s == nil || !c.logHealthy || !c.reader.Current() || c.plannerBusy || c.leaving.Load() {
		return
	}
	if s.Planner != c.id {
		c.claim()
		return
	}
	c.setPlanning(true)
	began := c.Clock.Now()
	records := c.planner.Decide(c.input())
	c.Scope.Timer("decide").Record(c.Clock.Since(began))
	if len(records) == 0 {
		return
	}
	c.plannerBusy = true
	c.submit(&submission{records: records, planner: true})
}

// claim claims the next epoch where the planner has been silent for long. The
// fold lets one claim win.
func (c *control) claim() {
	s := c.state()
	wait := time.Duration(c.rank()) * c.cfg.Lease.Poll
	if s.Epoch > 0 {
		wait += c.cfg.Planner.PlannerSilence
	}
	if c.Clock.Since(c.plannerHeard) < wait {
		return
	}
	c.plannerBusy = true
	c.submit(&submission{planner: true, records: []cfrecord.Record{{Claim: &cfrecord.Claim{
		Epoch: s.Epoch + 1, Entry: c.id,
	}}}})
}

// snapshotExpires reports whether the newest snapshot is in the older half of what
// the log keeps: a burst of records may push it out before the next one is due.
func (c *control) snapshotExpires() bool {
	if c.logFirst <= 1 || c.state().Offset < c.logFirst {
		return false
	}
	kept := c.state().Offset - c.logFirst
	return c.snapshotAt < c.logFirst+kept/2
}

// snapshot writes the state to the log, well inside the log's retention.
func (c *control) snapshot() {
	s := c.state()
	if s == nil || !c.planning || !c.logHealthy {
		return
	}
	old := c.Clock.Since(c.snapshotTime) >= c.cfg.Planner.SnapshotAge
	many := s.Offset >= c.snapshotAt+cfcore.Offset(c.cfg.Planner.SnapshotEvery)
	if !old && !many && !c.snapshotExpires() {
		return
	}
	data, err := s.Encode(c.Codec)
	if err != nil {
		c.Log.Error().Err(err).Msg("state cannot be encoded")
		return
	}
	c.snapshotAt, c.snapshotTime = s.Offset, c.Clock.Now()
	c.Scope.Counter("snapshots").Inc(1)
	c.Scope.Gauge("snapshot_bytes").Update(float64(len(data)))
	for _, r := range cffold.Split(cfrecord.BatchID(uuid.New()), s.Offset, data) {
		c.submit(&submission{records: []cfrecord.Record{r}, bytes: len(r.Snapshot.Data)})
	}
}
