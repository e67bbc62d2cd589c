package fakes

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"hitchdoor/internal/config"
	"hitchdoor/internal/history"
	"hitchdoor/internal/protocol"
)

// Fleet is a fake of the cloud and of the workers on its machines. It serves the cloud's HTTP
// interface and runs one worker per machine, which sends heartbeats to the controllers.
type Fleet struct {
	Server *Server

	settings          FleetSettings
	operations        operationLog
	mu                sync.Mutex
	lastMachineNumber int
	machinesByRental  map[string][]string     // names of the rented machines, by ID of the rental request
	workers           map[string]*worker      // by machine name
	uploadedJobs      map[string]protocol.Job // job specifications that the workers know, by job ID
	startCounts       map[string]int          // number of starts, by task ID
	runningCopies     map[string]int          // number of machines that run a task, by task ID
	// runningTasks is the number of tasks on all machines that have not exited.
	runningTasks    int
	completedTasks  map[string]bool // IDs of the tasks that have completed
	workerContext   context.Context // context of the heartbeat loops, cancelled by Close
	stopWorkers     context.CancelFunc
	workerLoops     sync.WaitGroup // counts the workers' heartbeat loops
	totals          TaskTotals
	duplicatedTasks []string // tasks that ran on two machines at once
	wronglyStopped  []string // tasks stopped although not cancelled and without a second copy

	cloudUnavailable  bool
	blockedTo         map[string]bool      // controllers that get no heartbeats, by name
	blockedFrom       map[string]bool      // controllers whose responses do not arrive, by name
	cancelRequested   map[string]bool      // jobs whose cancellation a user has requested
	cancelConfirmedAt map[string]time.Time // when a controller confirmed the cancellation, by job ID
}

// FleetSettings configure the machines and the workers of a Fleet.
type FleetSettings struct {
	Nodes             map[string]string // the controllers' client addresses, by name
	HeartbeatInterval time.Duration
	LeaseDuration     time.Duration // worker lease: time without a response after which a worker kills its tasks
	BootTime          time.Duration // time between the rental of a machine and its first heartbeat
	TaskRunTime       time.Duration // run time of each task; 0: within a tenth of its job's estimate
	MaxMachines       int           // upper bound of the machines up at the same time
	InitialMachines   int           // number of machines that SetNodes starts
	CoresPerMachine   float64       // 0: defaultCores
	// LateHeartbeatShare is the share of heartbeats of which a copy is sent again after up to a lease.
	// SetLateHeartbeats changes it.
	LateHeartbeatShare float64
	History            *history.Recorder // gets what the workers and the cloud observe; nil: none
	Seed               uint64
}

// TaskTotals counts the tasks that the workers ran, by outcome.
type TaskTotals struct {
	// LostByLease includes the tasks of machines that were removed.
	Started, Finished, Stopped, LostByLease int
	LostRunTime                             time.Duration // run time of tasks that exited without completing
	CancelledOverdue                        int           // tasks that still run too long after their cancellation
}

// defaultCores is the number of cores of a machine if FleetSettings.CoresPerMachine is 0.
const defaultCores = 4

// NewFleet starts a fake cloud without machines. Machines are added by SetNodes and by rentals, and
// their workers send heartbeats until the fleet is closed.
func NewFleet(settings FleetSettings) (*Fleet, error) {
	if settings.CoresPerMachine == 0 {
		settings.CoresPerMachine = defaultCores
	}
	f := &Fleet{settings: settings, machinesByRental: map[string][]string{}, workers: map[string]*worker{},
		startCounts: map[string]int{}, runningCopies: map[string]int{}, completedTasks: map[string]bool{},
		uploadedJobs: map[string]protocol.Job{}, cancelRequested: map[string]bool{},
		cancelConfirmedAt: map[string]time.Time{}}
	f.workerContext, f.stopWorkers = context.WithCancel(context.Background())
	var err error
	if f.Server, err = newServer(f); err != nil {
		f.stopWorkers()
		return nil, err
	}
	return f, nil
}

// SetNodes sets the controllers' client addresses, by name, and starts the initial machines. It is
// for controllers whose addresses are not known when the fleet is created.
func (f *Fleet) SetNodes(nodes map[string]string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settings.Nodes = nodes
	for len(f.workers) < f.settings.InitialMachines {
		f.addMachine()
	}
}

// Close stops all workers, waits for them and closes the server.
func (f *Fleet) Close() {
	f.stopWorkers()
	f.workerLoops.Wait()
	f.Server.Close()
}

// UploadJob makes a job's specification known to the workers, as users do before the submission.
func (f *Fleet) UploadJob(job protocol.Job) {
	f.mu.Lock()
	f.uploadedJobs[job.ID] = job
	f.mu.Unlock()
}

// RecordCancelRequest records that a user has requested the cancellation of a job.
func (f *Fleet) RecordCancelRequest(job string) {
	f.mu.Lock()
	f.cancelRequested[job] = true
	f.mu.Unlock()
}

// RecordCancelConfirmation records that a controller has confirmed a job's cancellation to its user.
func (f *Fleet) RecordCancelConfirmation(job string) {
	f.mu.Lock()
	f.cancelConfirmedAt[job] = time.Now()
	f.mu.Unlock()
}

// StartCounts returns how often each task was started.
func (f *Fleet) StartCounts() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	counts := make(map[string]int, len(f.startCounts))
	for task, count := range f.startCounts {
		counts[task] = count
	}
	return counts
}

// DuplicatedTasks lists the tasks that ran on two machines at once.
func (f *Fleet) DuplicatedTasks() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.duplicatedTasks)
}

// WronglyStoppedTasks lists the tasks that were stopped although their jobs were not cancelled and
// they ran on no other machine.
func (f *Fleet) WronglyStoppedTasks() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.wronglyStopped)
}

// OperationsSince lists the commands that workers received, and the requests that the cloud
// received, at or after a time.
func (f *Fleet) OperationsSince(from time.Time) []Operation { return f.operations.since(from) }

// TaskTotals returns the totals so far. A running task counts in CancelledOverdue once cancelTimeout
// has passed since the cancellation of its job was confirmed.
func (f *Fleet) TaskTotals(cancelTimeout time.Duration) TaskTotals {
	f.mu.Lock()
	defer f.mu.Unlock()
	totals := f.totals
	for _, machine := range f.workers {
		for _, machineTask := range machine.tasks {
			if confirmedAt, confirmed := f.cancelConfirmedAt[jobOfTask(machineTask.TaskID)]; confirmed &&
				machineTask.State == protocol.TaskRunning && time.Since(confirmedAt) > cancelTimeout {
				totals.CancelledOverdue++
			}
		}
	}
	return totals
}

// RunningTasks returns the number of tasks on all machines that have not exited.
func (f *Fleet) RunningTasks() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runningTasks
}

// MachineCount returns the number of machines that are rented.
func (f *Fleet) MachineCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.workers)
}

// MachineInventory lists the tasks that a machine's worker knows, including exited ones.
type MachineInventory struct {
	Machine     string
	Partitioned bool
	Tasks       []protocol.TaskStatus
}

// Inventories returns the inventories of all machines, sorted by name.
func (f *Fleet) Inventories() []MachineInventory {
	f.mu.Lock()
	defer f.mu.Unlock()
	var inventories []MachineInventory
	for _, machine := range f.workers {
		machine.advanceToNow()
		inventory := MachineInventory{Machine: machine.name, Partitioned: machine.partitioned}
		for _, machineTask := range machine.tasks {
			inventory.Tasks = append(inventory.Tasks, machineTask.TaskStatus)
		}
		inventories = append(inventories, inventory)
	}
	slices.SortFunc(inventories, func(a, b MachineInventory) int { return strings.Compare(a.Machine, b.Machine) })
	return inventories
}

// InjectTask adds a running task to a machine without a command from a controller.
func (f *Fleet) InjectTask(machine, task string, attempt uint64, runTime time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	target := f.workers[machine]
	target.addTask(protocol.TaskStatus{TaskID: task, Attempt: attempt, State: protocol.TaskRunning}, runTime)
}

// SetPartitioned cuts a machine off from all controllers, or reconnects it.
func (f *Fleet) SetPartitioned(machine string, partitioned bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if target := f.workers[machine]; target != nil {
		target.partitioned = partitioned
	}
}

// SetLateHeartbeats sets the share of heartbeats of which a copy arrives a second time, later.
func (f *Fleet) SetLateHeartbeats(share float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settings.LateHeartbeatShare = share
}

// BlockNodes sets which controllers, by name, get no heartbeats from the workers (toNode), and from which the
// workers get no responses (fromNode).
func (f *Fleet) BlockNodes(toNode, fromNode map[string]bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.blockedTo, f.blockedFrom = toNode, fromNode
}

// SetCloudUnavailable begins or ends an outage of the cloud, during which it answers 503.
func (f *Fleet) SetCloudUnavailable(unavailable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cloudUnavailable = unavailable
}

// PreemptMachine removes a machine, as the cloud does when it reclaims a spot machine.
func (f *Fleet) PreemptMachine(machine string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.removeMachine(machine)
}

// ServeHTTP serves the cloud's HTTP interface.
func (f *Fleet) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.cloudUnavailable:
		writeJSON(w, 503, map[string]string{"error": "trouble"})
	case r.URL.Path == "/catalog":
		writeJSON(w, 200, protocol.Catalog{Types: []protocol.MachineType{{Name: machineType,
			Cores: f.settings.CoresPerMachine, MemoryGB: 4 * f.settings.CoresPerMachine, ImageCacheGB: 40,
			PullGBPerSecond: 1, OnDemandPrice: 0.3, SpotPrice: 0.1, BootSeconds: f.settings.BootTime.Seconds(),
			Zones: []string{machineZone}}}})
	case r.URL.Path == "/hosts" && r.Method == http.MethodPost:
		var rental protocol.RentalRequest
		if readJSON(w, r, &rental) {
			f.rentMachines(w, rental)
		}
	case r.URL.Path == "/hosts/return":
		var names protocol.MachineNames
		if readJSON(w, r, &names) {
			f.operations.record(time.Now(), OperationReturnMachine, len(names.Machines), false)
			for _, name := range names.Machines {
				f.removeMachine(name)
			}
			writeJSON(w, 200, struct{}{})
		}
	default:
		writeJSON(w, 200, f.listMachines(r))
	}
}

// Machine type, zone and page size of the fake cloud.
const (
	machineType = "c4"
	machineZone = "a"
	// machinesPerPage bounds one page of the machine list.
	machinesPerPage = 500
)

// listMachines returns one page of the machines, sorted by name, that follow the name in the query.
func (f *Fleet) listMachines(r *http.Request) protocol.HostPage {
	list := protocol.HostPage{Machines: []protocol.Host{}}
	for _, machine := range f.workers {
		if machine.name > r.URL.Query().Get("since") {
			list.Machines = append(list.Machines, protocol.Host{Name: machine.name, Type: machineType,
				Zone: machineZone, Spot: true, State: protocol.HostRunning,
				RentedSeconds: time.Since(machine.rentedAt).Seconds()})
		}
	}
	slices.SortFunc(list.Machines, func(a, b protocol.Host) int { return strings.Compare(a.Name, b.Name) })
	if len(list.Machines) > machinesPerPage {
		list.Machines, list.Truncated = list.Machines[:machinesPerPage], true
	}
	return list
}

// rentMachines answers a rental request. A repeated request ID gets the machines of the first request.
func (f *Fleet) rentMachines(w http.ResponseWriter, rental protocol.RentalRequest) {
	names, repeated := f.machinesByRental[rental.RequestID]
	if !repeated {
		for range min(rental.Count, f.settings.MaxMachines-len(f.workers)) {
			names = append(names, f.addMachine())
		}
		if len(names) == 0 {
			writeJSON(w, 503, map[string]string{"error": "no capacity"})
			return
		}
		f.operations.record(time.Now(), OperationRentMachine, len(names), false)
		f.machinesByRental[rental.RequestID] = names
	}
	writeJSON(w, 200, protocol.MachineNames{Machines: names})
}

// addMachine adds a machine, starts its worker and returns the machine's name.
func (f *Fleet) addMachine() string {
	f.lastMachineNumber++
	machine := &worker{fleet: f, name: fmt.Sprintf("m-%06d", f.lastMachineNumber), epoch: 1, rentedAt: time.Now(),
		removed: make(chan struct{}), rng: rand.New(rand.NewPCG(f.settings.Seed, uint64(f.lastMachineNumber)))}
	f.workers[machine.name] = machine
	f.settings.History.Record(history.Event{Kind: history.MachineRented, Machine: machine.name})
	f.workerLoops.Go(func() { machine.heartbeatLoop(f.workerContext) })
	return machine.name
}

// removeMachine removes a machine, if it exists, and kills its tasks.
func (f *Fleet) removeMachine(name string) {
	if machine := f.workers[name]; machine != nil {
		delete(f.workers, name)
		close(machine.removed)
		machine.killTasks(time.Now())
		f.settings.History.Record(history.Event{Kind: history.MachineGone, Machine: name})
	}
}

// taskRunTime returns the run time of a task: the same on all machines, and within a tenth of its
// job's estimate.
func (f *Fleet) taskRunTime(task string) time.Duration {
	if f.settings.TaskRunTime > 0 {
		return f.settings.TaskRunTime
	}
	deviation := float64(xxhash.Sum64String(task)%1000)/1000 - 0.5
	return config.Seconds(f.uploadedJobs[jobOfTask(task)].EstimatedSeconds * (1 + deviation/5))
}

// jobOfTask returns the job ID in a task ID.
func jobOfTask(task string) string { id, _, _ := strings.Cut(task, "/"); return id }
