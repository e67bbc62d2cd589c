// Package protocol defines the messages of every interface: users, workers, the cloud and the
// other controllers. It encodes, decodes and validates them, and does no I/O.
//
// The names on the wire are fixed by the protocol. The Go identifiers use the usual English terms;
// the struct tags are the only mapping between the two.
package protocol

import (
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
