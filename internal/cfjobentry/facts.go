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

// factPause is the least time between two appends of facts that no caller waits for.
// The platform lets an end be acknowledged 100 ms after it was listed.
const factPause = 40 * time.Millisecond

// factBatch is one append of facts. It is repeated as it is until its outcome is known.
type factBatch struct {
	records []cfcore.KeyedRecord
	// progress are those of the records that entries can be told of.
	progress []cfcore.KeyedRecord
	seen     []cfdispatch.Seen
	agents   []string
	sequence uint64
	inFlight bool
	retryAt  time.Time
}

// stampBits is the number of bits of a stamp below the epoch.
const stampBits = 32

// stamp returns a number that is greater than that of any facts before.
func (p *planning) stamp() uint64 { return uint64(p.epoch)<<stampBits | p.sequence }

func (b *factBatch) has(agent string) bool { return b != nil && slices.Contains(b.agents, agent) }

// recordWorkers writes the agents down that tasks may be sent to, so that a later
// planner knows whom to ask.
func (c *control) recordWorkers(now time.Time) {
	for _, agent := range c.plan.Unrecorded() {
		if c.plan.recorded[agent] {
			c.plan.Recorded(agent)
			continue
		}
		r, err := c.codec.Worker(agent, now)
		if err != nil {
			c.Log.Error().Err(err).Str("Agent", agent).Msg("worker cannot be recorded")
			continue
		}
		if slices.Contains(c.plan.recording, agent) || c.plan.pending.has(agent) {
			continue
		}
		c.plan.recording = append(c.plan.recording, agent)
		c.plan.extra = append(c.plan.extra, r)
	}
}

// dropWorker drops the record of an agent on whose worker nothing can run. A record that
// is on its way comes before the one that drops it, and counts no more.
func (c *control) dropWorker(agent string) {
	isAgent := func(a string) bool { return a == agent }
	c.plan.extra = append(c.plan.extra, c.codec.DropWorker(agent))
	c.plan.recording = slices.DeleteFunc(c.plan.recording, isAgent)
	if b := c.plan.pending; b != nil {
		b.agents = slices.DeleteFunc(b.agents, isAgent)
	}
	delete(c.plan.recorded, agent)
}

// keep appends what has to last. One append is under way at a time.
func (c *control) keep(ctx context.Context, now time.Time) {
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
		c.tell(ctx, kept{epoch: epoch, err: err})
	}()
}

func (c *control) nextBatch(now time.Time) *factBatch {
	if !c.plan.Urgent() && now.Sub(c.plan.batchAt) < factPause {
		return nil
	}
	c.plan.batchAt = now
	facts, seen := c.plan.Facts(now, false)
	records := c.plan.extra
	c.plan.extra = nil
	var progress []cfcore.KeyedRecord
	for _, f := range facts {
		f.Progress.Stamp = c.plan.stamp()
		r, err := c.codec.Progress(f.ID, f.Progress)
		if err != nil {
			c.Log.Error().Err(err).Str("Job", f.ID).Msg("progress cannot be encoded")
			continue
		}
		progress = append(progress, r)
	}
	records = append(records, progress...)
	if len(records) == 0 {
		c.plan.Noted(seen)
		return nil
	}
	b := &factBatch{records: records, progress: progress, seen: seen, agents: c.plan.recording, sequence: c.plan.sequence}
	c.plan.recording = nil
	c.plan.sequence++
	return b
}

// kept takes in the outcome of an append of facts.
func (c *control) kept(ctx context.Context, ev kept) {
	if c.plan == nil || c.plan.epoch != ev.epoch || c.plan.pending == nil {
		return
	}
	b := c.plan.pending
	b.inFlight = false
	switch {
	case ev.err == nil:
		c.plan.Noted(b.seen)
		for _, agent := range b.agents {
			c.plan.recorded[agent] = true
			c.plan.Recorded(agent)
		}
		c.plan.pending = nil
		c.share(ctx, b.progress)
	case cferror.Is(ev.err, cfcore.StoreFenced):
		c.Log.Warn().Uint64("Epoch", uint64(ev.epoch)).Msg("no longer the planner: the store has fenced this epoch")
		c.plan = nil
	case cferror.Is(ev.err, cfcore.StoreSequence):
		c.Log.Error().Err(ev.err).Msg("planner ends: the store has another sequence of its appends")
		c.goneEpoch, c.plan = ev.epoch, nil
	default:
		c.Log.Warn().Err(ev.err).Int("Records", len(b.records)).Msg("facts not kept yet")
		b.retryAt = c.Clock.Now().Add(retryDelay)
	}
}

// share applies records that are in the store, and tells the other entries of them, so
// that callers see an outcome before the entry that they ask has read it.
func (c *control) share(ctx context.Context, records []cfcore.KeyedRecord) {
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
