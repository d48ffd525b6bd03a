package cfjobentry

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfjob"
	"cranberryford/pkg/cfwire"
)

// appendOnlyStore accepts all appends.
type appendOnlyStore struct{ cfcore.Store }

func (appendOnlyStore) Append(context.Context, cfcore.Topic, []cfcore.KeyedRecord, cfcore.AppendOptions) (int64, error) {
	return 0, nil
}

// An entry must refuse a job that no planner would have the memory for. Once the job is
// stored, it would end each planner.
func TestJobsBeyondTheMemoryAreRefused(t *testing.T) {
	for name, c := range map[string]struct {
		// smallest is the memory of the smallest other entry in MB, or 0 if there is none.
		smallest int
		jobs     int
	}{
		"no other entry":        {jobs: 25},
		"a smaller other entry": {smallest: 80, jobs: 12},
		"a larger other entry":  {smallest: 1000, jobs: 25},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			ctl, _ := newTestControl(t)
			ctl.stored.Entries["other"] = cfjob.EntryInfo{MemoryMB: c.smallest}
			stop := startSubmissions(t, ctl, appendOnlyStore{}, ctl.handleEvent)
			defer stop()
			ctx := t.Context()
			submit := func(n int) cfjob.Reply {
				return ctl.Submit(ctx, wideJob(n))
			}
			accepted := 0
			for submit(accepted).Verdict == cfjob.VerdictDone {
				accepted++
			}
			g.Expect(accepted).To(BeNumerically("~", c.jobs, 2))
			g.Expect(submit(accepted)).To(Equal(cfjob.Reply{Verdict: cfjob.VerdictRefused, RetryAfter: memoryRetryAfter}))
			g.Expect(submit(0).Verdict).To(Equal(cfjob.VerdictDone), "a repeated submission")

			r, err := ctl.codec.Cancel(fmt.Sprintf("%016x", 0), time.Now())
			g.Expect(err).NotTo(HaveOccurred())
			ctl.post(ctx, recordsStored{records: []cfcore.KeyedRecord{r}})
			g.Expect(submit(accepted).Verdict).To(Equal(cfjob.VerdictDone), "after another job was cancelled")
			// The lookup is handled after all earlier events.
			_, err = ctl.lookupJob(ctx, lookup{id: wideJob(0).ID})
			g.Expect(err).NotTo(HaveOccurred())
			stop()
			g.Expect(ctl.reservations.total).To(BeZero())
			g.Expect(ctl.reservations.byJob).To(BeEmpty())
		})
	}
}

const (
	// callBytes and recordBytes are the platform's limits of a call and of a record in it.
	callBytes   = 2 << 20
	recordBytes = 256 << 10
)

// The store rejected a batch whose record was too large, and the planner repeated that batch
// for ever.
func TestBatchesStayBelowTheLimitsOfTheStore(t *testing.T) {
	for name, c := range map[string]struct {
		tasks      int
		checkpoint int
		// kept is set if the checkpoints must be on record.
		kept bool
	}{
		"many checkpoints":  {tasks: 50_000, checkpoint: 16, kept: true},
		"long checkpoints":  {tasks: 20_000, checkpoint: 400, kept: true},
		"huge checkpoints":  {tasks: 1000, checkpoint: 2000},
		"a huge checkpoint": {tasks: 1, checkpoint: 300_000},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			ctl, clock := newTestControl(t)
			ctl.becomePlanner(cfjob.Claim{Epoch: 2, Instance: "i"})
			*clock += fakeBootClock(3 * time.Second)
			ctl.confirmedAt = ctl.bootTime()
			now := ctl.Clock.Now()
			id := fmt.Sprintf("%016x", 1)
			j := &cfjob.Job{ID: id, Steps: []cfjob.Step{{Count: c.tasks, Checkpointing: true}}, Accepted: now}
			r, err := ctl.codec.Job(j)
			g.Expect(err).NotTo(HaveOccurred())
			ctl.applyRecord(t.Context(), r)
			lists := &cfcore.RunLists{Born: now}
			checkpoint := string(make([]byte, c.checkpoint))
			for i := range c.tasks {
				lists.Ended = append(lists.Ended, cfcore.EndedTask{
					Number: uint64(i + 1), Task: cfcore.TaskName{Job: id, Index: i}, Run: 1, How: cfcore.EndStopped, Checkpoint: checkpoint,
				})
			}
			w := cfcore.WorkerState{ID: "w", Born: now}
			ctl.plan.ApplyReport(now, "a", &cfwire.JobReport{Worker: &w, Lists: lists})

			for n := 0; ; n++ {
				g.Expect(n).To(BeNumerically("<", 100))
				now = now.Add(time.Second)
				b := ctl.nextBatch(now)
				g.Expect(b).NotTo(BeNil())
				size := 0
				for _, r := range b.records {
					g.Expect(len(r.Value)).To(BeNumerically("<", recordBytes-len(r.Key)-1), r.Key)
					size += len(r.Value)
					ctl.applyRecord(t.Context(), r)
				}
				g.Expect(size).To(BeNumerically("<", callBytes))
				if len(b.ends) > 0 {
					break
				}
			}
			tasks := ctl.stored.Jobs[id].TaskProgress()
			g.Expect(tasks).To(HaveLen(c.tasks), "all ends are recorded before they are acknowledged")
			for _, p := range tasks {
				g.Expect(p.Checkpoint == checkpoint).To(Equal(c.kept))
			}
		})
	}
}

// Submissions of large jobs at the same time must not exceed the platform's limit of a call,
// since all of them would be refused.
func TestSubmissionsShareACallUpToItsLimit(t *testing.T) {
	g := NewWithT(t)
	ctl, _ := newTestControl(t)
	a := newAppender(ctl.Entry)
	const records = 40
	for range records {
		a.queue <- submission{record: cfcore.KeyedRecord{Key: "k", Value: make([]byte, recordBytes-100)}}
	}
	taken := 0
	for taken < records {
		size := 0
		batch := a.collectBatch(<-a.queue)
		for _, s := range batch {
			size += len(s.record.Value)
		}
		g.Expect(size).To(BeNumerically("<", callBytes))
		taken += len(batch)
	}
}
