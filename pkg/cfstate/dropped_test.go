package cfstate

import (
	"maps"
	"testing"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfrecord"
)

// Beyond MaxEndedTasks, the state drops the oldest ended tasks. A task that was done must not
// run again when its workload is accepted again.
func TestDroppedDoneTaskIsNotCreatedAgain(t *testing.T) {
	s := NewState()
	rc := &recordContext{state: s}
	w := &cfcore.Workload{Name: "b", Class: cfcore.ClassBatch, Replicas: 4}
	p := &cfrecord.Plan{ID: "p"}
	rc.applyWorkload(w, p, "x")
	id := cfcore.NewTaskID("b", 1)
	rc.endTask(s.Tasks[id], TaskDone, "done")
	s.EndedTasks = nil
	s.dropTask(id)
	rc.applyWorkload(w, p, "x")
	if again := s.Tasks[id]; again != nil {
		t.Errorf("task %s was done and is %s again", id, again.Status)
	}
}

// A task that was dropped leaves a gap in the indexes of its workload. Operations on the workload
// ended at the gap: the tasks behind it went on after the workload was removed.
func TestTasksBehindADroppedOneAreKept(t *testing.T) {
	for name, c := range map[string]struct {
		status TaskStatus
		apply  func(rc *recordContext, p *cfrecord.Plan)
		want   map[int]TaskStatus
	}{
		"removed": {TaskPending, func(rc *recordContext, p *cfrecord.Plan) { rc.removeWorkload("b", p, "x") },
			map[int]TaskStatus{0: TaskCancelled, 2: TaskCancelled, 3: TaskCancelled}},
		"fewer replicas": {TaskPending, func(rc *recordContext, p *cfrecord.Plan) {
			rc.applyWorkload(&cfcore.Workload{Name: "b", Class: cfcore.ClassBatch, Replicas: 1}, p, "x")
		}, map[int]TaskStatus{0: TaskPending, 2: TaskCancelled, 3: TaskCancelled}},
		"restarted": {TaskHeld, func(rc *recordContext, p *cfrecord.Plan) { rc.restartHeldTasks("b", p, "x") },
			map[int]TaskStatus{0: TaskPending, 2: TaskPending, 3: TaskPending}},
		"removed and created again": {TaskPending, func(rc *recordContext, p *cfrecord.Plan) {
			rc.removeWorkload("b", p, "x")
			rc.applyWorkload(&cfcore.Workload{Name: "b", Class: cfcore.ClassBatch, Replicas: 2}, p, "x")
		}, map[int]TaskStatus{0: TaskPending, 1: TaskPending}},
	} {
		t.Run(name, func(t *testing.T) {
			s := NewState()
			rc := &recordContext{state: s}
			p := &cfrecord.Plan{ID: "p"}
			rc.applyWorkload(&cfcore.Workload{Name: "b", Class: cfcore.ClassBatch, Replicas: 4}, p, "x")
			id := cfcore.NewTaskID("b", 1)
			rc.endTask(s.Tasks[id], TaskDone, "done")
			s.EndedTasks = nil
			s.dropTask(id)
			for _, task := range s.Tasks {
				rc.setStatus(task, c.status, "")
			}
			codec, err := cfrecord.NewCodec()
			if err != nil {
				t.Fatal(err)
			}
			data, err := s.Encode(codec)
			if err != nil {
				t.Fatal(err)
			}
			// The state is restored from a snapshot.
			if rc.state, err = Decode(codec, data); err != nil {
				t.Fatal(err)
			}
			c.apply(rc, p)
			got := map[int]TaskStatus{}
			for _, task := range rc.state.Tasks {
				got[task.Index] = task.Status
			}
			if !maps.Equal(got, c.want) {
				t.Errorf("statuses %v, want %v", got, c.want)
			}
		})
	}
}

// A workload that has ended was deleted with the first of its tasks, and accepted again as a new one.
func TestEndedWorkloadIsKeptWithItsLastTask(t *testing.T) {
	s := NewState()
	rc := &recordContext{state: s}
	w := &cfcore.Workload{Name: "b", Class: cfcore.ClassBatch, Replicas: 20}
	p := &cfrecord.Plan{ID: "p"}
	rc.applyWorkload(w, p, "x")
	status := func(i int) TaskStatus { return []TaskStatus{TaskDone, TaskFailed, TaskCancelled}[i%3] }
	for i := range 20 {
		rc.endTask(s.Tasks[cfcore.NewTaskID("b", i)], status(i), "")
	}
	for i := range 19 {
		s.dropTask(s.EndedTasks[0])
		s.EndedTasks = s.EndedTasks[1:]
		if s.Workloads["b"] == nil {
			t.Fatalf("the workload was dropped with task %d of 20", i+1)
		}
	}
	rc.applyWorkload(w, p, "x")
	for i := range 20 {
		again := s.Tasks[cfcore.NewTaskID("b", i)]
		if created := again != nil && again.Status == TaskPending; created != (status(i) == TaskCancelled) {
			t.Errorf("task %d was %s; created again: %t", i, status(i), created)
		}
	}
	for _, id := range s.EndedTasks {
		s.dropTask(id)
	}
	s.EndedTasks = nil
	for _, task := range s.TasksOf(s.Workloads["b"]) {
		rc.endTask(task, TaskDone, "")
	}
	for len(s.EndedTasks) > 0 {
		s.dropTask(s.EndedTasks[0])
		s.EndedTasks = s.EndedTasks[1:]
	}
	if len(s.Workloads) > 0 || len(s.Tasks) > 0 {
		t.Errorf("%d workloads and %d tasks are left", len(s.Workloads), len(s.Tasks))
	}
}
