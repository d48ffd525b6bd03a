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
