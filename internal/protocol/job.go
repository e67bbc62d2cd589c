package protocol

import (
	"regexp"
	"slices"

	"hitchdoor/internal/json"
)

// Job is the specification of a job as its user submits it. All tasks of a job have the same
// requirements.
type Job struct {
	ID                        string   `json:"uid"`          // unique id of the form that ValidJobID checks
	Class                     string   `json:"lote"`         // class of jobs for which objectives can be set
	Team                      string   `json:"dono"`         // team whose guarantee and quota the job uses
	Kind                      string   `json:"feitio"`       // JobKindBatch, as there is no other kind
	Priority                  Priority `json:"vez"`          // one of the Priority constants
	TaskCount                 int      `json:"pecas"`        // number of tasks, 1 to MaxTasksPerJob
	Cores                     float64  `json:"cores"`        // CPU cores per task
	Accelerators              float64  `json:"accelerators"` // accelerators per task
	MemoryGB                  float64  `json:"ramGb"`        // memory per task
	Image                     string   `json:"molde"`        // name of the image that a task needs; empty: none
	ImageGB                   float64  `json:"pullGb"`       // size of the image
	MachineTypes              []string `json:"portes"`       // names of the allowed types; nil: all, empty: none
	Zone                      string   `json:"praca"`        // the only allowed zone; empty: any (see ParseJob)
	SameZone                  bool     `json:"samePlace"`    // all tasks must run in one zone
	Spread                    bool     `json:"apart"`        // no zone may run more than half of the tasks, rounded up
	SpotAllowed               bool     `json:"avulsas"`      // tasks may run on spot machines
	EstimatedSeconds          float64  `json:"previstoS"`    // the user's estimate of a task's run time
	CheckpointIntervalSeconds float64  `json:"marcoS"`       // time between a task's checkpoints; 0: it saves none
	CheckpointSaveSeconds     float64  `json:"guardaS"`      // time that a task needs to save a checkpoint
	DeadlineSeconds           *float64 `json:"prazoS"`       // time from acceptance to completion; nil: no deadline
	// Dependencies are the ids, without duplicates, of the jobs that must be done before any task
	// of this job starts.
	Dependencies []string `json:"aguarda,omitempty"`
}

// jobIDPattern is the form of a job id. It allows no slash, as ids are part of keys and paths.
var jobIDPattern = regexp.MustCompile(`^j-[0-9A-Za-z][0-9A-Za-z._-]{0,99}$`)

// ValidJobID reports whether an id has the form of a job id.
func ValidJobID(id string) bool { return jobIDPattern.MatchString(id) }

// requiredFields are the names on the wire of the fields that a submission must have and that must
// not be null.
var requiredFields = []string{"uid", "lote", "dono", "feitio", "vez", "pecas", "cores", "accelerators", "ramGb",
	"molde", "pullGb", "samePlace", "apart", "avulsas", "previstoS", "marcoS", "guardaS"}

// ParseJob decodes a user's submission, validates all that does not depend on the settings, and reduces the
// amounts to their limits. The caller responds to any error with status 400. The error is an
// *InvalidBodyError, an *InvalidFieldError or a *NegativeAmountError.
//
// An empty zone names no zone, so that the job allows no machine. Job.Zone can't tell it from null, hence the job
// gets an empty list of machine types instead. It is not an error, because earlier versions accepted such jobs, and a
// repeated submission of an accepted job must not be rejected.
func ParseJob(body []byte) (*Job, error) {
	job, fields, err := decodeJob(body)
	if err != nil {
		return nil, err
	}
	if zone, given := fields["praca"]; given && string(zone) != "null" && job.Zone == "" {
		job.MachineTypes = []string{}
	}
	return job, nil
}

// ParseForwardedJob is ParseJob for a submission that another controller forwards. There an empty zone stands for
// null: Job.Zone is encoded that way.
func ParseForwardedJob(body []byte) (*Job, error) {
	job, _, err := decodeJob(body)
	return job, err
}

// EncodeSubmission encodes a job as its user submits it, for ParseJob: the zone is null if any is allowed.
func EncodeSubmission(job *Job) ([]byte, error) {
	submission := struct {
		*Job
		Zone *string `json:"praca"`
	}{Job: job}
	if job.Zone != "" {
		submission.Zone = &job.Zone
	}
	return json.Marshal(submission)
}

// decodeJob decodes and validates a submission. It also returns the submission's fields, by name on the wire.
func decodeJob(body []byte) (*Job, map[string]json.RawMessage, error) {
	if len(body) > MaxBodyBytes {
		return nil, nil, &InvalidBodyError{Reason: "body over 64 KiB"}
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil || fields == nil {
		return nil, nil, &InvalidBodyError{Reason: "not a JSON object", Err: err}
	}
	for _, name := range requiredFields {
		if raw, ok := fields[name]; !ok || string(raw) == "null" {
			return nil, nil, &InvalidFieldError{Field: name, Reason: "missing"}
		}
	}
	var job Job
	if err := json.Unmarshal(body, &job); err != nil {
		return nil, nil, &InvalidBodyError{Reason: "a field has the wrong type", Err: err}
	}
	if err := job.Validate(); err != nil {
		return nil, nil, err
	}
	job.LimitAmounts()
	job.Dependencies = withoutDuplicates(job.Dependencies)
	return &job, fields, nil
}

// withoutDuplicates removes repeated ids. It keeps the first occurrence of each id, and their order.
func withoutDuplicates(ids []string) []string {
	seen := make(map[string]bool, len(ids))
	return slices.DeleteFunc(ids, func(id string) bool {
		duplicate := seen[id]
		seen[id] = true
		return duplicate
	})
}

// Validate returns an error if the job is invalid whatever the settings are. The error is an
// *InvalidFieldError or a *NegativeAmountError.
func (j *Job) Validate() error {
	_, knownPriority := priorityRanks[j.Priority]
	switch {
	case !ValidJobID(j.ID):
		return &InvalidFieldError{Field: "uid", Reason: "not a job id"}
	case j.Class == "":
		return &InvalidFieldError{Field: "lote", Reason: "empty"}
	case j.Team == "":
		return &InvalidFieldError{Field: "dono", Reason: "empty"}
	case j.Kind != JobKindBatch:
		return &InvalidFieldError{Field: "feitio", Reason: "unknown"}
	case !knownPriority:
		return &InvalidFieldError{Field: "vez", Reason: "unknown"}
	case j.TaskCount < 1 || j.TaskCount > MaxTasksPerJob:
		return &InvalidFieldError{Field: "pecas", Reason: "must be 1 to 100,000"}
	}
	if err := j.validateAmounts(); err != nil {
		return err
	}
	if slices.ContainsFunc(j.Dependencies, func(id string) bool { return !ValidJobID(id) }) {
		return &InvalidFieldError{Field: "aguarda", Reason: "not a list of job ids"}
	}
	return nil
}

// validateAmounts returns an error if an amount or the deadline is negative or not a number.
func (j *Job) validateAmounts() error {
	for _, amount := range []struct {
		field string
		value float64
	}{
		{"cores", j.Cores}, {"accelerators", j.Accelerators}, {"ramGb", j.MemoryGB}, {"pullGb", j.ImageGB},
		{"previstoS", j.EstimatedSeconds}, {"marcoS", j.CheckpointIntervalSeconds},
		{"guardaS", j.CheckpointSaveSeconds},
	} {
		if !(amount.value >= 0) {
			return &NegativeAmountError{Field: amount.field}
		}
	}
	if j.DeadlineSeconds != nil && !(*j.DeadlineSeconds >= 0) {
		return &InvalidFieldError{Field: "prazoS", Reason: "negative"}
	}
	return nil
}

// AllowsMachineType reports whether the job's tasks may run on machines of the named type.
func (j *Job) AllowsMachineType(name string) bool {
	return j.MachineTypes == nil || slices.Contains(j.MachineTypes, name)
}

// AllowsNoMachine reports whether the job's tasks may run on no machine at all, whatever the cloud offers. Such
// a submission is rejected, but earlier versions accepted it.
func (j *Job) AllowsNoMachine() bool { return j.MachineTypes != nil && len(j.MachineTypes) == 0 }

// Forwarded returns the job as it is forwarded to the leader. Earlier versions take an empty list of machine types
// for all types, so it is replaced by the empty name, which no type has.
func (j *Job) Forwarded() *Job {
	if !j.AllowsNoMachine() {
		return j
	}
	forwarded := *j
	forwarded.MachineTypes = []string{""}
	return &forwarded
}
