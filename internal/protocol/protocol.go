// Package protocol defines the messages of every interface: users, workers, the cloud and the
// other controllers. It encodes, decodes and validates them, and does no I/O.
//
// The names on the wire are fixed by the protocol. The Go identifiers use the usual English terms;
// the struct tags are the only mapping between the two.
package protocol

import (
	"regexp"
	"slices"
	"strconv"
	"time"

	"hitchdoor/internal/json"
)

// Limits and timeouts of the protocol.
const (
	// MaxBodyBytes is the largest body of a submission that is accepted.
	MaxBodyBytes = 64 << 10
	// MaxTasksPerJob is the largest number of tasks that a job may have.
	MaxTasksPerJob = 100_000
	// HeartbeatTimeout is how long a worker waits for the response to a heartbeat. The worker drops
	// a response that arrives later.
	HeartbeatTimeout = 4 * time.Second
	// QueryTimeout is how long a user waits for the response to a query.
	QueryTimeout = 2 * time.Second
	// SubmissionTimeout is how long a user waits for the response to a submission or a cancellation.
	SubmissionTimeout = 5 * time.Second
	// HealthCheckTimeout is how long the load balancer waits for the response to a health check.
	HealthCheckTimeout = time.Second
	// NextNodeDelay is how long a worker waits after a heartbeat without a response before it sends
	// one to the next node.
	NextNodeDelay = time.Second
	// SubmissionRetryWindow is how long users keep retrying a submission that is not accepted.
	SubmissionRetryWindow = 60 * time.Second
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

// JobStatus is the response to a submission, a query and a cancellation.
type JobStatus struct {
	ID           string   `json:"uid"`               // job id
	State        JobState `json:"situacao"`          // state of the job
	DoneTasks    *int     `json:"done,omitempty"`    // number of finished tasks; nil: not stated
	RunningTasks *int     `json:"running,omitempty"` // tasks that run or save a checkpoint; nil: not stated
}

// WorkerHeartbeat is the periodic message of a worker, which the protocol calls a report. It names
// the worker's machine, the newest fencing token that the worker has seen, and all tasks on the
// machine. Of two heartbeats of a machine, the one with the larger (epoch, sequence) is newer. A
// worker begins a new epoch when its lease has expired.
type WorkerHeartbeat struct {
	Machine                 string       `json:"maquina"`  // name of the machine, as the cloud names it
	Address                 string       `json:"address"`  // source address; tells apart workers of the same name
	Type                    string       `json:"porte"`    // name of the machine type
	Zone                    string       `json:"praca"`    // zone of the machine
	Spot                    bool         `json:"avulsas"`  // the cloud may preempt the machine
	Epoch                   uint64       `json:"turno"`    // from 1; larger after each expiry of the worker's lease
	Sequence                uint64       `json:"contagem"` // number of the heartbeat within the epoch
	FencingToken            uint64       `json:"bastao"`   // highest fencing token that the worker has seen
	PreemptionNoticeSeconds *float64     `json:"avisoS"`   // time until the machine is preempted; nil: no notice
	Tasks                   []TaskStatus `json:"pecas"`    // all task attempts on the machine
}

// TaskStatus is the status of one task attempt in a worker's heartbeat.
type TaskStatus struct {
	TaskID          string     `json:"peca"`             // id that the function TaskID builds
	Attempt         uint64     `json:"tentativa"`        // number of the attempt
	State           TaskState  `json:"situacao"`         // state of the attempt
	ExitReason      ExitReason `json:"motivo,omitempty"` // empty unless the state is TaskExited
	CheckpointSaved bool       `json:"saved,omitempty"`  // the attempt saved a checkpoint before it exited
}

// ParseWorkerHeartbeat decodes a worker's heartbeat. The machine and the epoch are required, because
// heartbeats can't be ordered without them. The error is an *InvalidBodyError.
func ParseWorkerHeartbeat(body []byte) (*WorkerHeartbeat, error) {
	var heartbeat WorkerHeartbeat
	if err := json.Unmarshal(body, &heartbeat); err != nil {
		return nil, &InvalidBodyError{Reason: err.Error(), Err: err}
	}
	if heartbeat.Machine == "" || heartbeat.Epoch == 0 {
		return nil, &InvalidBodyError{Reason: "report without machine or session"}
	}
	heartbeat.limitAmounts()
	return &heartbeat, nil
}

// TaskID returns the id of the job's task with the given index.
func TaskID(jobID string, index int) string { return jobID + "/" + strconv.Itoa(index) }

// Command instructs a worker to start, stop or forget a task attempt.
type Command struct {
	Kind         CommandKind `json:"ordem"`            // what to do
	TaskID       string      `json:"peca"`             // id that the function TaskID builds
	Attempt      uint64      `json:"tentativa"`        // number of the attempt
	GraceSeconds *float64    `json:"folgaS,omitempty"` // in a stop command, the time to save a checkpoint; else nil
}

// HeartbeatResponse is the body of a response with status 200 to a worker's heartbeat. The worker drops the
// response if its fencing token is lower than the highest one that the worker has seen.
type HeartbeatResponse struct {
	FencingToken uint64    `json:"bastao"` // fencing token of the leader that sends the commands
	Commands     []Command `json:"ordens"` // commands for the worker; may be empty
}

// HeartbeatRedirect is the body of a response with status 421 to a worker's heartbeat.
type HeartbeatRedirect struct {
	Node string `json:"reportaA,omitempty"` // name of the node to which the worker is to send its heartbeats
}

// MachineType is one entry of the cloud's catalogue. Prices are per hour and change over time.
type MachineType struct {
	Name            string   `json:"sku"`          // unique in the catalogue
	Cores           float64  `json:"cores"`        // CPU cores of a machine
	Accelerators    float64  `json:"accelerators"` // accelerators of a machine
	MemoryGB        float64  `json:"ramGb"`        // memory of a machine
	ImageCacheGB    float64  `json:"cacheGb"`      // total size of the images that a machine keeps
	PullGBPerSecond float64  `json:"pullGbPerS"`   // rate at which a machine pulls images
	OnDemandPrice   float64  `json:"rate"`         // price of a machine that the cloud does not preempt
	SpotPrice       float64  `json:"marketPrice"`  // price of a machine that the cloud may preempt
	BootSeconds     float64  `json:"readyS"`       // time from the rental until a machine is ready
	Zones           []string `json:"pracas"`       // zones in which the type is offered
}

// Price returns the current price per hour, of a spot machine or of one on demand.
func (t *MachineType) Price(spot bool) float64 {
	if spot {
		return t.SpotPrice
	}
	return t.OnDemandPrice
}

// PricePerCore returns the current price per core and hour, of a spot machine or of one on demand.
func (t *MachineType) PricePerCore(spot bool) float64 { return t.Price(spot) / t.Cores }

// Catalog is the body of the cloud's response to GET /catalog.
type Catalog struct {
	Types []MachineType `json:"portes"` // machine types that the cloud offers
}

// RentalRequest requests machines from the cloud. RequestID makes the request idempotent: the cloud
// responds with the same machines to the same id, so another rental must never use the id again.
type RentalRequest struct {
	RequestID string `json:"pedido"`  // unique id of the rental
	Type      string `json:"porte"`   // name of the machine type
	Zone      string `json:"praca"`   // zone of the machines
	Spot      bool   `json:"avulsas"` // the cloud may preempt the machines
	Count     int    `json:"count"`   // number of machines
}

// MachineNames is the response to a rental request and the body of a return request.
type MachineNames struct {
	Machines []string `json:"maquinas"` // names of the machines
}

// HostPage is one page of the cloud's list of machines, in order of their names.
type HostPage struct {
	Machines  []Host `json:"maquinas"`  // machines on this page
	Truncated bool   `json:"truncated"` // further machines follow on the next page
}

// Host is one machine in the cloud's list.
type Host struct {
	Name          string    `json:"uid"`      // unique name of the machine
	Address       string    `json:"address"`  // not used
	Type          string    `json:"porte"`    // name of the machine type
	Zone          string    `json:"praca"`    // zone of the machine
	Spot          bool      `json:"avulsas"`  // the cloud may preempt the machine
	State         HostState `json:"situacao"` // state of the machine according to the cloud
	RentedSeconds float64   `json:"heldS"`    // time since the machine was rented
}
