package cfjobentry

import (
	"testing"

	. "github.com/onsi/gomega"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfjob"
)

// A caller cancels a job whose submission the store carries out later. Long after that, the job's
// records are dropped, its cancellation before the job itself.
func TestCancelledJobDoesNotStartWhenItsRecordsAreDropped(t *testing.T) {
	g := NewWithT(t)
	c := newStartedRun(t)
	c.confirmedAt = c.plan.othersUntil + 1
	job := &cfjob.Job{ID: "00000000000000ff", Queue: cfjob.Queue{Service: "s"}, Steps: []cfjob.Step{{Count: 1}}, Accepted: c.Clock.Now()}
	submission, err := c.codec.Job(job)
	g.Expect(err).NotTo(HaveOccurred())
	cancellation, err := c.codec.Cancel(job.ID, c.Clock.Now())
	g.Expect(err).NotTo(HaveOccurred())
	for _, r := range append([]cfcore.KeyedRecord{cancellation, submission}, c.codec.DropJob(job.ID)...) {
		c.applyRecord(t.Context(), r)
	}
	now := c.Clock.Now()
	c.plan.Plan(now)
	for _, o := range c.plan.TakeOrders(now) {
		g.Expect(o.Starts).NotTo(ContainElement(HaveField("Task.Job", job.ID)))
	}
}
