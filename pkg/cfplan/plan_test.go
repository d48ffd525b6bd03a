package cfplan_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cferror"
	"cranberryford/pkg/cfintent"
	"cranberryford/pkg/cfplan"
	"cranberryford/pkg/cfrecord"
	"cranberryford/pkg/cfstate"
)

var planTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func teamWithQuota(milliCores int64) cfcore.Team {
	return cfcore.Team{Name: "granite-spring", Quota: cfcore.Resources{MilliCores: milliCores, MemoryMB: 1000}}
}

func newWorkload(name string, c cfcore.Class, replicas int) cfcore.Workload {
	return cfcore.Workload{
		Name: name, Class: c, Team: "granite-spring", Replicas: replicas,
		Resources: cfcore.Resources{MilliCores: 100, MemoryMB: 10}, Permissions: []cfcore.Permission{cfcore.PermitRestart},
	}
}

// newState returns a state with one worker, the service "dispatch" and the batch workload
// "route-plan".
func newState(t *testing.T) *cfstate.State {
	t.Helper()
	s := cfstate.NewState()
	s.Apply(1, &cfrecord.Batch{ID: cfrecord.BatchID{1}, At: planTime, By: "p", Records: []cfrecord.Record{
		{Claim: &cfrecord.Claim{Epoch: 1, Entry: "p"}},
		{WorkerUp: &cfrecord.WorkerUp{Epoch: 1, Worker: "vm-1", Instance: "i", Capacity: cfcore.Resources{MilliCores: 1000, MemoryMB: 100}}},
	}})
	plan, err := cfplan.Make(s, cfplan.Request{ID: "first", Who: "alice", At: planTime, Intent: cfintent.Intent{
		Teams:     []cfcore.Team{teamWithQuota(2000)},
		Workloads: []cfcore.Workload{newWorkload("dispatch", cfcore.ClassService, 2), newWorkload("route-plan", cfcore.ClassBatch, 3)},
	}})
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	s.Apply(2, &cfrecord.Batch{ID: cfrecord.BatchID{2}, At: planTime, By: "p", Records: []cfrecord.Record{
		{Planned: &cfrecord.PlanProposed{Plan: *plan}}, {Confirmed: &cfrecord.PlanConfirmed{Plan: plan.ID}},
	}})
	return s
}

func formatPlan(p *cfrecord.Plan) string {
	var b strings.Builder
	for _, s := range p.Steps {
		fmt.Fprintf(&b, "%s | %s | %s\n", s.Action, s.Subject, s.Detail)
	}
	fmt.Fprintf(&b, "base %d touches %v\n", p.Base, p.Touches)
	return b.String()
}

func TestPlans(t *testing.T) {
	held := newWorkload("relay", cfcore.ClassWatch, 1)
	held.Permissions = nil
	changed := newWorkload("dispatch", cfcore.ClassService, 4)
	changed.Timeout = 5 * time.Second
	for name, in := range map[string]cfintent.Intent{
		"create":       {Workloads: []cfcore.Workload{newWorkload("bulletin", cfcore.ClassBatch, 2), held}},
		"change":       {Workloads: []cfcore.Workload{changed}, Teams: []cfcore.Team{teamWithQuota(3000)}},
		"remove_drain": {Remove: []string{"route-plan"}, Drain: []cfcore.WorkerID{"vm-1"}},
	} {
		t.Run(name, func(t *testing.T) {
			p, err := cfplan.Make(newState(t), cfplan.Request{ID: "p", Who: "alice", At: planTime, Intent: in})
			NewWithT(t).Expect(err).NotTo(HaveOccurred())
			goldie.New(t).Assert(t, name, []byte(formatPlan(p)))
		})
	}
}

func TestRefusedIntents(t *testing.T) {
	huge := newWorkload("huge", cfcore.ClassBatch, 1)
	huge.Resources.MilliCores = 5000
	bigger := newWorkload("dispatch", cfcore.ClassService, 2)
	bigger.Resources.MemoryMB = 20
	for name, c := range map[string]struct {
		in   cfintent.Intent
		want string
	}{
		"empty":            {cfintent.Intent{}, "asks for nothing"},
		"never fits":       {cfintent.Intent{Workloads: []cfcore.Workload{huge}}, "can never run"},
		"over quota":       {cfintent.Intent{Workloads: []cfcore.Workload{newWorkload("more", cfcore.ClassBatch, 20)}}, "quota"},
		"other class":      {cfintent.Intent{Workloads: []cfcore.Workload{newWorkload("dispatch", cfcore.ClassBatch, 2)}}, "cannot become"},
		"other size":       {cfintent.Intent{Workloads: []cfcore.Workload{bigger}}, "cannot change"},
		"unknown workload": {cfintent.Intent{Remove: []string{"nothing"}}, "no workload"},
		"unknown worker":   {cfintent.Intent{Drain: []cfcore.WorkerID{"nothing"}}, "no worker"},
		"unknown team":     {cfintent.Intent{Workloads: []cfcore.Workload{{Name: "x", Class: cfcore.ClassWatch, Team: "other", Replicas: 1, Resources: cfcore.Resources{MilliCores: 1, MemoryMB: 1}}}}, "no team"},
		"bad name":         {cfintent.Intent{Workloads: []cfcore.Workload{newWorkload("No Name", cfcore.ClassWatch, 1)}}, "must be 1 to 100"},
		"set and removed":  {cfintent.Intent{Workloads: []cfcore.Workload{newWorkload("dispatch", cfcore.ClassService, 2)}, Remove: []string{"dispatch"}}, "is in Workloads too"},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			_, err := cfplan.Make(newState(t), cfplan.Request{ID: "p", At: planTime, Intent: c.in})
			g.Expect(cferror.Is(err, cfplan.KindInvalid)).To(BeTrue())
			g.Expect(err).To(MatchError(ContainSubstring(c.want)))
		})
	}
	_, err := cfplan.Make(newState(t), cfplan.Request{ID: "p", At: planTime, Intent: cfintent.Intent{Teams: []cfcore.Team{teamWithQuota(2000)}}})
	NewWithT(t).Expect(cferror.Is(err, cfplan.KindNoChange)).To(BeTrue())
}
