package cfjobentry

import (
	"context"
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cferror"
	"cranberryford/pkg/cfjob"
)

// outageRetry is when a caller should come back whose request could not be stored;
// outages of the store last seconds.
const outageRetry = time.Second

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
	begun := e.Clock.Now()
	f, err := e.look(ctx, j.ID)
	if err == nil && f.known {
		e.Log.Info().Str("Job", j.ID).Str("State", string(f.state)).Msg("submission repeated: the job is known")
		return cfjob.Reply{Verdict: cfjob.VerdictDone, State: f.state}
	}
	j.Accepted = begun
	r, err := e.codec.Job(j)
	if err != nil {
		return e.refuse(j, err.Error())
	}
	err = e.submits.add(ctx, r)
	took := e.Clock.Since(begun)
	switch {
	case err == nil:
		e.Log.Info().Str("Job", j.ID).Str("Queue", j.Queue.Name).Int("Tasks", j.Width()).Dur("Took", took).Msg("job accepted")
		e.Scope.Counter("jobs_accepted").Inc(1)
		return cfjob.Reply{Verdict: cfjob.VerdictDone, State: cfjob.StatePending}
	case cferror.Is(err, cfcore.StoreRejected):
		return e.refuse(j, err.Error())
	}
	e.Log.Warn().Str("Job", j.ID).Err(err).Dur("Took", took).Msg("job may have been accepted")
	e.Scope.Counter("jobs_unknown").Inc(1)
	return cfjob.Reply{Verdict: cfjob.VerdictUnknown}
}

func (e *Entry) refuse(j *cfjob.Job, reason string) cfjob.Reply {
	e.Log.Warn().Str("Job", j.ID).Str("Queue", j.Queue.Name).Str("Reason", reason).Msg("job refused")
	e.Scope.Counter("jobs_refused").Inc(1)
	return cfjob.Reply{Verdict: cfjob.VerdictRefused, RetryAfter: outageRetry}
}

// State implements cfjob.Service.
func (e *Entry) State(ctx context.Context, id string) cfjob.Reply {
	f, err := e.lookSynced(ctx, id)
	switch {
	case err != nil:
		return cfjob.Reply{Verdict: cfjob.VerdictRefused, RetryAfter: outageRetry}
	case !f.known:
		return cfjob.Reply{Verdict: cfjob.VerdictNoJob}
	}
	return cfjob.Reply{State: f.state}
}

// over reports whether a job in a state will run no more.
func over(s cfjob.State) bool {
	return s == cfjob.StateCancelled || s == cfjob.StateCompleted || s == cfjob.StateFailed
}

// Cancel implements cfjob.Service.
func (e *Entry) Cancel(ctx context.Context, id string) cfjob.Reply {
	if r := e.State(ctx, id); r.Verdict != cfjob.VerdictDone || over(r.State) {
		return r
	}
	r, err := e.codec.Cancel(id, e.Clock.Now())
	if err == nil {
		err = e.submits.add(ctx, r)
	}
	if err != nil {
		e.Log.Warn().Str("Job", id).Err(err).Msg("job not cancelled for certain")
		return cfjob.Reply{Verdict: cfjob.VerdictUnknown}
	}
	e.Log.Info().Str("Job", id).Msg("job cancelled")
	return cfjob.Reply{State: cfjob.StateCancelled}
}

// Waiting implements cfjob.Service.
func (e *Entry) Waiting(ctx context.Context, queue string) cfjob.Reply {
	reply := make(chan int, 1)
	e.tell(ctx, count{queue: queue, reply: reply})
	select {
	case n := <-reply:
		return cfjob.Reply{Waiting: n}
	case <-ctx.Done():
		return cfjob.Reply{Verdict: cfjob.VerdictRefused, RetryAfter: outageRetry}
	}
}

// look returns what this entry knows of a job.
func (e *Entry) look(ctx context.Context, id string) (found, error) {
	reply := make(chan found, 1)
	e.tell(ctx, lookup{id: id, reply: reply})
	select {
	case f := <-reply:
		return f, nil
	case <-ctx.Done():
		return found{}, ctx.Err()
	}
}

// lookSynced returns what is known of a job. Before it says that a job is not
// known, it reads the store to its end.
func (e *Entry) lookSynced(ctx context.Context, id string) (found, error) {
	f, err := e.look(ctx, id)
	for err == nil && !f.known {
		var page cfcore.StorePage
		if page, err = e.Store.Read(ctx, e.topic, f.next, 0); err != nil {
			break
		}
		if page.End <= f.next {
			return f, nil
		}
		applied := make(chan struct{})
		e.tell(ctx, followed{from: f.next, page: page, applied: applied})
		select {
		case <-applied:
		case <-ctx.Done():
		}
		f, err = e.look(ctx, id)
	}
	return f, err
}
