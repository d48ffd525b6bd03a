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
	// AdvisorBusy is a question that was not taken, since too many wait.
	AdvisorBusy AdvisorKind = "busy"
	// AdvisorUnknown is a question without an answer.
	AdvisorUnknown AdvisorKind = "no answer"
	// AdvisorBadAnswer is an answer that cannot be decoded, or that refuses the question.
	AdvisorBadAnswer AdvisorKind = "bad answer"
)

// AdvisorError is the error type of all implementations of Advisor.
type AdvisorError = cferror.Error[AdvisorKind]

// StepName names one step of one occurrence of a job.
type StepName struct {
	Job        string
	Occurrence int
	Step       int
}

// Advisor is the policy service that decides which workers may run a step.
type Advisor interface {
	// Advise returns a ticket for each of the workers that may run the step. wait is how
	// long the service takes for an answer.
	Advise(ctx context.Context, step StepName, workers []string, wait time.Duration) (map[string]string, error)
}
