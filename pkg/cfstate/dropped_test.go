package cfstate

import (
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
