package cfagent

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"cranberryford/pkg/cfadmit"
	"cranberryford/pkg/cfwire"
)

// dialTimeout bounds the connecting to a target on the same VM.
const dialTimeout = time.Second

// newTransport returns the transport to targets. It never sends a request twice.
func newTransport() *http.Transport {
	d := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext: d.DialContext, MaxIdleConnsPerHost: 64, DisableCompression: true,
		IdleConnTimeout: 30 * time.Second,
	}
}

// call takes a call in. A call that came in before is not executed again.
func (a *Agent) call(ctx context.Context, conn *cfwire.Conn, c *cfwire.Call) {
	// The call goes on when its connection ends: its answer may go out on another.
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.Timeout)
	reply := func(ans *cfwire.Answer) {
		// An answer that cannot be sent is asked for again on another connection.
		_ = conn.Send(&cfwire.Message{Answer: ans})
	}
	if !a.calls.Begin(c.ID, cancel, reply) {
		cancel()
		a.Scope.Counter("calls_repeated").Inc(1)
		return
	}
	go func() {
		defer cancel()
		ans := a.execute(callCtx, c)
		a.Scope.Tagged(map[string]string{"verdict": string(ans.Verdict)}).Counter("calls").Inc(1)
		a.calls.Finish(ans)
	}()
}

// execute runs a call at its target, or refuses it.
func (a *Agent) execute(ctx context.Context, c *cfwire.Call) *cfwire.Answer {
	gate := a.targets.gate(c.Service, c.Target)
	if gate == nil {
		return &cfwire.Answer{ID: c.ID, Verdict: cfwire.VerdictNotRun, Reason: "the target is no longer on this VM"}
	}
	deadline, _ := ctx.Deadline()
	done, refusal := gate.Enter(ctx, deadline)
	if refusal != cfadmit.Admitted {
		busy := refusal == cfadmit.RefusedFull || refusal == cfadmit.RefusedLate
		return &cfwire.Answer{ID: c.ID, Verdict: cfwire.VerdictNotRun, Reason: string(refusal), Busy: busy}
	}
	// The target goes on with a call that nobody waits for any more. It keeps its
	// slot until the target has answered, so that no more calls execute than slots.
	holdCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), a.cfg.SlotHold)
	result := make(chan *cfwire.Answer, 1)
	go func() {
		defer cancel()
		defer done()
		result <- a.send(holdCtx, c)
	}()
	select {
	case ans := <-result:
		return ans
	case <-ctx.Done():
		return &cfwire.Answer{ID: c.ID, Verdict: cfwire.VerdictUnknown, Reason: "the target gave no answer in time"}
	}
}

// onceBody keeps the transport from sending a request again by itself.
type onceBody struct{ io.Reader }

func (onceBody) Close() error { return nil }

func (a *Agent) send(ctx context.Context, c *cfwire.Call) *cfwire.Answer {
	url := "http://" + c.Target.String() + c.Path
	req, err := http.NewRequestWithContext(ctx, c.Method, url, onceBody{bytes.NewReader(c.Body)})
	if err != nil {
		return &cfwire.Answer{ID: c.ID, Verdict: cfwire.VerdictNotRun, Reason: err.Error()}
	}
	req.ContentLength = int64(len(c.Body))
	req.Header = c.Header.Clone()
	resp, err := a.transport.RoundTrip(req)
	if err != nil {
		return failedSend(c.ID, err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, a.cfg.MaxBodyBytes+1))
	if err != nil {
		return &cfwire.Answer{ID: c.ID, Verdict: cfwire.VerdictUnknown, Reason: "the target's answer broke off"}
	}
	if int64(len(body)) > a.cfg.MaxBodyBytes {
		return &cfwire.Answer{ID: c.ID, Verdict: cfwire.VerdictUnknown, Reason: "the target's answer is too large"}
	}
	return &cfwire.Answer{
		ID: c.ID, Verdict: cfwire.VerdictAnswered, Status: resp.StatusCode, Header: resp.Header, Body: body,
	}
}

// failedSend tells a target that could not be connected to, which has not seen
// the call, from one that may have.
func failedSend(id cfwire.CallID, err error) *cfwire.Answer {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return &cfwire.Answer{ID: id, Verdict: cfwire.VerdictNotRun, Reason: "the target cannot be connected to"}
	}
	return &cfwire.Answer{ID: id, Verdict: cfwire.VerdictUnknown, Reason: "the target gave no whole answer"}
}
