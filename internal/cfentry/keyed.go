package cfentry

import (
	"context"
	"net/http"

	"github.com/google/uuid"

	"cranberryford/pkg/cferror"
	"cranberryford/pkg/cfrecord"
	"cranberryford/pkg/cfroute"
	"cranberryford/pkg/cfwire"
)

// answerKeyed claims an idempotency key, executes the call, and stores the answer under
// the key. If another request has already claimed the key, the call is not executed.
func (e *Entry) answerKeyed(ctx context.Context, w http.ResponseWriter, svc *cfroute.Service, call *cfwire.Call, key string) {
	claim := &cfrecord.KeyClaim{
		Claim: cfrecord.BatchID(uuid.New()), Service: svc.Name, Key: key, Fingerprint: fingerprint(call),
	}
	existing, err := e.claimKey(ctx, claim)
	if err != nil {
		e.refuse(w, http.StatusServiceUnavailable, "the key cannot be claimed: "+err.Error())
		return
	}
	if existing != nil {
		e.answerRepeated(w, existing, claim)
		return
	}
	a := e.router.Do(ctx, svc, call).Answer
	e.settleKey(ctx, claim, a)
	e.writeAnswer(w, a)
}

// claimKey claims a key on the log. It returns nil if the claim succeeds. If another request
// holds the key, claimKey returns what this entry knows about that request.
func (e *Entry) claimKey(ctx context.Context, claim *cfrecord.KeyClaim) (*claimedKey, error) {
	if existing, err := e.lookUpKey(ctx, claim); existing != nil || err != nil {
		return existing, err
	}
	claimCtx, cancel := context.WithTimeout(ctx, e.cfg.Keyed.ClaimTimeout)
	defer cancel()
	res, err := e.submitAndWait(claimCtx, cfrecord.Record{KeyClaim: claim})
	if err != nil {
		if cferror.Is(err, KindOutcomeUnknown) {
			e.enqueue(context.WithoutCancel(ctx), claimAbandoned{claim: claim})
		}
		return nil, err
	}
	if res.outcomes[0].Rejection != "" {
		return e.lookUpKey(ctx, claim)
	}
	return nil, nil
}

// claimedKey describes the request that has claimed a key. The field fingerprint is the
// hash that the function fingerprint returned for the request. answer is nil if this entry
// does not know the answer.
type claimedKey struct {
	fingerprint uint64
	answer      *cfrecord.Answer
}

// lookUpKey looks up the key of claim in this entry's state. It returns nil if no request
// has claimed the key there, or if this entry has no state yet.
func (e *Entry) lookUpKey(ctx context.Context, claim *cfrecord.KeyClaim) (*claimedKey, error) {
	var out *claimedKey
	err := e.runOnControl(ctx, func(c *control) {
		if c.state() == nil {
			return
		}
		if k := c.state().Key(claim.Service, claim.Key); k != nil {
			out = &claimedKey{fingerprint: k.Fingerprint, answer: k.Answer}
		}
	})
	return out, err
}

// answerRepeated answers a request whose key is already claimed, without executing it.
func (e *Entry) answerRepeated(w http.ResponseWriter, existing *claimedKey, claim *cfrecord.KeyClaim) {
	switch {
	case existing.fingerprint != claim.Fingerprint:
		e.refuse(w, http.StatusUnprocessableEntity, "the key was used for another request")
	case existing.answer == nil:
		writeProblem(w, http.StatusConflict, cfwire.VerdictUnknown, "a request with this key was sent and its answer is not known")
	case existing.answer.Dropped:
		writeProblem(w, http.StatusConflict, cfwire.VerdictUnknown, "a request with this key was answered; its answer was too large to keep")
	default:
		w.Header().Set(HeaderRepeated, "true")
		h := http.Header{}
		if existing.answer.ContentType != "" {
			h.Set("Content-Type", existing.answer.ContentType)
		}
		e.writeAnswer(w, &cfwire.Answer{
			Verdict: cfwire.VerdictAnswered, Status: existing.answer.Status, Header: h, Body: existing.answer.Body,
		})
	}
}

// settleKey stores the answer of a call under the call's key, or releases the key if the
// call did not run. In two cases the key stays claimed without an answer: the verdict is
// Unknown, or the record that settleKey submits is lost. settleKey does not notice the loss,
// because it does not wait for the log. Repeated requests with such a key get the verdict
// Unknown.
func (e *Entry) settleKey(ctx context.Context, claim *cfrecord.KeyClaim, a *cfwire.Answer) {
	var r cfrecord.Record
	switch a.Verdict {
	case cfwire.VerdictNotRun:
		r.KeyRelease = &cfrecord.KeyRelease{Claim: claim.Claim, Service: claim.Service, Key: claim.Key}
	case cfwire.VerdictAnswered:
		stored := cfrecord.Answer{Status: a.Status, ContentType: a.Header.Get("Content-Type"), Body: a.Body}
		if len(a.Body) > e.cfg.Keyed.MaxAnswerBytes {
			stored = cfrecord.Answer{Status: a.Status, Dropped: true}
		}
		r.KeyAnswer = &cfrecord.KeyAnswer{Claim: claim.Claim, Service: claim.Service, Key: claim.Key, Answer: stored}
	default:
		return
	}
	e.enqueue(context.WithoutCancel(ctx), submitted{sub: &submission{records: []cfrecord.Record{r}}})
}
