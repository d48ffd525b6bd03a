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

// maxIntentBytes limits the body of a request to the operators' API, such as an intent.
const maxIntentBytes = 4 << 20

// operatorsAPI implements the operators' API.
type operatorsAPI struct {
	*Entry
}

var _ cfapi.Handler = (*operatorsAPI)(nil)

// operatorsHandler returns the handler of the operators' API and the metrics endpoint.
func (e *Entry) operatorsHandler() (http.Handler, error) {
	o := &operatorsAPI{Entry: e}
	server, err := cfapi.NewServer(o, o)
	if err != nil {
		return nil, cferror.Wrap("set up the operators' API", KindSettings, err)
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", e.metrics)
	mux.Handle("/", http.MaxBytesHandler(server, maxIntentBytes))
	return mux, nil
}

// operatorKey is the context key of the operator's name.
type operatorKey struct{}

// operatorName returns the operator's name that HandleToken has stored in ctx, or "" if
// there is none.
func operatorName(ctx context.Context) string {
	name, _ := ctx.Value(operatorKey{}).(string)
	return name
}

// HandleToken implements cfapi.SecurityHandler. It compares the hash of t with the hash of
// every known token. Each comparison takes constant time, so the time of the whole check
// reveals nothing about the tokens.
func (o *operatorsAPI) HandleToken(ctx context.Context, _ cfapi.OperationName, t cfapi.Token) (context.Context, error) {
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
func (o *operatorsAPI) MakePlan(ctx context.Context, req *cfapi.Intent) (*cfapi.Plan, error) {
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
func (o *operatorsAPI) ConfirmPlan(ctx context.Context, p cfapi.ConfirmPlanParams) (*cfapi.Confirmation, error) {
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
func (o *operatorsAPI) GetStatus(ctx context.Context) (*cfapi.Status, error) {
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
func (o *operatorsAPI) ExplainTask(ctx context.Context, p cfapi.ExplainTaskParams) (*cfapi.Explanation, error) {
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

// explain returns the state and history of a task, or nil if there is no such task.
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
func (o *operatorsAPI) GetAudit(ctx context.Context, p cfapi.GetAuditParams) ([]cfapi.Event, error) {
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
func (o *operatorsAPI) GetHealth(context.Context) (*cfapi.Health, error) {
	return &cfapi.Health{State: "running"}, nil
}

// GetReady implements cfapi.Handler.
func (o *operatorsAPI) GetReady(context.Context) (*cfapi.Health, error) {
	switch {
	case o.leaving.Load():
		return nil, cferror.New("ready", KindNotReady, "this entry is leaving")
	case !o.ready.Load():
		return nil, cferror.New("ready", KindNotReady, "this entry has not read the log yet")
	}
	return &cfapi.Health{State: "ready"}, nil
}

// NewError implements cfapi.Handler.
func (o *operatorsAPI) NewError(_ context.Context, err error) *cfapi.ProblemStatusCode {
	status, kind := classify(err)
	return &cfapi.ProblemStatusCode{StatusCode: status, Response: cfapi.Problem{Kind: kind, Message: err.Error()}}
}

// classify returns the HTTP status for an error and the kind that the API reports.
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

// sortedKeys returns the keys of m in ascending order.
func sortedKeys[K ~string, V any](m map[K]V) []K {
	out := make([]K, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}
