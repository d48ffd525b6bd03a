package cfcore

import (
	"context"
	"time"

	"cranberryford/pkg/cferror"
)

// AdvisorKind is the kind of an AdvisorError.
type AdvisorKind string

// The kinds of errors of an Advisor.
const (
	// AdvisorBusy is a request that was rejected because too many requests are waiting.
	AdvisorBusy AdvisorKind = "busy"
	// AdvisorNoAnswer is a request without a response.
	AdvisorNoAnswer AdvisorKind = "no answer"
	// AdvisorBadAnswer is a response that cannot be decoded, or that refuses the request.
	AdvisorBadAnswer AdvisorKind = "bad answer"
)

// AdvisorError is the error type of all implementations of Advisor.
type AdvisorError = cferror.Error[AdvisorKind]

// StepName identifies one step of one occurrence of a job.
type StepName struct {
	Job        string
	Occurrence int
	Step       int
}

// Advisor is the policy service that decides which workers may run a step.
type Advisor interface {
	// Advise returns a ticket for each of the given workers that may run the step, by worker.
	// wait limits how long the service may take to answer.
	Advise(ctx context.Context, step StepName, workers []string, wait time.Duration) (map[string]string, error)
}
