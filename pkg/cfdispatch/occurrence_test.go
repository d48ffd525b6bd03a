package cfdispatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfdispatch"
	"cranberryford/pkg/cfjob"
)

// takeover replaces the planner by the next one, which restores the job from its records.
func (f *fleet) takeover(epoch cfcore.Epoch, e *cfjob.StoredJob) {
	s := settings
	s.Epoch = epoch
	var agents []string
	for a := range f.workers {
		agents = append(agents, a)
	}
	f.Planner = cfdispatch.New(s, agents, f.now.Add(time.Minute))
	f.AddJob(f.now, e, queue, true)
	f.report()
	for _, a := range agents {
		f.MarkAgentRecorded(a)
	}
}

// record stores the progress that must be recorded now.
func (f *fleet) record(e *cfjob.StoredJob) {
	updates, ends := f.TakeUnrecordedProgress(f.now, true)
	for _, u := range updates {
		if u.Progress != nil {
			e.Progress = u.Progress
		}
		for part, p := range u.Parts {
			e.Parts[part] = p
		}
	}
	f.MarkEndsRecorded(ends)
}

// endSome ends about one in n runs. It returns the tasks whose runs ended as done.
func (f *fleet) endSome(rng *rand.Rand, n int) []cfcore.TaskName {
	var done []cfcore.TaskName
	for _, a := range []string{"a", "b"} {
		w := f.workers[a]
		for k, s := range w.runs {
			if rng.IntN(n) > 0 {
				continue
			}
			how := cfcore.EndDone
			if rng.IntN(4) == 0 {
				how = cfcore.EndStopped
			}
			delete(w.runs, k)
			w.ended = append(w.ended, cfcore.EndedTask{Number: uint64(len(w.ended) + 1), Task: s.Task, Run: s.Run, How: how, Checkpoint: "cp"})
			if how == cfcore.EndDone {
				done = append(done, s.Task)
			}
		}
	}
	return done
}

// The planner keeps only some tasks and occurrences of a job in memory. All of them must run,
// none of them again after it was done, also if planners take over in between.
func TestAllOccurrencesRunOnceAcrossTakeovers(t *testing.T) {
	schedule := func(count int, period time.Duration) *cfjob.Schedule {
		return &cfjob.Schedule{Count: count, FirstRun: epochStart.Add(time.Second), Period: period}
	}
	first, second, gang, wide := newStep(3, 500), newStep(2, 500), newStep(3, 500), newStep(1700, 5)
	second.After, gang.Gang, gang.After, first.Checkpointing, wide.Checkpointing = []int{0}, true, []int{0}, true, true
	for name, c := range map[string]*cfjob.Job{
		"overlapping occurrences": {Steps: []cfjob.Step{first, second}, Schedule: schedule(40, 100*time.Millisecond)},
		"all due at once":         {Steps: []cfjob.Step{first, gang}, Schedule: schedule(300, 0)},
		"a wide step":             {Steps: []cfjob.Step{wide, second}},
		"wide occurrences":        {Steps: []cfjob.Step{wide}, Schedule: schedule(2, time.Second)},
	} {
		for seed := range 3 {
			t.Run(fmt.Sprintf("%s, seed %d", name, seed), func(t *testing.T) {
				rng := rand.New(rand.NewPCG(uint64(seed), 1))
				f := newFleet(t, newPlanner(), "a", "b")
				j := *c
				j.ID, j.Queue, j.Accepted = "j", queue, f.now
				e := &cfjob.StoredJob{Job: &j, Parts: map[int]*cfjob.Progress{}}
				f.AddJob(f.now, e, queue, false)
				epoch, done := settings.Epoch, map[cfcore.TaskName]bool{}
				for round := 0; e.Progress == nil || e.Progress.Outcome == cfjob.OutcomeNone; round++ {
					f.Expect(round).To(BeNumerically("<", 2000), "%d tasks done", len(done))
					f.runPlanner()
					for _, w := range f.workers {
						for _, s := range w.runs {
							f.Expect(done[s.Task]).To(BeFalse(), "%v started after it was done", s.Task)
						}
					}
					for _, n := range f.endSome(rng, 3) {
						done[n] = true
					}
					f.now = f.now.Add(100 * time.Millisecond)
					f.report()
					f.record(e)
					if rng.IntN(20) == 0 {
						epoch++
						f.takeover(epoch, e)
					}
				}
				f.Expect(e.Progress.Outcome).To(Equal(cfjob.OutcomeCompleted))
				for _, n := range allTasks(&j) {
					// The end of one member of a gang represents all of them.
					f.Expect(done[n] || j.Steps[n.Step].Gang).To(BeTrue(), "%v has not run", n)
				}
			})
		}
	}
}

// allTasks returns the names of all tasks of a job.
func allTasks(j *cfjob.Job) []cfcore.TaskName {
	var names []cfcore.TaskName
	for k := range j.Occurrences() {
		for s := range j.Steps {
			for i := range j.Steps[s].Count {
				names = append(names, cfcore.TaskName{Job: j.ID, Occurrence: k, Step: s, Index: i})
			}
		}
	}
	return names
}

// The record of a job's progress exceeded the platform's limit, and nothing was recorded any
// more. The tasks of a wide job must resume from checkpoints in records of their own.
func TestCheckpointsOfWideJobsAreRecordedInParts(t *testing.T) {
	const tasks = 1700
	f := newFleet(t, newPlanner(), "a", "b")
	wide := newStep(tasks, 2)
	wide.Resources.MemoryMB = 1
	wide.Checkpointing = true
	e := &cfjob.StoredJob{Job: &cfjob.Job{ID: "j", Queue: queue, Steps: []cfjob.Step{wide}, Accepted: f.now}, Parts: map[int]*cfjob.Progress{}}
	f.AddJob(f.now, e, queue, false)
	f.Expect(f.runPlanner()).To(HaveLen(tasks))
	f.report()
	f.endRuns("j", cfcore.EndStopped)
	f.report()
	for _, w := range f.workers {
		for i := range w.ended {
			w.ended[i].Checkpoint = "cp"
		}
	}
	f.takeover(settings.Epoch+1, e)
	f.record(e)
	f.Expect(e.TaskProgress()).To(HaveLen(tasks))
	f.Expect(len(e.Progress.Tasks)).To(BeNumerically("<=", tasks/3))
	for _, w := range f.workers {
		w.ended = nil
	}
	f.takeover(settings.Epoch+2, e)
	f.Expect(f.runPlanner()).To(HaveLen(tasks))
	for _, w := range f.workers {
		for _, s := range w.runs {
			f.Expect(s.Checkpoint).To(Equal("cp"), "%v", s.Task)
		}
	}
}

// Entries have clocks of their own, which can be seconds apart after one was set.
func TestJobOfAnEntryWhoseClockIsAheadStartsAtOnce(t *testing.T) {
	f := newFleet(t, newPlanner(), "a")
	job := &cfjob.Job{ID: "j", Queue: queue, Steps: []cfjob.Step{newStep(1, 100)}, Accepted: f.now.Add(3 * time.Second)}
	f.AddJob(f.now, &cfjob.StoredJob{Job: job}, queue, false)
	f.Expect(f.runPlanner()).To(ConsistOf("j.0@a"))
}
