package cfjobentry

import (
	"context"
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cferror"
	"cranberryford/pkg/cfjob"
)

// outageRetryAfter is the Retry-After time for a request that could not be served. Outages
// of the store last seconds.
const outageRetryAfter = time.Second

// Route implements cfjob.Service.
func (e *Entry) Route(host, path string) (*cfjob.Queue, bool) {
	cfg := e.config.Load()
	if cfg == nil {
		return nil, false
	}
	q, _ := cfg.Match(host, path)
	return q, true
}

// Submit implements cfjob.Service.
func (e *Entry) Submit(ctx context.Context, j *cfjob.Job) cfjob.Reply {
	start, memory := e.Clock.Now(), j.EstimateMemory()
	result, err := e.lookupJob(ctx, lookup{id: j.ID, memory: memory})
	switch {
	case err != nil:
		e.releaseMemory(ctx, j.ID, memory)
		return e.refuse(j, "the request has timed out", outageRetryAfter)
	case result.known:
		e.Log.Info().Str("Job", j.ID).Str("State", string(result.state)).Msg("duplicate submission: the job exists; replying with its state")
		return cfjob.Reply{Verdict: cfjob.VerdictDone, State: result.state}
	case !result.reserved:
		return e.refuse(j, "the entries have no memory for the job", memoryRetryAfter)
	}
	j.Accepted = start
	err = e.appendJob(ctx, j)
	took := e.Clock.Since(start)
	switch {
	case err == nil:
		e.Log.Info().Str("Job", j.ID).Str("Queue", j.Queue.Name).Int("Tasks", j.TasksPerOccurrence()).Dur("Took", took).Msg("job accepted")
		e.Scope.Counter("jobs_accepted").Inc(1)
		return cfjob.Reply{Verdict: cfjob.VerdictDone, State: cfjob.StatePending}
	case cferror.Is(err, cfcore.StoreRejected):
		e.releaseMemory(ctx, j.ID, memory)
		return e.refuse(j, err.Error(), outageRetryAfter)
	}
	e.Log.Warn().Str("Job", j.ID).Err(err).Dur("Took", took).Msg("job may have been accepted; outcome unknown")
	e.Scope.Counter("jobs_unknown").Inc(1)
	return cfjob.Reply{Verdict: cfjob.VerdictUnknown}
}

// appendJob appends the record of a job. Its errors are those of appender.add.
func (e *Entry) appendJob(ctx context.Context, j *cfjob.Job) error {
	r, err := e.codec.Job(j)
	switch {
	case err != nil:
		return cferror.Wrap("encode job", cfcore.StoreRejected, err)
	case len(r.Value) > maxRecordBytes:
		return cferror.New("encode job", cfcore.StoreRejected, "the record has %d bytes", len(r.Value))
	}
	return e.submissions.add(ctx, r)
}

// refuse logs and counts a refused submission, and returns the reply to it.
func (e *Entry) refuse(j *cfjob.Job, reason string, retryAfter time.Duration) cfjob.Reply {
	e.Log.Warn().Str("Job", j.ID).Str("Queue", j.Queue.Name).Str("Reason", reason).Msg("job refused")
	e.Scope.Counter("jobs_refused").Inc(1)
	return cfjob.Reply{Verdict: cfjob.VerdictRefused, RetryAfter: retryAfter}
}

// State implements cfjob.Service.
func (e *Entry) State(ctx context.Context, id string) cfjob.Reply {
	result, err := e.lookupSynced(ctx, id)
	switch {
	case err != nil:
		return cfjob.Reply{Verdict: cfjob.VerdictRefused, RetryAfter: outageRetryAfter}
	case !result.known:
		return cfjob.Reply{Verdict: cfjob.VerdictNoJob}
	}
	return cfjob.Reply{State: result.state}
}

// isFinal reports whether a job in state s has ended.
func isFinal(s cfjob.State) bool {
	return s == cfjob.StateCancelled || s == cfjob.StateCompleted || s == cfjob.StateFailed
}

// Cancel implements cfjob.Service. It also records the cancellation of an unknown job: after
// a submission with an unknown outcome, the store can still add the job.
func (e *Entry) Cancel(ctx context.Context, id string) cfjob.Reply {
	if !cfjob.ValidID(id) {
		return cfjob.Reply{Verdict: cfjob.VerdictNoJob}
	}
	r := e.State(ctx, id)
	if r.Verdict == cfjob.VerdictRefused || isFinal(r.State) {
		return r
	}
	record, err := e.codec.Cancel(id, e.Clock.Now())
	if err == nil {
		err = e.submissions.add(ctx, record)
	}
	switch {
	case cferror.Is(err, cfcore.StoreRejected):
		return cfjob.Reply{Verdict: cfjob.VerdictRefused, RetryAfter: outageRetryAfter}
	case err != nil:
		e.Log.Warn().Str("Job", id).Err(err).Msg("cancellation of a job failed, or its outcome is unknown")
		return cfjob.Reply{Verdict: cfjob.VerdictUnknown}
	case r.Verdict == cfjob.VerdictNoJob:
		e.Log.Info().Str("Job", id).Msg("cancellation of an unknown job recorded")
		return r
	}
	e.Log.Info().Str("Job", id).Msg("job cancelled")
	return cfjob.Reply{State: cfjob.StateCancelled}
}

// Waiting implements cfjob.Service.
func (e *Entry) Waiting(ctx context.Context, queue string) cfjob.Reply {
	reply := make(chan int, 1)
	e.post(ctx, countRequested{queue: queue, reply: reply})
	select {
	case n := <-reply:
		return cfjob.Reply{Waiting: n}
	case <-ctx.Done():
		return cfjob.Reply{Verdict: cfjob.VerdictRefused, RetryAfter: outageRetryAfter}
	}
}

// lookupJob returns the state of a job in the records that this entry has applied.
func (e *Entry) lookupJob(ctx context.Context, l lookup) (lookupResult, error) {
	reply := make(chan lookupResult, 1)
	l.reply = reply
	e.post(ctx, l)
	select {
	case result := <-reply:
		return result, nil
	case <-ctx.Done():
		return lookupResult{}, ctx.Err()
	}
}

// lookupSynced returns the state of a job. Before it reports that a job does not exist,
// it reads the store to its end.
func (e *Entry) lookupSynced(ctx context.Context, id string) (lookupResult, error) {
	result, err := e.lookupJob(ctx, lookup{id: id})
	for err == nil && !result.known {
		var page cfcore.StorePage
		if page, err = e.Store.Read(ctx, e.topic, result.next, 0); err != nil {
			break
		}
		if page.End <= result.next {
			return result, nil
		}
		applied := make(chan struct{})
		e.post(ctx, pageRead{from: result.next, page: page, applied: applied})
		select {
		case <-applied:
		case <-ctx.Done():
		}
		result, err = e.lookupJob(ctx, lookup{id: id})
	}
	return result, err
}
