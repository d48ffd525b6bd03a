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

// dialTimeout limits the time to connect to a target on the same VM.
const dialTimeout = time.Second

// newTransport returns the transport to targets. It never sends a request twice if the
// request's body is a onceBody.
func newTransport() *http.Transport {
	d := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext: d.DialContext, MaxIdleConnsPerHost: 64, DisableCompression: true,
		IdleConnTimeout: 30 * time.Second,
	}
}

// handleCall executes a call in a new goroutine and sends its answer. A call that has
// arrived before is not executed again, but gets the answer of its first execution.
func (a *Agent) handleCall(ctx context.Context, conn *cfwire.Conn, c *cfwire.Call) {
	// The call continues if its connection closes, because its answer can be sent on
	// another connection.
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.Timeout)
	reply := func(ans *cfwire.Answer) {
		// If the answer cannot be sent, the entry repeats the call on another
		// connection and gets the answer there.
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

// execute sends a call to its target and returns the answer. If the call is not admitted
// or gets no answer in time, the answer says so.
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
	// A call that has timed out keeps its slot until the target answers, or until SlotHold
	// has passed since the call got the slot. The target possibly still executes the call.
	// If the slot were free, the target could execute more calls than it has slots.
	holdCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), a.cfg.SlotHold)
	result := make(chan *cfwire.Answer, 1)
	go func() {
		defer cancel()
		defer done()
		result <- a.forward(holdCtx, c)
	}()
	select {
	case ans := <-result:
		return ans
	case <-ctx.Done():
		return &cfwire.Answer{ID: c.ID, Verdict: cfwire.VerdictUnknown, Reason: "the target gave no answer in time"}
	}
}

// onceBody is a request body that the transport cannot rewind, because onceBody hides the
// type of its reader. The transport therefore never sends the request twice.
type onceBody struct{ io.Reader }

func (onceBody) Close() error { return nil }

// forward sends a call to its target and returns the answer.
func (a *Agent) forward(ctx context.Context, c *cfwire.Call) *cfwire.Answer {
	url := "http://" + c.Target.String() + c.Path
	req, err := http.NewRequestWithContext(ctx, c.Method, url, onceBody{bytes.NewReader(c.Body)})
	if err != nil {
		return &cfwire.Answer{ID: c.ID, Verdict: cfwire.VerdictNotRun, Reason: err.Error()}
	}
	req.ContentLength = int64(len(c.Body))
	req.Header = c.Header.Clone()
	resp, err := a.transport.RoundTrip(req)
	if err != nil {
		return sendFailure(c.ID, err)
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

// sendFailure returns the answer for a failed request to a target. If the connection could
// not be opened, the target has not received the call, and the verdict is NotRun. Otherwise
// the verdict is Unknown.
func sendFailure(id cfwire.CallID, err error) *cfwire.Answer {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return &cfwire.Answer{ID: id, Verdict: cfwire.VerdictNotRun, Reason: "the target cannot be connected to"}
	}
	return &cfwire.Answer{ID: id, Verdict: cfwire.VerdictUnknown, Reason: "the target gave no whole answer"}
}
