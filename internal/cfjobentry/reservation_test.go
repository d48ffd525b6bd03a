package cfjobentry

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfjob"
)

// blockingStore answers appends once open is closed.
type blockingStore struct {
	cfcore.Store
	open chan struct{}
}

func (s blockingStore) Append(ctx context.Context, _ cfcore.Topic, _ []cfcore.KeyedRecord, _ cfcore.AppendOptions) (int64, error) {
	select {
	case <-s.open:
		return 0, nil
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// startSubmissions runs the appender and the handling of events, with handle for each event, until
// the returned function is called.
func startSubmissions(t *testing.T, ctl *control, store cfcore.Store, handle func(context.Context, event)) (stop func()) {
	t.Helper()
	ctl.Store = store
	ctl.submissions = newAppender(ctl.Entry)
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { _ = ctl.submissions.run(ctx) })
	wg.Go(func() {
		for {
			select {
			case ev := <-ctl.events:
				handle(ctx, ev)
			case <-ctx.Done():
				return
			}
		}
	})
	return func() { cancel(); wg.Wait() }
}

// wideJob returns a job of which 25 have memory in an entry with 160 MB.
func wideJob(n int) *cfjob.Job {
	return &cfjob.Job{ID: fmt.Sprintf("%016x", n), Steps: []cfjob.Step{{Count: cfjob.MaxTasks}}}
}

// The memory was compared with a sum from before another job was added, if that job was accepted
// between the lookup and the reservation.
func TestMemoryIsReservedAfterTheJobsAcceptedBefore(t *testing.T) {
	g := NewWithT(t)
	ctl, _ := newTestControl(t)
	delayed, answerDelayed := make(chan struct{}), make(chan struct{})
	first := wideJob(0).ID
	stop := startSubmissions(t, ctl, appendOnlyStore{}, func(ctx context.Context, ev event) {
		l, ok := ev.(lookup)
		if !ok || l.id != first {
			ctl.handleEvent(ctx, ev)
			return
		}
		// The answer to the first submission is delivered late.
		reply, answer := l.reply, make(chan lookupResult, 1)
		l.reply = answer
		ctl.handleEvent(ctx, l)
		go func() { <-answerDelayed; reply <- <-answer }()
		close(delayed)
	})
	defer stop()

	last := make(chan cfjob.Reply, 1)
	go func() { last <- ctl.Submit(t.Context(), wideJob(0)) }()
	<-delayed
	accepted := 0
	for ctl.Submit(t.Context(), wideJob(1+accepted)).Verdict == cfjob.VerdictDone {
		accepted++
	}
	close(answerDelayed)
	if (<-last).Verdict == cfjob.VerdictDone {
		accepted++
	}
	stop()
	g.Expect(accepted).To(BeNumerically("~", 25, 2))
	g.Expect(ctl.stored.Memory).To(BeNumerically("<=", ctl.jobMemoryLimit()))
}

// An append whose caller has stopped waiting can still add the job.
func TestJobsWithAnUnknownOutcomeKeepTheirMemory(t *testing.T) {
	g := NewWithT(t)
	ctl, _ := newTestControl(t)
	store := blockingStore{open: make(chan struct{})}
	stop := startSubmissions(t, ctl, store, ctl.handleEvent)
	defer stop()
	unknown := 0
	for n := range 60 {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		if ctl.Submit(ctx, wideJob(n)).Verdict == cfjob.VerdictUnknown {
			unknown++
		}
		cancel()
	}
	close(store.open)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	for applied := 0; applied < unknown; {
		applied = 0
		for n := range 60 {
			result, err := ctl.lookupJob(ctx, lookup{id: wideJob(n).ID})
			g.Expect(err).NotTo(HaveOccurred())
			if result.known {
				applied++
			}
		}
	}
	stop()
	g.Expect(unknown).To(BeNumerically("~", 25, 2))
	g.Expect(ctl.stored.Memory).To(BeNumerically("<=", ctl.jobMemoryLimit()))
}

func TestReservations(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_000_000, 0)
	var r reservations
	g.Expect(r.reserve("a", 60, 100, now)).To(BeTrue())
	g.Expect(r.reserve("b", 41, 100, now)).To(BeFalse())
	g.Expect(r.reserve("b", 40, 100, now)).To(BeTrue())
	r.release("a", 60)
	r.release("a", 60)
	r.release("c", 60)
	g.Expect(r.total).To(Equal(40))

	g.Expect(r.reserve("b", 40, 100, now)).To(BeTrue(), "the same job at the same time")
	r.release("b", 40)
	g.Expect(r.total).To(Equal(40))
	g.Expect(r.reserve("d", 70, 100, now.Add(reservationTimeout))).To(BeFalse())
	g.Expect(r.reserve("d", 70, 100, now.Add(reservationTimeout+1))).To(BeTrue(), "an outcome that stays unknown")
	r.drop("d")
	r.drop("d")
	g.Expect(r).To(Equal(reservations{byJob: map[string]reservation{}}))
}

// A submission that the store rejects leaves no reservation, also if its caller no longer waits.
func TestRejectedSubmissionsLeaveNoReservation(t *testing.T) {
	g := NewWithT(t)
	ctl, _ := newTestControl(t)
	stop := startSubmissions(t, ctl, appendOnlyStore{}, ctl.handleEvent)
	defer stop()
	tooLarge := func(n int) *cfjob.Job {
		j := wideJob(n)
		j.Spec = strings.Repeat("x", recordBytes)
		return j
	}
	for n := range 60 {
		g.Expect(ctl.Submit(t.Context(), tooLarge(n))).To(Equal(cfjob.Reply{Verdict: cfjob.VerdictRefused, RetryAfter: outageRetryAfter}))
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for n := range 60 {
		g.Expect(ctl.Submit(ctx, tooLarge(n)).Verdict).NotTo(Equal(cfjob.VerdictDone))
	}
	_, err := ctl.lookupJob(t.Context(), lookup{id: wideJob(0).ID})
	g.Expect(err).NotTo(HaveOccurred())
	stop()
	g.Expect(ctl.reservations.byJob).To(BeEmpty())
}
