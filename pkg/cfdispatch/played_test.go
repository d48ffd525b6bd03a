package cfdispatch_test

import (
	"cmp"
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	playLength = 36 * time.Second
	// servedWindow is the time over which the platform counts how a latency-critical job is served.
	servedWindow = 2 * time.Second
	// Windows before warmUp don't count: tasks start and no effect is known yet.
	warmUp = 3 * time.Second
	// overTargetPenalty is how much more a task over its target costs than a task not at work.
	overTargetPenalty = 4
)

// servedJob tallies how a latency-critical job is served.
type servedJob struct {
	size  float64
	tasks int
	// atWork and over count the ticks of tasks at work and of tasks over their targets in the
	// present window.
	atWork, over int
	served       float64
	windows      int
}

// playedTally tallies how the latency-critical jobs of a play are served. harmed counts the tasks
// that best-effort tasks kept over their targets for longer than the platform allows.
type playedTally struct {
	jobs   map[string]*servedJob
	harmed int
}

func (p *playedTally) add(job string, atWork, over, isHarmed bool) {
	j := p.jobs[job]
	if atWork {
		j.atWork++
	}
	if over {
		j.over++
	}
	if isHarmed {
		p.harmed++
	}
}

func (p *playedTally) endTick(at time.Duration) {
	if at%servedWindow != 0 {
		return
	}
	for _, j := range p.jobs {
		ticks := float64(j.tasks) * float64(servedWindow/playTick)
		if at > warmUp+servedWindow {
			j.served += max(0, float64(j.atWork)/ticks-overTargetPenalty*float64(j.over)/ticks)
			j.windows++
		}
		j.atWork, j.over = 0, 0
	}
}

// bySize returns the jobs, the largest first.
func (p *playedTally) bySize() []*servedJob {
	return slices.SortedFunc(maps.Values(p.jobs), func(a, b *servedJob) int { return cmp.Compare(b.size, a.size) })
}

// servedShare is the share of the windows of some jobs that is served.
func servedShare(jobs []*servedJob) float64 {
	served, windows := 0.0, 0
	for _, j := range jobs {
		served += j.served
		windows += j.windows
	}
	return served / float64(max(windows, 1))
}

// worth is the share of the worth of all jobs that is earned. A latency-critical job is worth
// criticalWorth in each window, a best-effort job bestEffortWorth if it ends by its objective and
// lateShare of that if it ends within three times its objective. Larger jobs are worth more.
func (f *playedFleet) worth() float64 {
	const criticalWorth, bestEffortWorth, shortWorth, lateShare = 1.97, 7.76, 0.318, 0.15
	owed, earned := 0.0, 0.0
	add := func(worth, size, meanSize, windows, share float64) {
		worth *= min(4, 0.3+0.7*size/meanSize) * windows
		owed += worth
		earned += worth * share
	}
	jobs := f.tally.bySize()
	meanSize := 0.0
	for _, j := range jobs {
		meanSize += j.size / float64(len(jobs))
	}
	for _, j := range jobs {
		add(criticalWorth, j.size, meanSize, float64(j.windows), j.served/float64(max(j.windows, 1)))
	}
	bestEffortSize := 2 * 8 * 1.8 * f.load.bestEffortSeconds
	for _, id := range slices.Sorted(maps.Keys(f.jobs)) {
		j := f.jobs[id]
		end, isDone := f.completedAt[id]
		if !isDone {
			end = f.at
		}
		took := end - j.acceptedAt
		if j.objective == 0 || !isDone && took < j.objective {
			continue
		}
		share := 0.0
		switch {
		case isDone && took <= j.objective:
			share = 1
		case took <= 3*j.objective:
			share = lateShare
		}
		if j.steps[0].BestEffort {
			add(bestEffortWorth, j.work, bestEffortSize, 1, share)
		} else {
			add(shortWorth, j.work, 1.5, 1, share)
		}
	}
	return earned / owed
}

// playSeeds is the number of seeds of each load, or that of CRANBERRYFORD_PLAY_SEEDS.
func playSeeds() int {
	if n, err := strconv.Atoi(os.Getenv("CRANBERRYFORD_PLAY_SEEDS")); err == nil {
		return n
	}
	return 20
}

// expectLargestJobsServed plays a load with many seeds. The platform requires the largest tenth of a
// kind of jobs, and the fifth below it, to be served at least half as well as the whole kind.
// worthBefore is the mean worth of 60 seeds before jobs had service levels; the users allow a loss
// of 0.03.
func expectLargestJobsServed(t *testing.T, load playedLoad, worthBefore float64) {
	t.Parallel()
	// All seeds are played, also after a failure.
	g := NewGomega(func(message string, _ ...int) { t.Error(message) })
	worth := 0.0
	for seed := range playSeeds() {
		f := newPlayedFleet(t, load, uint64(seed+1))
		f.play(playLength)
		jobs := f.tally.bySize()
		tenth, fifth := max(1, len(jobs)/10), max(1, len(jobs)/5)
		all, largest, next := servedShare(jobs), servedShare(jobs[:tenth]), servedShare(jobs[tenth:tenth+fifth])
		t.Logf("seed %d: worth %.3f, served %.2f, largest tenth %.2f, next fifth %.2f, harmed %d", seed, f.worth(), all, largest, next, f.tally.harmed)
		g.Expect(min(largest, next)).To(BeNumerically(">=", all/2), fmt.Sprintf("seed %d", seed))
		g.Expect(f.tally.harmed).To(BeZero(), fmt.Sprintf("seed %d", seed))
		worth += f.worth() / float64(playSeeds())
	}
	t.Logf("worth %.3f", worth)
	g.Expect(worth).To(BeNumerically(">=", worthBefore-0.03))
}

func TestLargestJobsAreServedHalfAsWellAsTheMeanOfDispatch(t *testing.T) {
	expectLargestJobsServed(t, dispatchLoad, 0.716)
}

func TestLargestJobsAreServedHalfAsWellAsTheMeanOfCrier(t *testing.T) {
	expectLargestJobsServed(t, crierLoad, 0.693)
}

func TestLargestJobsAreServedHalfAsWellAsTheMeanBesideUnreachableWorkers(t *testing.T) {
	expectLargestJobsServed(t, unreachableLoad, 0.556)
}
