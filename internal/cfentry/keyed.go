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

// answerKeyed claims a key, runs the call, and keeps its answer under the key.
func (e *Entry) answerKeyed(ctx context.Context, w http.ResponseWriter, svc *cfroute.Service, call *cfwire.Call, key string) {
	claim := &cfrecord.KeyClaim{
		Claim: cfrecord.BatchID(uuid.New()), Service: svc.Name, Key: key, Print: fingerprint(call),
	}
	held, err := e.claimKey(ctx, claim)
	if err != nil {
		e.refuse(w, http.StatusServiceUnavailable, "the key cannot be claimed: "+err.Error())
		return
	}
	if held != nil {
		e.repeat(w, held, claim)
		return
	}
	a := e.router.Do(ctx, svc, call).Answer
	e.settle(ctx, claim, a)
	e.write(w, a)
}

// claimKey claims a key on the log. It returns the key where it is held already.
func (e *Entry) claimKey(ctx context.Context, claim *cfrecord.KeyClaim) (*heldKey, error) {
	if held, err := e.lookUp(ctx, claim); held != nil || err != nil {
		return held, err
	}
	claimCtx, cancel := context.WithTimeout(ctx, e.cfg.Keyed.ClaimTimeout)
	defer cancel()
	res, err := e.change(claimCtx, cfrecord.Record{KeyClaim: claim})
	if err != nil {
		if cferror.Is(err, KindUnknown) {
			e.tell(context.WithoutCancel(ctx), claimAbandoned{claim: claim})
		}
		return nil, err
	}
	if res.outcomes[0].Void != "" {
		return e.lookUp(ctx, claim)
	}
	return nil, nil
}

// heldKey is a key that another request has claimed.
type heldKey struct {
	print  uint64
	answer *cfrecord.Answer
}

func (e *Entry) lookUp(ctx context.Context, claim *cfrecord.KeyClaim) (*heldKey, error) {
	var out *heldKey
	err := e.ask(ctx, func(c *control) {
		if c.state() == nil {
			return
		}
		if k := c.state().Key(claim.Service, claim.Key); k != nil {
			out = &heldKey{print: k.Print, answer: k.Answer}
		}
	})
	return out, err
}

// repeat answers a request whose key is held, without running it.
func (e *Entry) repeat(w http.ResponseWriter, held *heldKey, claim *cfrecord.KeyClaim) {
	switch {
	case held.print != claim.Print:
		e.refuse(w, http.StatusUnprocessableEntity, "the key was used for another request")
	case held.answer == nil:
		problem(w, http.StatusConflict, cfwire.VerdictUnknown, "a request with this key was sent and its answer is not known")
	case held.answer.Dropped:
		problem(w, http.StatusConflict, cfwire.VerdictUnknown, "a request with this key was answered; its answer was too large to keep")
	default:
		w.Header().Set(HeaderRepeated, "true")
		h := http.Header{}
		if held.answer.ContentType != "" {
			h.Set("Content-Type", held.answer.ContentType)
		}
		e.write(w, &cfwire.Answer{
			Verdict: cfwire.VerdictAnswered, Status: held.answer.Status, Header: h, Body: held.answer.Body,
		})
	}
}

// settle keeps an answer under its key, or gives the key back where the call did
// not run. Nothing waits for it: a key without an answer is answered as unknown.
func (e *Entry) settle(ctx context.Context, claim *cfrecord.KeyClaim, a *cfwire.Answer) {
	var r cfrecord.Record
	switch a.Verdict {
	case cfwire.VerdictNotRun:
		r.KeyRelease = &cfrecord.KeyRelease{Claim: claim.Claim, Service: claim.Service, Key: claim.Key}
	case cfwire.VerdictAnswered:
		kept := cfrecord.Answer{Status: a.Status, ContentType: a.Header.Get("Content-Type"), Body: a.Body}
		if len(a.Body) > e.cfg.Keyed.MaxAnswerBytes {
			kept = cfrecord.Answer{Status: a.Status, Dropped: true}
		}
		r.KeyAnswer = &cfrecord.KeyAnswer{Claim: claim.Claim, Service: claim.Service, Key: claim.Key, Answer: kept}
	default:
		return
	}
	e.tell(context.WithoutCancel(ctx), submitted{sub: &submission{records: []cfrecord.Record{r}}})
}
