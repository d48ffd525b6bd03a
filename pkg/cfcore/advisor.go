package cfcore

import (
	"context"
	"time"

	"cranberryford/pkg/cferror"
)

// AdvisorKind says why a request to an Advisor failed.
type AdvisorKind string

const (
	// AdvisorBusy is a request that was rejected because too many requests are waiting.
	AdvisorBusy AdvisorKind = "busy"
	// AdvisorNoAnswer is a request without a response.
	AdvisorNoAnswer AdvisorKind = "no answer"
	// AdvisorBadAnswer is a response that cannot be decoded, a rejection for a reason other
	// than that of AdvisorBusy, or a request that cannot be encoded.
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
	// Advise asks which of the given workers are allowed to run the step. It returns a ticket
	// for each allowed worker, by worker. wait is the time that the service has to answer.
	Advise(ctx context.Context, step StepName, workers []string, wait time.Duration) (map[string]string, error)
}
