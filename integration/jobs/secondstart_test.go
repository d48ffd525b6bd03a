package jobs

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"

	"cranberryford/platform/standin"
)

const (
	// Environment variables for a run by hand, see siteWorkersVar.
	secondStartWorkersVar = "CRANBERRYFORD_SECOND_WORKERS"
	secondStartSeedVar    = "CRANBERRYFORD_SECOND_SEED"
	secondStartTimeVar    = "CRANBERRYFORD_SECOND_TIME"
	secondStartRunsVar    = "CRANBERRYFORD_SECOND_RUNS"
)

// secondStartMember is what happens to one worker: it leaves a share of the first attempts of starts unanswered
// and refuses the second ones, so that the planner gives out second starts of their tasks. Meanwhile, it restarts
// with the same ID, possibly more than once. The next incarnation executes the unanswered starts before its agent,
// which is absent for a time, calls it.
type secondStartMember struct {
	worker int
	share  float64
	// maxRuns is the number of runs that have room until the first restart; 0 if there is no limit.
	maxRuns int
	// restartAfter are the times from the begin, or from the end of the previous absence, to each restart.
	restartAfter []time.Duration
	absence      absence
	// absentBefore is the time from the begin of each absence to the restart, absentFor its duration after it.
	absentBefore, absentFor time.Duration
	rng                     *rand.Rand
}

// drawSecondStarts chooses up to n members.
func (s *soak) drawSecondStarts(n int) []secondStartMember {
	members := make([]secondStartMember, 1+s.rng.IntN(n))
	for i := range members {
		m := secondStartMember{
			worker:       s.rng.IntN(len(s.workers)),
			share:        []float64{0.5, 0.8, 1}[s.rng.IntN(3)],
			maxRuns:      s.rng.IntN(4),
			absence:      absence(s.rng.IntN(int(absenceCount))),
			absentBefore: randomDuration(s.rng, 10*time.Millisecond, 200*time.Millisecond),
			absentFor:    randomDuration(s.rng, 200*time.Millisecond, 4*time.Second),
			rng:          rand.New(rand.NewPCG(s.rng.Uint64(), 0)),
		}
		for range 1 + s.rng.IntN(3) {
			m.restartAfter = append(m.restartAfter, randomDuration(s.rng, 500*time.Millisecond, 3500*time.Millisecond))
		}
		members[i] = m
	}
	return members
}

// secondStarts returns a function for the field begin of a soakFault with up to n workers. The fault can go on
// after the returned end.
func secondStarts(n int) func(*soak) func() {
	return func(s *soak) func() {
		for _, m := range s.drawSecondStarts(n) {
			_, release, ok := s.reserveAt("worker", m.worker)
			if !ok {
				continue
			}
			s.wg.Go(func() {
				defer GinkgoRecover()
				defer release()
				s.playSecondStarts(m)
			})
		}
		return func() {}
	}
}

func (s *soak) playSecondStarts(m secondStartMember) {
	w := s.worker(m.worker)
	w.SetMaxRuns(m.maxRuns)
	for _, pause := range m.restartAfter {
		restartAt := time.Now().Add(pause)
		w.SetFaultOfRun(unansweredThenRefused(m.rng, m.share, func() standin.OrderFault {
			return s.recordLate(lateOrder(m.rng, time.Until(restartAt), time.Until(restartAt)+m.absentFor))
		}))
		time.Sleep(pause - m.absentBefore)
		end := s.beginAbsence(m.worker, m.absence)
		time.Sleep(time.Until(restartAt))
		s.restartIfPresent(w)
		w.SetMaxRuns(0)
		w.SetFault(nil)
		time.Sleep(m.absentFor)
		end()
	}
}

// secondStartFaults returns the faults of a site whose workers get second starts. A fault hits up to a fifth of its
// workers.
func secondStartFaults(workers int) []soakFault {
	second := soakFault{"workers leave starts unanswered, refuse the repetitions, and restart with the same IDs", secondStarts(max(3, workers/5)), time.Millisecond}
	return slices.Concat(slices.Repeat([]soakFault{second}, 16), slices.Repeat(fullWorkerFaults[:1], 4), []soakFault{
		{"an agent is killed", processFault("agent", agentsOf, kill, restart), 2 * time.Second},
		{"an agent freezes", processFault("agent", agentsOf, freeze, thaw), 4 * time.Second},
		{"the planner is killed", plannerFault(kill, restart), 2 * time.Second},
		{"the planner freezes", plannerFault(freeze, thaw), 4 * time.Second},
	})
}

// isLastingJob reports whether the tasks of job n run until the job is cancelled.
func isLastingJob(n int) bool { return n%20 == 0 }

// secondStartJob returns the body of job n: some have tasks that run until they are cancelled, or write checkpoints.
// The others have short tasks, so that a run can end before its worker executes a second start.
func secondStartJob(rng *rand.Rand, n, workers int) string {
	switch {
	case isLastingJob(n):
		return oneStep(lastingTasks, untilCancelled)
	case specialJob(n) != "":
		return specialJob(n)
	}
	d := randomDuration(rng, 20*time.Millisecond, 400*time.Millisecond).Truncate(time.Millisecond)
	return fmt.Sprintf(`{"spec":%q,"steps":[{"count":%d,"cpu":1250,"mem_mb":10,"estimated_ms":%d}]}`, d, workers/2+1, d.Milliseconds())
}

// lastingTasks is the number of tasks of a job that runs until it is cancelled.
const lastingTasks = 3

var _ = Describe("a site whose workers get second starts while they can still execute the first ones", func() {
	site := siteKind{faults: secondStartFaults, job: secondStartJob, isLasting: isLastingJob, prepare: (*fleet).prepareSpecialJobs}
	workers := envInt(secondStartWorkersVar, 12)
	d := time.Duration(envInt(secondStartTimeVar, 12)) * time.Second
	firstSeed := envInt(secondStartSeedVar, 1)
	for i := range envInt(secondStartRunsVar, 1) {
		seed := uint64(firstSeed + i)
		name := fmt.Sprintf("runs each task once with seed %d", seed)
		if os.Getenv(secondStartWorkersVar) != "" {
			name += fmt.Sprintf(" and %d workers", workers)
		}
		It(name, func() { runSite(site, seed, workers, d) })
	}
})
