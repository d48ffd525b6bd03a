package cfentry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"cranberryford/pkg/cfcommon"
	"cranberryford/pkg/cfconfig"
	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfrecord"
	"cranberryford/pkg/cfroute"
	"cranberryford/pkg/cfstate"
	"cranberryford/pkg/cfwire"
)

// newAgentConn returns a connection to an agent that ignores all messages.
func newAgentConn(t *testing.T, codec *cfrecord.Codec) *cfwire.Conn {
	opts := cfwire.Options{Codec: codec, Clock: clockwork.NewRealClock(), Self: cfwire.Peer{Role: cfwire.RoleControl, Name: "w", Instance: "a"}}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, closeConn, err := cfwire.Accept(context.Background(), w, r, opts)
		if err != nil {
			return
		}
		defer closeConn()
		for err == nil {
			_, err = conn.Receive(context.Background())
		}
	}))
	t.Cleanup(s.Close)
	conn, closeConn, err := cfwire.Dial(context.Background(), netip.MustParseAddrPort(s.Listener.Addr().String()), opts)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(closeConn)
	return conn
}

// An agent that has lost a connection opens another one. A request that it wrote before can arrive
// later, and name an instance of the VM that was replaced since. A planner that believes it ends all
// runs of the newer instance, which go on there, and assigns their tasks elsewhere.
func TestLateRequestOfAFormerInstanceEndsNoRuns(t *testing.T) {
	g := NewWithT(t)
	codec, err := cfrecord.NewCodec()
	g.Expect(err).NotTo(HaveOccurred())
	common := &cfcommon.Common{Log: zerolog.Nop(), Clock: clockwork.NewFakeClock(), Scope: tally.NoopScope, Codec: codec}
	c := newControl(&Entry{Common: common, cfg: cfconfig.DefaultEntry(), id: "e"})
	c.router = cfroute.New(cfroute.Settings{}, nil, common.Clock, common.Rand(1), common.Scope)
	c.reader.StartEmpty()
	s := c.state()
	s.Epoch, s.Planner = 1, c.id
	task := &cfstate.Task{ID: cfcore.NewTaskID("k", 0), Workload: "k", Status: cfstate.TaskAssigned, Assignment: 7, Worker: "w", Instance: "2"}
	s.Workloads["k"] = &cfstate.Workload{Spec: cfcore.Workload{Name: "k", Class: cfcore.ClassBatch}, Live: 1}
	s.Tasks[task.ID], s.Assigned[7] = task, task.ID
	s.Workers["w"] = &cfstate.Worker{ID: "w", Instance: "2", Tasks: map[cfcore.TaskID]cfcore.Assignment{task.ID: 7}}
	former, newer := &session{conn: newAgentConn(t, codec), worker: "w", agentInstance: "a"}, &session{conn: newAgentConn(t, codec), worker: "w", agentInstance: "a"}
	c.handleEvent(sessionUp{session: former})
	c.handleEvent(grantRequestReceived{session: former, request: &cfwire.GrantRequest{Seq: 1, Instance: "1"}})
	c.handleEvent(sessionUp{session: newer})
	c.handleEvent(grantRequestReceived{session: newer, request: &cfwire.GrantRequest{Seq: 1, Instance: "2"}})
	c.handleEvent(grantRequestReceived{session: former, request: &cfwire.GrantRequest{Seq: 2, Instance: "1"}})
	for _, r := range c.planner.Decide(c.plannerInput()) {
		g.Expect(r.Ended).To(BeNil(), "the run goes on in instance 2")
	}
}
