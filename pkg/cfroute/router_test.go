package cfroute_test

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfcore/cfpick"
	"cranberryford/pkg/cfroute"
	"cranberryford/pkg/cfwire"
)

// fakeConn answers each call with the result of script. If the result is nil, fakeConn sends
// no answer.
type fakeConn struct {
	link          *cfroute.Link
	script        func(*cfwire.Call) *cfwire.Answer
	mu            sync.Mutex
	sinceReceived time.Duration
	sent          []*cfwire.Call
	done          chan struct{}
}

func (c *fakeConn) Send(m *cfwire.Message) error {
	if m.Call == nil {
		return nil
	}
	c.mu.Lock()
	c.sent = append(c.sent, m.Call)
	c.mu.Unlock()
	if a := c.script(m.Call); a != nil {
		a.ID = m.Call.ID
		go c.link.Deliver(a)
	}
	return nil
}

func (c *fakeConn) SinceReceived() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sinceReceived
}

func (c *fakeConn) Done() <-chan struct{} { return c.done }

func (c *fakeConn) calls() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.sent)
}

// answerWith returns a script that gives the same answer to all calls.
func answerWith(v cfwire.Verdict, busy bool) func(*cfwire.Call) *cfwire.Answer {
	return func(*cfwire.Call) *cfwire.Answer { return &cfwire.Answer{Verdict: v, Busy: busy, Status: 200} }
}

// fixture is a router with one service. Each target of the service has one connection.
type fixture struct {
	router *cfroute.Router
	svc    *cfroute.Service
	conns  []*fakeConn
}

func newFixture(scripts ...func(*cfwire.Call) *cfwire.Answer) *fixture {
	f := &fixture{svc: &cfroute.Service{Name: "s", Timeout: time.Second, Ejected: &atomic.Int64{}}}
	f.router = cfroute.New(cfroute.Settings{
		StaleAfter: time.Minute, SuspectAfter: 60 * time.Millisecond, EjectPercent: 50, EjectAfter: 3,
		EjectFor: time.Minute, RetryPercent: 10,
	}, cfpick.FewChoices{}, clockwork.NewRealClock(), rand.New(rand.NewPCG(1, 1)), tally.NoopScope)
	for _, script := range scripts {
		l := cfroute.NewLink("w", "i", 60*time.Millisecond)
		c := &fakeConn{link: l, script: script, done: make(chan struct{})}
		l.Add(c)
		b := &cfroute.Backend{Service: "s", Link: l, Target: cfcore.Target{Slots: 1}}
		f.router.RecordReport(b)
		f.svc.Backends = append(f.svc.Backends, b)
		f.conns = append(f.conns, c)
	}
	return f
}

func (f *fixture) do(method string) cfroute.Result {
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	return f.router.Do(ctx, f.svc, &cfwire.Call{Method: method})
}

func TestRetries(t *testing.T) {
	answered, notRun := cfwire.VerdictAnswered, cfwire.VerdictNotRun
	for name, c := range map[string]struct {
		first  cfwire.Verdict
		method string
		want   cfwire.Verdict
		sent   int
	}{
		"NotRun is retried for POST":      {notRun, "POST", answered, 2},
		"Unknown is not retried for POST": {cfwire.VerdictUnknown, "POST", cfwire.VerdictUnknown, 1},
		"Unknown is retried for GET":      {cfwire.VerdictUnknown, "GET", answered, 2},
		"Answered is not retried":         {answered, "GET", answered, 1},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var n atomic.Int64
			script := func(*cfwire.Call) *cfwire.Answer {
				if n.Add(1) == 1 {
					return &cfwire.Answer{Verdict: c.first}
				}
				return &cfwire.Answer{Verdict: answered}
			}
			f := newFixture(script, script)
			g.Expect(f.do(c.method).Answer.Verdict).To(Equal(c.want))
			g.Expect(int(n.Load())).To(Equal(c.sent))
		})
	}
}

func TestNoTarget(t *testing.T) {
	NewWithT(t).Expect(newFixture().do("GET").Answer.Verdict).To(Equal(cfwire.VerdictNotRun))
}

func TestRetryBudget(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(answerWith(cfwire.VerdictNotRun, true), answerWith(cfwire.VerdictNotRun, true), answerWith(cfwire.VerdictNotRun, true))
	const calls = 1000
	for range calls {
		f.do("POST")
	}
	sent := 0
	for _, c := range f.conns {
		sent += c.calls()
	}
	g.Expect(sent).To(BeNumerically("<=", calls+calls/10))
	g.Expect(sent).To(BeNumerically(">", calls))
}

func TestEjection(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(answerWith(cfwire.VerdictUnknown, false), answerWith(cfwire.VerdictAnswered, false), answerWith(cfwire.VerdictAnswered, false))
	for range 100 {
		f.do("POST")
	}
	g.Expect(f.conns[0].calls()).To(BeNumerically("<=", 3), "the failing target is ejected")
	allFailing := newFixture(answerWith(cfwire.VerdictUnknown, false), answerWith(cfwire.VerdictUnknown, false))
	for range 100 {
		allFailing.do("POST")
	}
	g.Expect(allFailing.conns[0].calls()+allFailing.conns[1].calls()).To(BeNumerically(">", 90), "at most EjectPercent of the targets are ejected")
}

func TestStalledConnectionIsReplaced(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(func(*cfwire.Call) *cfwire.Answer { return nil })
	first := f.conns[0]
	second := &fakeConn{link: first.link, script: answerWith(cfwire.VerdictAnswered, false), done: make(chan struct{})}
	go func() {
		time.Sleep(30 * time.Millisecond)
		first.mu.Lock()
		first.sinceReceived = time.Second
		first.mu.Unlock()
		first.link.Add(second)
	}()
	g.Expect(f.do("POST").Answer.Verdict).To(Equal(cfwire.VerdictAnswered))
	g.Expect(second.sent[0].ID).To(Equal(first.sent[0].ID), "a resent call keeps its ID, which the agent deduplicates by")
}

// If all connections of an entry have stalled, a call waits for its target's agent to
// reconnect, unless the agent is known to have ended.
func TestCallWaitsForReconnectingAgent(t *testing.T) {
	for name, c := range map[string]struct {
		reconnects, ended bool
		want              cfwire.Verdict
	}{
		"agent reconnects":             {reconnects: true, want: cfwire.VerdictAnswered},
		"agent does not reconnect":     {want: cfwire.VerdictNotRun},
		"agent is known to have ended": {ended: true, want: cfwire.VerdictNotRun},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := newFixture(answerWith(cfwire.VerdictAnswered, false))
			old := f.conns[0]
			old.sinceReceived = time.Second
			if c.ended {
				old.link.End()
			}
			if c.reconnects {
				time.AfterFunc(50*time.Millisecond, func() {
					old.link.Add(&fakeConn{link: old.link, script: answerWith(cfwire.VerdictAnswered, false), done: make(chan struct{})})
				})
			}
			start := time.Now()
			g.Expect(f.do("POST").Answer.Verdict).To(Equal(c.want))
			g.Expect(old.calls()).To(BeZero())
			if c.ended {
				g.Expect(time.Since(start)).To(BeNumerically("<", 50*time.Millisecond), "the call does not wait for an agent that has ended")
			}
		})
	}
}

func TestUnexpectedAnswerIsDropped(t *testing.T) {
	g := NewWithT(t)
	l := cfroute.NewLink("w", "i", time.Second)
	g.Expect(l.Deliver(&cfwire.Answer{ID: cfwire.CallID{7}})).To(BeFalse())
}

func BenchmarkDo(b *testing.B) {
	for _, n := range []int{3, 11, 50, 200} {
		b.Run(strconv.Itoa(n)+"-targets", func(b *testing.B) {
			scripts := make([]func(*cfwire.Call) *cfwire.Answer, n)
			for i := range scripts {
				scripts[i] = answerWith(cfwire.VerdictAnswered, false)
			}
			f := newFixture(scripts...)
			for _, c := range f.conns {
				c.script = scripts[0]
			}
			ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
			defer cancel()
			b.ReportAllocs()
			for b.Loop() {
				f.router.Do(ctx, f.svc, &cfwire.Call{Method: "POST"})
			}
		})
	}
}
