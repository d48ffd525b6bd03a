package cfentry

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"sort"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/ogen-go/ogen/ogenerrors"

	"cranberryford/internal/cfapi"
	"cranberryford/internal/cfconvert"
	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cferror"
	"cranberryford/pkg/cfplan"
	"cranberryford/pkg/cfrecord"
	"cranberryford/pkg/cfstate"
)

// maxIntentBytes limits the body of an operator's request.
const maxIntentBytes = 4 << 20

// operators implements the operators' API.
type operators struct {
	*Entry
}

var _ cfapi.Handler = (*operators)(nil)

func (e *Entry) operatorsHandler() (http.Handler, error) {
	o := &operators{Entry: e}
	server, err := cfapi.NewServer(o, o)
	if err != nil {
		return nil, cferror.Wrap("operators", KindSettings, err)
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", e.metrics)
	mux.Handle("/", http.MaxBytesHandler(server, maxIntentBytes))
	return mux, nil
}

// operatorKey is the context key of the operator's name.
type operatorKey struct{}

func operatorName(ctx context.Context) string {
	name, _ := ctx.Value(operatorKey{}).(string)
	return name
}

// HandleToken implements cfapi.SecurityHandler. It compares all tokens, each in
// constant time, to leak nothing through its timing.
func (o *operators) HandleToken(ctx context.Context, _ cfapi.OperationName, t cfapi.Token) (context.Context, error) {
	sum := sha256.Sum256([]byte(t.GetToken()))
	name := ""
	for _, known := range o.cfg.Tokens {
		want, err := hex.DecodeString(known.Hash)
		if err == nil && subtle.ConstantTimeCompare(sum[:], want) == 1 {
			name = known.Name
		}
	}
	if name == "" {
		o.Scope.Counter("tokens_refused").Inc(1)
		return nil, errors.New("the token is not known")
	}
	return context.WithValue(ctx, operatorKey{}, name), nil
}

// MakePlan implements cfapi.Handler.
func (o *operators) MakePlan(ctx context.Context, req *cfapi.Intent) (*cfapi.Plan, error) {
	var plan *cfrecord.Plan
	var planErr error
	err := o.runOnControl(ctx, func(c *control) {
		if c.state() == nil {
			planErr = cferror.New("make plan", KindNotReady, "this entry has not read the log yet")
			return
		}
		plan, planErr = cfplan.Make(c.state(), cfplan.Request{
			ID: cfcore.PlanID(uuid.NewString()[:13]), Who: operatorName(ctx), At: o.Clock.Now(), Intent: cfconvert.IntentFromAPI(req),
		})
	})
	if err = errors.CombineErrors(planErr, err); err != nil {
		return nil, err
	}
	if _, err := o.submitAndWait(ctx, cfrecord.Record{Planned: &cfrecord.PlanProposed{Plan: *plan}}); err != nil {
		return nil, err
	}
	return planToAPI(plan), nil
}

// ConfirmPlan implements cfapi.Handler.
func (o *operators) ConfirmPlan(ctx context.Context, p cfapi.ConfirmPlanParams) (*cfapi.Confirmation, error) {
	res, err := o.submitAndWait(ctx, cfrecord.Record{Confirmed: &cfrecord.PlanConfirmed{
		Plan: cfcore.PlanID(p.Plan), Who: operatorName(ctx),
	}})
	if err != nil {
		return nil, err
	}
	if out := res.outcomes[0]; out.Rejection != "" {
		return nil, cferror.New("confirm", KindRefused, "plan %s: %s %s", p.Plan, out.Rejection, out.Detail)
	}
	return &cfapi.Confirmation{Plan: p.Plan, Offset: int64(res.offset)}, nil
}

// GetStatus implements cfapi.Handler.
func (o *operators) GetStatus(ctx context.Context) (*cfapi.Status, error) {
	var out *cfapi.Status
	err := o.runOnControl(ctx, func(c *control) {
		if c.state() != nil {
			out = c.status()
		}
	})
	if err == nil && out == nil {
		err = cferror.New("status", KindNotReady, "this entry has not read the log yet")
	}
	return out, err
}

// ExplainTask implements cfapi.Handler.
func (o *operators) ExplainTask(ctx context.Context, p cfapi.ExplainTaskParams) (*cfapi.Explanation, error) {
	var out *cfapi.Explanation
	err := o.runOnControl(ctx, func(c *control) {
		if c.state() != nil {
			out = explain(c.state(), cfcore.TaskID(p.Task))
		}
	})
	if err == nil && out == nil {
		err = cferror.New("explain", KindNotFound, "there is no task %q; a task is named WORKLOAD/INDEX", p.Task)
	}
	return out, err
}

func explain(s *cfstate.State, id cfcore.TaskID) *cfapi.Explanation {
	t := s.Tasks[id]
	if t == nil {
		return nil
	}
	out := &cfapi.Explanation{Task: taskToAPI(t), Workload: t.Workload, Events: eventsToAPI(t.History)}
	if w := s.Workloads[t.Workload]; w != nil {
		out.Class = string(w.Spec.Class)
		out.Plan = string(w.Plan)
		for _, p := range w.Spec.Permissions {
			out.Permissions = append(out.Permissions, string(p))
		}
	}
	return out
}

// GetAudit implements cfapi.Handler.
func (o *operators) GetAudit(ctx context.Context, p cfapi.GetAuditParams) ([]cfapi.Event, error) {
	var out []cfapi.Event
	err := o.runOnControl(ctx, func(c *control) {
		if c.state() == nil {
			return
		}
		events := c.state().Audit
		out = eventsToAPI(events[max(0, len(events)-p.Limit.Or(len(events))):])
	})
	return out, err
}

// GetHealth implements cfapi.Handler.
func (o *operators) GetHealth(context.Context) (*cfapi.Health, error) {
	return &cfapi.Health{State: "running"}, nil
}

// GetReady implements cfapi.Handler.
func (o *operators) GetReady(context.Context) (*cfapi.Health, error) {
	switch {
	case o.leaving.Load():
		return nil, cferror.New("ready", KindNotReady, "this entry is leaving")
	case !o.ready.Load():
		return nil, cferror.New("ready", KindNotReady, "this entry has not read the log yet")
	}
	return &cfapi.Health{State: "ready"}, nil
}

// NewError implements cfapi.Handler.
func (o *operators) NewError(_ context.Context, err error) *cfapi.ProblemStatusCode {
	status, kind := classify(err)
	return &cfapi.ProblemStatusCode{StatusCode: status, Response: cfapi.Problem{Kind: kind, Message: err.Error()}}
}

// classify returns the HTTP status and the API's kind of an error.
func classify(err error) (int, cfapi.ProblemKind) {
	var security *ogenerrors.SecurityError
	switch {
	case errors.As(err, &security):
		return http.StatusUnauthorized, cfapi.ProblemKindUnauthorized
	case cferror.Is(err, cfplan.KindInvalid), cferror.Is(err, cfplan.KindNoChange):
		return http.StatusUnprocessableEntity, cfapi.ProblemKindInvalid
	case cferror.Is(err, KindRefused):
		return http.StatusConflict, cfapi.ProblemKindConflict
	case cferror.Is(err, KindNotFound):
		return http.StatusNotFound, cfapi.ProblemKindNotFound
	case cferror.Is(err, KindUnavailable), cferror.Is(err, KindNotReady):
		return http.StatusServiceUnavailable, cfapi.ProblemKindUnavailable
	case cferror.Is(err, KindOutcomeUnknown):
		return http.StatusGatewayTimeout, cfapi.ProblemKindUnknown
	}
	return http.StatusInternalServerError, cfapi.ProblemKindInternal
}

func sortedNames[K ~string, V any](m map[K]V) []K {
	out := make([]K, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}
