package standin

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"hitchdoor/internal/config"
	"hitchdoor/internal/protocol"
)

// Fleet is a fake of the cloud and of the workers on its machines. It serves the cloud's HTTP
// interface and runs one worker per machine, which sends heartbeats to the controllers.
type Fleet struct {
	Server *Server

	settings FleetSettings
	orders   orderLog
	mu       sync.Mutex
	last     int
	requests map[string][]string     // names of the rented machines, by request ID
	workers  map[string]*worker      // by machine name
	jobs     map[string]protocol.Job // job specifications that the workers know, by job ID
	starts   map[string]int          // number of starts, by task
	running  map[string]int          // number of machines that run a task, by task
	// runningTasks is the number of tasks on all machines that have not exited.
	onMachines int
	finished   map[string]bool // tasks that have completed
	over       chan struct{}   // closed by Close
	wait       sync.WaitGroup  // counts the workers' heartbeat loops
	tally      Tally
	twice      []string // tasks that ran on two machines at once
	wrongly    []string // tasks that were stopped without a cancellation or a second copy

	cancelled map[string]bool      // jobs whose cancellation a user has requested
	confirmed map[string]time.Time // when a controller confirmed the cancellation, by job
}

// FleetSettings configure the machines and the workers of a Fleet.
type FleetSettings struct {
	Nodes    map[string]string // the controllers' client addresses, by name
	Report   time.Duration
	Lease    time.Duration // of a worker: without a response for so long it kills its tasks
	Boot     time.Duration // between the rental of a machine and its first heartbeat
	RunTime  time.Duration // of each task; 0: near its job's estimate
	Most     int           // upper bound of the machines up at the same time
	Machines int           // number of machines that SetNodes starts
	Cores    float64       // 0: defaultCores
	Seed     uint64
}

// TaskTotals counts the tasks that the workers ran, by outcome.
type Tally struct {
	Started, Finished, Stopped, LostByLease int
	LostRun                                 time.Duration // run time of tasks that exited without completing
	RanCancelled                            int           // tasks that run longer after a cancellation than allowed
}

// defaultCores is the number of cores of a machine if the settings name none.
const defaultCores = 4

// NewFleet starts a fake cloud. The workers of its machines send heartbeats until it is closed.
func NewFleet(settings FleetSettings) *Fleet {
	if settings.Cores == 0 {
		settings.Cores = defaultCores
	}
	f := &Fleet{settings: settings, requests: map[string][]string{}, workers: map[string]*worker{},
		starts: map[string]int{}, running: map[string]int{}, finished: map[string]bool{},
		jobs: map[string]protocol.Job{}, cancelled: map[string]bool{},
		confirmed: map[string]time.Time{}, over: make(chan struct{})}
	f.Server = newServer(f)
	return f
}

// SetNodes sets the controllers' client addresses, by name, and starts the initial machines. It is
// for controllers whose addresses are not known yet when the fleet is made.
func (f *Fleet) SetNodes(nodes map[string]string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settings.Nodes = nodes
	for len(f.workers) < f.settings.Machines {
		f.add()
	}
}

// Close stops all workers, waits for them and closes the server.
func (f *Fleet) Close() {
	close(f.over)
	f.wait.Wait()
	f.Server.Close()
}

// UploadJob makes a job's specification known to the workers, as its user does.
func (f *Fleet) Upload(job protocol.Job) {
	f.mu.Lock()
	f.jobs[job.UID] = job
	f.mu.Unlock()
}

// RecordCancelRequest records that a user has requested the cancellation of a job.
func (f *Fleet) CancelAsked(job string) {
	f.mu.Lock()
	f.cancelled[job] = true
	f.mu.Unlock()
}

// RecordCancelConfirmation records that a controller has confirmed a job's cancellation to its user.
func (f *Fleet) CancelConfirmed(job string) {
	f.mu.Lock()
	f.confirmed[job] = time.Now()
	f.mu.Unlock()
}

// StartCounts returns how often each task was started.
func (f *Fleet) Starts() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[string]int, len(f.starts))
	for task, n := range f.starts {
		out[task] = n
	}
	return out
}

// DuplicatedTasks lists the tasks that ran on two machines at once.
func (f *Fleet) Twice() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.twice)
}

// WronglyStoppedTasks lists the tasks that were stopped although their jobs were not cancelled and
// they ran on no other machine.
func (f *Fleet) StoppedWrongly() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.wrongly)
}

// OperationsSince lists the commands that workers received, and the requests that the cloud
// received, at or after a time.
func (f *Fleet) OrdersSince(from time.Time) []Order { return f.orders.since(from) }

// TaskTotals returns the totals so far. A cancelled task counts as overdue once cancelTimeout has
// passed since the confirmation.
func (f *Fleet) Tally(cancelSpan time.Duration) Tally {
	f.mu.Lock()
	defer f.mu.Unlock()
	tally := f.tally
	for _, m := range f.workers {
		for _, t := range m.tasks {
			if since, is := f.confirmed[jobOf(t.Task)]; is &&
				t.State == protocol.TaskRunning && time.Since(since) > cancelSpan {
				tally.RanCancelled++
			}
		}
	}
	return tally
}

// RunningTasks returns the number of tasks on all machines that have not exited.
func (f *Fleet) Running() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.onMachines
}

// MachineCount returns the number of machines that are rented.
func (f *Fleet) Machines() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.workers)
}

// MachineInventory lists the tasks that a machine holds.
type Held struct {
	Machine string
	Silent  bool
	Tasks   []protocol.TaskReport
}

// Inventories returns the inventories of all machines, sorted by name.
func (f *Fleet) Holdings() []Held {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []Held
	for _, m := range f.workers {
		m.advance()
		held := Held{Machine: m.name, Silent: m.silent}
		for _, t := range m.tasks {
			held.Tasks = append(held.Tasks, t.TaskReport)
		}
		all = append(all, held)
	}
	slices.SortFunc(all, func(a, b Held) int { return strings.Compare(a.Machine, b.Machine) })
	return all
}

// InjectTask puts a running task on a machine that no controller has started there.
func (f *Fleet) Plant(machine, key string, attempt uint64, runs time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.workers[machine]
	m.begin(protocol.TaskReport{Task: key, Attempt: attempt, State: protocol.TaskRunning}, runs)
}

// SetPartitioned cuts a machine off from all controllers, or reconnects it.
func (f *Fleet) Silence(machine string, silent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.workers[machine]; m != nil {
		m.silent = silent
	}
}

// PreemptMachine takes a machine away, as the cloud does with spot machines.
func (f *Fleet) Take(machine string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.end(machine)
}

// ServeHTTP serves the cloud's HTTP interface.
func (f *Fleet) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case r.URL.Path == "/catalog":
		answer(w, 200, protocol.Catalog{Types: []protocol.MachineType{{Name: machineType,
			Cores: f.settings.Cores, RAM: 4 * f.settings.Cores, CacheGB: 40,
			PullGBPerS: 1, Rate: 0.3, SpotRate: 0.1, ReadyS: f.settings.Boot.Seconds(),
			Zones: []string{machineZone}}}})
	case r.URL.Path == "/hosts" && r.Method == http.MethodPost:
		var rental protocol.Rental
		if read(w, r, &rental) {
			f.rent(w, rental)
		}
	case r.URL.Path == "/hosts/return":
		var names protocol.MachineNames
		if read(w, r, &names) {
			f.orders.add(time.Now(), OrderReturn, len(names.Machines), false)
			for _, name := range names.Machines {
				f.end(name)
			}
			answer(w, 200, struct{}{})
		}
	default:
		answer(w, 200, f.list(r))
	}
}

// Machine type, zone and page size of the fake cloud.
const (
	machineType = "c4"
	machineZone = "a"
	// machinesPerPage bounds one page of the machine list.
	pageMachines = 500
)

// listMachines returns one page of the machine list, by name.
func (f *Fleet) list(r *http.Request) protocol.HostList {
	list := protocol.HostList{Machines: []protocol.Host{}}
	for _, m := range f.workers {
		if m.name > r.URL.Query().Get("since") {
			list.Machines = append(list.Machines, protocol.Host{UID: m.name, Type: machineType,
				Zone: machineZone, Spot: true, State: "running", HeldS: time.Since(m.rented).Seconds()})
		}
	}
	slices.SortFunc(list.Machines, func(a, b protocol.Host) int { return strings.Compare(a.UID, b.UID) })
	if len(list.Machines) > pageMachines {
		list.Machines, list.Truncated = list.Machines[:pageMachines], true
	}
	return list
}

// rentMachines answers a rental. A repeated request ID gets the machines of the first request.
func (f *Fleet) rent(w http.ResponseWriter, rental protocol.Rental) {
	names, again := f.requests[rental.Request]
	if !again {
		for range min(rental.Count, f.settings.Most-len(f.workers)) {
			names = append(names, f.add())
		}
		if len(names) == 0 {
			answer(w, 503, map[string]string{"error": "no capacity"})
			return
		}
		f.orders.add(time.Now(), OrderRent, len(names), false)
		f.requests[rental.Request] = names
	}
	answer(w, 200, protocol.MachineNames{Machines: names})
}

// addMachine adds a machine and starts its worker.
func (f *Fleet) add() string {
	f.last++
	m := &worker{f: f, name: fmt.Sprintf("m-%06d", f.last), session: 1, rented: time.Now(),
		gone: make(chan struct{}), rng: rand.New(rand.NewPCG(f.settings.Seed, uint64(f.last)))}
	f.workers[m.name] = m
	f.wait.Go(m.run)
	return m.name
}

// removeMachine removes a machine and kills its tasks.
func (f *Fleet) end(name string) {
	if m := f.workers[name]; m != nil {
		delete(f.workers, name)
		close(m.gone)
		m.kill()
	}
}

// taskRunTime returns the run time of a task: the same on all machines, and within a tenth of its
// job's estimate.
func (f *Fleet) runTime(key string) time.Duration {
	if f.settings.RunTime > 0 {
		return f.settings.RunTime
	}
	luck := float64(xxhash.Sum64String(key)%1000)/1000 - 0.5
	return config.Seconds(f.jobs[jobOf(key)].EstimateS * (1 + luck/5))
}

// jobOfTask returns the job ID of a task key.
func jobOf(key string) string { id, _, _ := strings.Cut(key, "/"); return id }
