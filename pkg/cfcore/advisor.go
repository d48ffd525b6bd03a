package cfcore

import (
	"context"
	"time"

	"cranberryford/pkg/cferror"
)

// AdvisorKind says why a request to an Advisor failed.
type AdvisorKind string

const (
	// AdvisorBusy means that the request was rejected because too many requests are waiting.
	AdvisorBusy AdvisorKind = "busy"
	// AdvisorNoAnswer means that the request got no response.
	AdvisorNoAnswer AdvisorKind = "no answer"
	// AdvisorBadAnswer means that the response cannot be decoded, that the request was rejected
	// for a reason other than that of AdvisorBusy, or that the request cannot be encoded.
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
