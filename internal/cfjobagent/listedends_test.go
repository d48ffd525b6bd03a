package cfjobagent

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfwire"
)

// listEnds adds the ends with the numbers 1 to n of the incarnation that started the given number of minutes
// after born.
func listEnds(e *listedEnds, minute, n int) int {
	l := &cfcore.RunLists{Born: born.Add(time.Duration(minute) * time.Minute)}
	for i := range n {
		l.Ended = append(l.Ended, cfcore.EndedTask{Number: uint64(i + 1)})
	}
	return e.add(l, l.Born)
}

func TestListedEndsAreReportedUntilTheyAreRecorded(t *testing.T) {
	g := NewWithT(t)
	a, _ := answeredControl()
	l := cfcore.RunLists{Born: born, Ended: []cfcore.EndedTask{{Number: 1}, {Number: 2}}}
	a.recordEnds(&l)
	a.recordEnds(&l)
	g.Expect(a.takeReport().ListedEnds).To(BeEmpty(), "the worker lists them")
	next := workerState(born.Add(time.Minute))
	a.handleHeartbeat(next)
	for range 2 {
		g.Expect(a.takeReport().ListedEnds).To(Equal([]cfwire.JobListedEnds{{Born: born, Ended: l.Ended}}))
	}
	record := func(number uint64) {
		a.handleMessage(t.Context(), &link{}, &cfwire.Message{JobOrders: &cfwire.JobOrders{Epoch: 1, RecordedFormer: []cfwire.JobRecordedEnds{{Born: born, Number: number}}}})
	}
	record(1)
	g.Expect(a.takeReport().ListedEnds).To(Equal([]cfwire.JobListedEnds{{Born: born, Ended: l.Ended[1:]}}))
	record(2)
	g.Expect(a.takeReport().ListedEnds).To(BeEmpty())
}

// The answer of a former incarnation arrives after the check-in of the next one.
func TestEndsInLateListsOfAFormerIncarnationAreReported(t *testing.T) {
	g := NewWithT(t)
	a, _ := answeredControl()
	ev := holdReturned{incarnation: a.fence.currentIncarnation(), worker: "w", token: a.fence.token(a.epoch)}
	ev.lists = cfcore.RunLists{Born: born, Clock: 2 * time.Minute, Ended: []cfcore.EndedTask{{Number: 1}}}
	a.handleHeartbeat(workerState(born.Add(time.Minute)))
	a.handleHoldReturned(ev)
	g.Expect(a.takeReport().ListedEnds).To(Equal([]cfwire.JobListedEnds{{Born: born, Ended: ev.lists.Ended}}))
}

func TestOldestListedEndsAreDropped(t *testing.T) {
	g := NewWithT(t)
	e := &listedEnds{}
	for minute := range maxFormerIncarnations + 1 {
		g.Expect(listEnds(e, minute, 3)).To(BeZero())
	}
	g.Expect(listEnds(e, maxFormerIncarnations+1, 3)).To(Equal(3), "one former incarnation too many")
	g.Expect(e.find(born)).To(BeNil())
	e = &listedEnds{}
	g.Expect(listEnds(e, 0, 10)).To(BeZero())
	g.Expect(listEnds(e, 1, maxFormerEnds)).To(BeZero())
	g.Expect(listEnds(e, 2, maxFormerEnds)).To(Equal(10))
	g.Expect(e.find(born.Add(time.Minute)).ended).To(HaveLen(maxFormerEnds))
}
