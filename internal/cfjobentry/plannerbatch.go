package cfjobentry

import (
	"context"
	"maps"
	"slices"
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfdispatch"
	"cranberryford/pkg/cferror"
	"cranberryford/pkg/cfjob"
	"cranberryford/pkg/cfwire"
)

// batchInterval is the minimum time between two appends of records that no caller waits
// for. The end of a run is acknowledged to the worker only after the end has been recorded.
// The platform allows 100 ms for the acknowledgement, counted from when the worker lists
// the end.
const batchInterval = 40 * time.Millisecond

// markInterval is the time between two records that say that the records of agents are complete, see
// cfdispatch.RecordsValidFor.
const markInterval = time.Second

// maxRecordBytes bounds the value of a record. The platform allows 256 KiB for a record.
const maxRecordBytes = 250 << 10

// plannerBatch is one append of the planner's records. It is repeated unchanged until its
// outcome is known.
type plannerBatch struct {
	records []cfcore.KeyedRecord
	// progress are the records of part 0 of jobs' progress among records. They are also sent to
	// the other entries, which need no other parts while this entry is the planner.
	progress []cfcore.KeyedRecord
	// Each worker numbers its ended runs. ends holds, for workers, the number up to which
	// the ended runs are recorded once the batch is in the store. agents are the agents
	// whose records the batch contains. Both are marked as recorded once the batch is in
	// the store. returned are the agents whose records of absences the batch deletes.
	ends     []cfdispatch.EndedRunsPosition
	agents   []string
	returned []string
	// sequence is the producer's sequence number of the append.
	sequence uint64
	// inFlight is set while the append is in flight. After a failed attempt, the next
	// attempt starts no earlier than retryAt.
	inFlight bool
	retryAt  time.Time
}

// The low stampBits bits of a stamp hold the sequence number of the batch. The bits above
// them hold the planner's epoch. Stamps show which of two progress records of a job is
// newer.
const stampBits = 32

// stamp returns the stamp of the progress records in the next batch. It is greater than the
// stamps in all earlier batches, including those of earlier planners.
func (p *planning) stamp() uint64 { return uint64(p.epoch)<<stampBits | p.sequence }

// hasAgent reports whether the batch contains the record of an agent. b can be nil.
func (b *plannerBatch) hasAgent(agent string) bool {
	return b != nil && slices.Contains(b.agents, agent)
}

// recordAgents adds records of the unrecorded agents to the next batch. An agent gets no
// starts before its record is in the store. From these records, a later planner learns
// which agents it must wait for: those whose workers can have runs.
func (c *control) recordAgents(now time.Time) {
	for _, agent := range c.plan.UnrecordedAgents() {
		if c.plan.recordedAgents[agent] {
			c.plan.MarkAgentRecorded(agent)
			continue
		}
		r, err := c.codec.Agent(agent, now)
		if err != nil {
			c.Log.Error().Err(err).Str("Agent", agent).Msg("record of an agent cannot be encoded; the agent gets no starts yet")
			continue
		}
		if slices.Contains(c.plan.recordingAgents, agent) || c.plan.pendingBatch.hasAgent(agent) {
			continue
		}
		c.plan.recordingAgents = append(c.plan.recordingAgents, agent)
		c.plan.extraRecords = append(c.plan.extraRecords, r)
	}
	c.recordLateStarts(now)
	c.recordAbsences(now)
	c.recordClock(now)
}

// recordLateStarts records which agents have late starts, by the zero time. A later planner then
// waits until these can be executed no more if it finds another instance of the agent.
func (c *control) recordLateStarts(now time.Time) {
	for _, a := range c.plan.TakeAgentRecords(now) {
		c.Log.Info().Str("Agent", a.Agent).Bool("HasLateStarts", a.HasLateStarts).Uint64("Epoch", uint64(c.plan.epoch)).Msg("record of an agent changes: its worker can, or can no longer, execute starts that got no answer")
		c.Scope.Counter("agents_late_recorded").Inc(1)
		r, err := c.codec.Agent(a.Agent, now)
		if a.HasLateStarts {
			r, err = c.codec.LateAgent(a.Agent)
		}
		if err != nil {
			c.Log.Error().Err(err).Str("Agent", a.Agent).Msg("record of an agent cannot be encoded")
			continue
		}
		c.plan.extraRecords = append(c.plan.extraRecords, r)
	}
	c.markRecords(now)
}

// markRecords records that the records of agents are complete.
func (c *control) markRecords(now time.Time) {
	if !c.plan.AreAgentRecordsComplete() || now.Sub(c.plan.markedAt) < markInterval {
		return
	}
	c.plan.markedAt = now
	if r, err := c.codec.RecordsMark(now); err == nil {
		c.plan.extraRecords = append(c.plan.extraRecords, r)
	}
}

// dropAgent drops the record of an agent whose worker can have no runs any more. A record
// of the agent that is still in flight precedes the drop in the store and so has no
// lasting effect.
func (c *control) dropAgent(agent string) {
	isAgent := func(a string) bool { return a == agent }
	c.plan.extraRecords = append(c.plan.extraRecords, c.codec.DropAgent(agent), c.codec.DropAbsence(agent))
	c.plan.recordingAgents = slices.DeleteFunc(c.plan.recordingAgents, isAgent)
	if b := c.plan.pendingBatch; b != nil {
		b.agents = slices.DeleteFunc(b.agents, isAgent)
	}
	delete(c.plan.recordedAgents, agent)
}

// appendBatch appends the pending batch to the store, or the next one if none is pending.
// One append is in flight at a time.
func (c *control) appendBatch(ctx context.Context, now time.Time) {
	if c.plan.pendingBatch == nil {
		c.plan.pendingBatch = c.nextBatch(now)
	}
	b := c.plan.pendingBatch
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
	jobs, ends := c.plan.TakeUnrecordedProgress(now, false)
	records := c.plan.extraRecords
	c.plan.extraRecords = nil
	var progress []cfcore.KeyedRecord
	for _, u := range jobs {
		for _, part := range slices.Sorted(maps.Keys(u.Parts)) {
			records = c.appendProgress(records, u.ID, part, u.Parts[part])
		}
		if u.Progress != nil {
			progress = c.appendProgress(progress, u.ID, 0, u.Progress)
		}
	}
	records = append(records, progress...)
	if len(records) == 0 {
		c.plan.MarkEndsRecorded(ends)
		return nil
	}
	b := &plannerBatch{records: records, progress: progress, ends: ends, agents: c.plan.recordingAgents, returned: c.plan.returningAgents, sequence: c.plan.sequence}
	c.plan.recordingAgents, c.plan.returningAgents = nil, nil
	c.plan.sequence++
	return b
}

// appendProgress appends the record of a part of a job's progress to records.
func (c *control) appendProgress(records []cfcore.KeyedRecord, id string, part int, p *cfjob.Progress) []cfcore.KeyedRecord {
	p.Stamp = c.plan.stamp()
	r, err := c.codec.ProgressPart(id, part, p)
	if err == nil && len(r.Value) > maxRecordBytes {
		c.Log.Warn().Str("Job", id).Int("Part", part).Int("Bytes", len(r.Value)).Msg("job progress exceeds the limit of a record; recording it without checkpoints")
		for position, t := range p.Tasks {
			t.Checkpoint = ""
			p.Tasks[position] = t
		}
		r, err = c.codec.ProgressPart(id, part, p)
	}
	if err != nil {
		c.Log.Error().Err(err).Str("Job", id).Msg("job progress cannot be encoded; leaving it out of the batch")
		return records
	}
	return append(records, r)
}

// handleBatchAppended handles the outcome of an append of the planner's records.
func (c *control) handleBatchAppended(ctx context.Context, ev batchAppended) {
	if c.plan == nil || c.plan.epoch != ev.epoch || c.plan.pendingBatch == nil {
		return
	}
	b := c.plan.pendingBatch
	b.inFlight = false
	switch {
	case ev.err == nil:
		c.plan.MarkEndsRecorded(b.ends)
		for _, agent := range b.agents {
			c.plan.recordedAgents[agent] = true
			c.plan.MarkAgentRecorded(agent)
		}
		for _, agent := range b.returned {
			c.endAbsence(agent)
		}
		c.plan.pendingBatch = nil
		c.publishRecords(ctx, b.progress)
	case cferror.Is(ev.err, cfcore.StoreFenced):
		c.Log.Warn().Uint64("Epoch", uint64(ev.epoch)).Msg("no longer the planner: the store has fenced this epoch")
		c.plan = nil
	case cferror.Is(ev.err, cfcore.StoreSequence):
		c.Log.Error().Err(ev.err).Msg("no longer the planner: the store rejected the sequence number of an append")
		c.plan = nil
		c.markPlannerGone(ev.epoch)
	default:
		c.Log.Warn().Err(ev.err).Int("Records", len(b.records)).Msg("append of the planner's records was rejected, or its outcome is unknown; retrying")
		b.retryAt = c.Clock.Now().Add(retryDelay)
	}
}

// publishRecords applies records that are in the store and sends them to the other
// entries. Callers can then see an outcome before the entry that they query has read the
// record.
func (c *control) publishRecords(ctx context.Context, records []cfcore.KeyedRecord) {
	if len(records) == 0 {
		return
	}
	for _, r := range records {
		c.applyRecord(ctx, r)
	}
	m := &cfwire.Message{JobRecords: &cfwire.JobRecords{Records: records}}
	for l := range c.links {
		if l.conn.Peer().Role == cfwire.RolePeer {
			c.send(l, m)
		}
	}
}
