package cfjob

// Estimates of the memory that a planner needs, in bytes.
const (
	jobMemory  = 1200
	stepMemory = 300
	// cancellationMemory is the memory of a cancellation of an unknown job.
	cancellationMemory = 200
	// taskMemory is the memory of a task that has no run and no checkpoint.
	taskMemory = 16
	// savedTaskMemory is the memory of a task with a checkpoint or failed runs.
	savedTaskMemory = 600
	indexMemory     = 8
)

// EstimateMemory returns an estimate of the memory that a planner needs for a job before its
// tasks run.
func (j *Job) EstimateMemory() int { return j.definitionMemory() + taskMemory*j.TasksPerOccurrence() }

// definitionMemory returns an estimate of the memory of the job's fields.
func (j *Job) definitionMemory() int {
	n := jobMemory + len(j.Spec)
	for i := range j.Steps {
		s := &j.Steps[i]
		n += stepMemory + indexMemory*len(s.After) + len(s.Requirement) + len(s.DataRack) + len(s.Image)
	}
	return n
}

// estimateMemory returns an estimate of the memory that a planner needs for a stored job.
func (j *StoredJob) estimateMemory() int {
	switch {
	case j.Job == nil:
		return cancellationMemory
	case j.Ended():
		return j.Job.definitionMemory()
	}
	n := j.Job.EstimateMemory()
	if j.Progress != nil {
		n += len(j.Progress.Done) + savedTaskMemory*len(j.Progress.Tasks)
	}
	for _, p := range j.Parts {
		n += savedTaskMemory * len(p.Tasks)
	}
	return n
}
