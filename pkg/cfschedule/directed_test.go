package cfschedule_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// delayedAnswers is a history in which one entry stops reading the log but goes on granting
// leases. The entry relies on answers to its polls. These answers were sent before the worker
// was fenced, and arrive late, one by one.
func delayedAnswers(m *model) {
	lagging := m.entries[2]
	for range 60 {
		m.poll(lagging, m.entries[1])
		m.deliverLast(1)
	}
	m.requestOnlyFrom(lagging, func() { m.deliverAnswer(lagging) })
}

// restartedEntry is a history in which entry 1 restarts and loses its state, which lists
// the worker as fenced. The new incarnation answers the polls of an entry that does not
// read the log.
func restartedEntry(m *model) {
	lagging := m.entries[2]
	m.poll(lagging, m.entries[1])
	m.deliverLast(2)
	restarted := false
	m.requestOnlyFrom(lagging, func() {
		if !restarted && m.logState.Workers[modelWorker].Fenced {
			// The planner sees that a majority lists the worker as fenced: entries 0 and 1.
			m.pollRound(0b011)
			m.pollRound(0b011)
			m.restart(1)
			m.entries[1].idleUntil = time.Hour
			restarted = true
		}
		m.poll(lagging, m.entries[1])
		m.deliverLast(2)
	})
}

// requestOnlyFrom makes the agent request leases from entry e only. Before each request,
// entries 0 and 1 do a poll round, and beforeRequest is called.
func (m *model) requestOnlyFrom(e *modelEntry, beforeRequest func()) {
	for range 40 {
		m.passTime(50 * time.Millisecond)
		m.pollRound(0b011)
		beforeRequest()
		m.requestGrant(e)
		m.deliverLast(2)
		if m.evictions > 0 {
			return
		}
	}
}

// TestDirected runs two rare histories, each with and without an injected fault. Without the
// fault, a history must pass. With the fault, it must declare a run ended while the run's
// lease is still valid.
func TestDirected(t *testing.T) {
	for name, c := range map[string]struct {
		history  func(*model)
		injected faults
	}{
		"answer age counted from receipt":     {delayedAnswers, faults{answersFromReceipt: true}},
		"restarted entry counted as a member": {restartedEntry, faults{restartedStaysMember: true}},
	} {
		t.Run(name, func(t *testing.T) {
			setChecks(t, "20")
			rapid.Check(t, func(t *rapid.T) { c.history(newModel(t, faults{})) })
			r := &recorder{TB: t}
			rapid.Check(r, func(t *rapid.T) { c.history(newModel(t, c.injected)) })
			NewWithT(t).Expect(r.failed).To(BeTrue(), "the injected fault was not found")
		})
	}
}
