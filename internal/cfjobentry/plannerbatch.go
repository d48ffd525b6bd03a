package cfjobentry

import (
	"context"
	"slices"
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfdispatch"
	"cranberryford/pkg/cferror"
	"cranberryford/pkg/cfwire"
)

// batchInterval is the minimum time between two appends of records that no caller waits
// for. The platform allows 100 ms between listing the end of a run and acknowledging it.
const batchInterval = 40 * time.Millisecond

// plannerBatch is one append of the planner's records. It is repeated unchanged until its
// outcome is known.
type plannerBatch struct {
	records []cfcore.KeyedRecord
	// progress are those of the records that are also sent to the other entries.
	progress []cfcore.KeyedRecord
	// ends and agents are marked as recorded once the batch is in the store.
	ends     []cfdispatch.EndMark
	agents   []string
	sequence uint64
	inFlight bool
	retryAt  time.Time
}

// stampBits is the number of low bits of a stamp that hold the sequence number. The epoch
// is above them.
const stampBits = 32

// stamp returns the stamp of the progress records in the next batch. It is greater than the
// stamps in all earlier batches, including those of earlier planners.
func (p *planning) stamp() uint64 { return uint64(p.epoch)<<stampBits | p.sequence }

func (b *plannerBatch) has(agent string) bool { return b != nil && slices.Contains(b.agents, agent) }

// recordAgents adds a record for each agent that may get starts. From these records, a later
// planner learns which agents may have runs, and waits for their reports.
func (c *control) recordAgents(now time.Time) {
	for _, agent := range c.plan.UnrecordedAgents() {
		if c.plan.recorded[agent] {
			c.plan.MarkAgentRecorded(agent)
			continue
		}
		r, err := c.codec.Agent(agent, now)
		if err != nil {
			c.Log.Error().Err(err).Str("Agent", agent).Msg("record of a worker cannot be encoded")
			continue
		}
		if slices.Contains(c.plan.recording, agent) || c.plan.pending.has(agent) {
			continue
		}
		c.plan.recording = append(c.plan.recording, agent)
		c.plan.extra = append(c.plan.extra, r)
	}
}

// dropAgent drops the record of an agent whose worker can have no runs any more. A record of
// the agent that is still in flight precedes the drop in the store and no longer counts.
func (c *control) dropAgent(agent string) {
	isAgent := func(a string) bool { return a == agent }
	c.plan.extra = append(c.plan.extra, c.codec.DropAgent(agent))
	c.plan.recording = slices.DeleteFunc(c.plan.recording, isAgent)
	if b := c.plan.pending; b != nil {
		b.agents = slices.DeleteFunc(b.agents, isAgent)
	}
	delete(c.plan.recorded, agent)
}

// appendBatch appends the planner's records to the store. One append is in flight at a
// time.
func (c *control) appendBatch(ctx context.Context, now time.Time) {
	if c.plan.pending == nil {
		c.plan.pending = c.nextBatch(now)
	}
	b := c.plan.pending
	if b == nil || b.inFlight || now.Before(b.retryAt) {
		return
	}
	b.inFlight = true
	epoch := c.plan.epoch
	go func() {
		_, err := c.Store.Append(ctx, c.topic, b.records, cfcore.AppendOptions{
			Producer: &cfcore.Producer{Name: producerName, Epoch: epoch, Sequence: b.sequence},
		})
		c.post(ctx, batchAppended{epoch: epoch, err: err})
	}()
}

// nextBatch returns the next batch. It returns nil if there is nothing to append, or if no
// caller waits for a record and the last batch is not batchInterval old yet.
func (c *control) nextBatch(now time.Time) *plannerBatch {
	if !c.plan.HasUnrecordedOutcome() && now.Sub(c.plan.lastBatchAt) < batchInterval {
		return nil
	}
	c.plan.lastBatchAt = now
	jobs, ends := c.plan.UnrecordedProgress(now, false)
	records := c.plan.extra
	c.plan.extra = nil
	var progress []cfcore.KeyedRecord
	for _, job := range jobs {
		job.Progress.Stamp = c.plan.stamp()
		r, err := c.codec.Progress(job.ID, job.Progress)
		if err != nil {
			c.Log.Error().Err(err).Str("Job", job.ID).Msg("job progress cannot be encoded")
			continue
		}
		progress = append(progress, r)
	}
	records = append(records, progress...)
	if len(records) == 0 {
		c.plan.MarkEndsRecorded(ends)
		return nil
	}
	b := &plannerBatch{records: records, progress: progress, ends: ends, agents: c.plan.recording, sequence: c.plan.sequence}
	c.plan.recording = nil
	c.plan.sequence++
	return b
}

// batchAppended handles the outcome of an append of the planner's records.
func (c *control) batchAppended(ctx context.Context, ev batchAppended) {
	if c.plan == nil || c.plan.epoch != ev.epoch || c.plan.pending == nil {
		return
	}
	b := c.plan.pending
	b.inFlight = false
	switch {
	case ev.err == nil:
		c.plan.MarkEndsRecorded(b.ends)
		for _, agent := range b.agents {
			c.plan.recorded[agent] = true
			c.plan.MarkAgentRecorded(agent)
		}
		c.plan.pending = nil
		c.publish(ctx, b.progress)
	case cferror.Is(ev.err, cfcore.StoreFenced):
		c.Log.Warn().Uint64("Epoch", uint64(ev.epoch)).Msg("no longer the planner: the store has fenced this epoch")
		c.plan = nil
	case cferror.Is(ev.err, cfcore.StoreSequence):
		c.Log.Error().Err(ev.err).Msg("no longer the planner: the store rejected the sequence number of an append")
		c.goneEpoch, c.plan = ev.epoch, nil
	default:
		c.Log.Warn().Err(ev.err).Int("Records", len(b.records)).Msg("planner's records not stored yet; retrying")
		b.retryAt = c.Clock.Now().Add(retryDelay)
	}
}

// publish applies records that are in the store and sends them to the other entries.
// Callers then see an outcome before the entry that they query has read it.
func (c *control) publish(ctx context.Context, records []cfcore.KeyedRecord) {
	if len(records) == 0 {
		return
	}
	for _, r := range records {
		c.apply(ctx, r)
	}
	m := &cfwire.Message{JobRecords: &cfwire.JobRecords{Records: records}}
	for l := range c.links {
		if l.conn.Peer().Role == cfwire.RolePeer {
			c.send(l, m)
		}
	}
}
