// Package protocol defines the messages of every interface: users, workers, the cloud and the
// other controllers. It encodes, decodes and validates them, and does no I/O.
//
// The names on the wire are fixed by the protocol. The Go identifiers use the terms of the field;
// the struct tags are the only mapping between the two.
package protocol

import (
	"regexp"
	"slices"
	"strconv"
	"time"

	"github.com/segmentio/encoding/json"
)

// Limits and timeouts of the protocol.
const (
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes = 64 << 10
	// MaxTasksPerJob bounds the tasks of a job.
	MaxTasksPerJob = 100_000
	// HeartbeatTimeout is how long a worker waits for the response to a heartbeat. It drops a
	// later response.
	HeartbeatTimeout = 4 * time.Second
	// NextNodeDelay is how long a worker that got no response waits before it tries the next node.
	NextNodeDelay = time.Second
	// SubmissionRetryWindow is how long users retry a submission that was not accepted.
	SubmissionRetryWindow = 60 * time.Second
)

// Job is the specification of a job as its user submits it.
type Job struct {
	ID                        string   `json:"uid"`
	Class                     string   `json:"lote"`
	Team                      string   `json:"dono"`
	Kind                      string   `json:"feitio"`
	Priority                  Priority `json:"vez"`
	TaskCount                 int      `json:"pecas"`
	Cores                     float64  `json:"cores"`
	Accelerators              float64  `json:"accelerators"`
	MemoryGB                  float64  `json:"ramGb"`
	Image                     string   `json:"molde"`
	ImageGB                   float64  `json:"pullGb"`
	MachineTypes              []string `json:"portes"`
	Zone                      string   `json:"praca"`
	SameZone                  bool     `json:"samePlace"`
	Spread                    bool     `json:"apart"`
	SpotAllowed               bool     `json:"avulsas"`
	EstimatedSeconds          float64  `json:"previstoS"`
	CheckpointIntervalSeconds float64  `json:"marcoS"`
	CheckpointSaveSeconds     float64  `json:"guardaS"`
	DeadlineSeconds           *float64 `json:"prazoS"`
	// Dependencies are the ids, without duplicates, of the jobs that must be done before any task
	// of this job starts.
	Dependencies []string `json:"aguarda,omitempty"`
}

// jobIDPattern is the form of a job id. Ids are part of keys and paths, so it allows no slash.
var jobIDPattern = regexp.MustCompile(`^j-[0-9A-Za-z][0-9A-Za-z._-]{0,99}$`)

// ValidJobID reports whether an id has the form of a job id.
func ValidJobID(id string) bool { return jobIDPattern.MatchString(id) }

// requiredFields are the fields of a submission that must be present and not null.
var requiredFields = []string{"uid", "lote", "dono", "feitio", "vez", "pecas", "cores", "accelerators", "ramGb",
	"molde", "pullGb", "samePlace", "apart", "avulsas", "previstoS", "marcoS", "guardaS"}

// ParseJob decodes a submission and validates all that does not depend on the settings. Any error
// means status 400; it is an *InvalidBodyError, an *InvalidFieldError or a *NegativeAmountError.
func ParseJob(body []byte) (*Job, error) {
	if len(body) > MaxBodyBytes {
		return nil, &InvalidBodyError{Reason: "body over 64 KiB"}
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil || fields == nil {
		return nil, &InvalidBodyError{Reason: "not a JSON object", Err: err}
	}
	for _, name := range requiredFields {
		if raw, ok := fields[name]; !ok || string(raw) == "null" {
			return nil, &InvalidFieldError{Field: name, Reason: "missing"}
		}
	}
	var job Job
	if err := json.Unmarshal(body, &job); err != nil {
		return nil, &InvalidBodyError{Reason: "a field has the wrong type", Err: err}
	}
	if err := job.Validate(); err != nil {
		return nil, err
	}
	job.Dependencies = withoutDuplicates(job.Dependencies)
	return &job, nil
}

// withoutDuplicates removes repeated ids and keeps the order of the first ones.
func withoutDuplicates(ids []string) []string {
	seen := make(map[string]bool, len(ids))
	return slices.DeleteFunc(ids, func(id string) bool {
		duplicate := seen[id]
		seen[id] = true
		return duplicate
	})
}

// Validate returns an error if no settings would allow the job: an *InvalidFieldError or a
// *NegativeAmountError.
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

// validateAmounts returns an error if an amount is negative or not a number.
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

// JobStatus is the response to a submission, a query and a cancellation.
type JobStatus struct {
	ID           string   `json:"uid"`
	State        JobState `json:"situacao"`
	DoneTasks    *int     `json:"done,omitempty"`
	RunningTasks *int     `json:"running,omitempty"`
}

// WorkerHeartbeat is the periodic message of a worker: its machine, the newest fencing token it
// has seen, and all tasks on the machine. The protocol calls it a report. Of two heartbeats of a
// machine, the one with the larger (epoch, sequence) is newer; a worker begins a new epoch when its
// lease has expired.
type WorkerHeartbeat struct {
	Machine                 string       `json:"maquina"`
	Address                 string       `json:"address"`
	Type                    string       `json:"porte"`
	Zone                    string       `json:"praca"`
	Spot                    bool         `json:"avulsas"`
	Epoch                   uint64       `json:"turno"`
	Sequence                uint64       `json:"contagem"`
	FencingToken            uint64       `json:"bastao"`
	PreemptionNoticeSeconds *float64     `json:"avisoS"`
	Tasks                   []TaskStatus `json:"pecas"`
}

// TaskStatus is the status of one task attempt in a worker's heartbeat.
type TaskStatus struct {
	TaskID          string     `json:"peca"`
	Attempt         uint64     `json:"tentativa"`
	State           TaskState  `json:"situacao"`
	ExitReason      ExitReason `json:"motivo,omitempty"`
	CheckpointSaved bool       `json:"saved,omitempty"`
}

// ParseWorkerHeartbeat decodes a worker's heartbeat. Machine and epoch are required: without them
// heartbeats can't be ordered. The error is an *InvalidBodyError.
func ParseWorkerHeartbeat(body []byte) (*WorkerHeartbeat, error) {
	var heartbeat WorkerHeartbeat
	if err := json.Unmarshal(body, &heartbeat); err != nil {
		return nil, &InvalidBodyError{Reason: err.Error(), Err: err}
	}
	if heartbeat.Machine == "" || heartbeat.Epoch == 0 {
		return nil, &InvalidBodyError{Reason: "report without machine or session"}
	}
	return &heartbeat, nil
}

// TaskID returns the id of the job's task with the given index.
func TaskID(jobID string, index int) string { return jobID + "/" + strconv.Itoa(index) }

// Command instructs a worker to start, stop or forget a task attempt.
type Command struct {
	Kind         CommandKind `json:"ordem"`
	TaskID       string      `json:"peca"`
	Attempt      uint64      `json:"tentativa"`
	GraceSeconds *float64    `json:"folgaS,omitempty"`
}

// HeartbeatResponse is the body of status 200 to a worker's heartbeat. A worker drops it if the
// token is lower than the highest one it has seen.
type HeartbeatResponse struct {
	FencingToken uint64    `json:"bastao"`
	Commands     []Command `json:"ordens"`
}

// HeartbeatRedirect is the body of status 421 to a worker's heartbeat; it names the node to use.
type HeartbeatRedirect struct {
	Node string `json:"reportaA,omitempty"`
}

// MachineType is one entry of the cloud's catalogue. Prices are per hour.
type MachineType struct {
	Name            string   `json:"sku"`
	Cores           float64  `json:"cores"`
	Accelerators    float64  `json:"accelerators"`
	MemoryGB        float64  `json:"ramGb"`
	ImageCacheGB    float64  `json:"cacheGb"`
	PullGBPerSecond float64  `json:"pullGbPerS"`
	OnDemandPrice   float64  `json:"rate"`
	SpotPrice       float64  `json:"marketPrice"`
	BootSeconds     float64  `json:"readyS"`
	Zones           []string `json:"pracas"`
}

// Price returns the current price per hour.
func (t *MachineType) Price(spot bool) float64 {
	if spot {
		return t.SpotPrice
	}
	return t.OnDemandPrice
}

// PricePerCore returns the current price per core and hour.
func (t *MachineType) PricePerCore(spot bool) float64 { return t.Price(spot) / t.Cores }

// Catalog is the response of the cloud's /catalog.
type Catalog struct {
	Types []MachineType `json:"portes"`
}

// RentalRequest requests machines from the cloud. RequestID makes the call idempotent: the cloud
// returns the same machines for the same id, so an id must never be reused.
type RentalRequest struct {
	RequestID string `json:"pedido"`
	Type      string `json:"porte"`
	Zone      string `json:"praca"`
	Spot      bool   `json:"avulsas"`
	Count     int    `json:"count"`
}

// MachineNames is the response to a rental request and the body of a return request.
type MachineNames struct {
	Machines []string `json:"maquinas"`
}

// HostPage is one page of the cloud's machine list.
type HostPage struct {
	Machines  []Host `json:"maquinas"`
	Truncated bool   `json:"truncated"`
}

// Host is one machine in the cloud's list.
type Host struct {
	Name          string    `json:"uid"`
	Address       string    `json:"address"`
	Type          string    `json:"porte"`
	Zone          string    `json:"praca"`
	Spot          bool      `json:"avulsas"`
	State         HostState `json:"situacao"`
	RentedSeconds float64   `json:"heldS"`
}
