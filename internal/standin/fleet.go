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

// Fleet is a stand-in of the cloud and of the workers on its machines.
type Fleet struct {
	Server *Server

	settings FleetSettings
	orders   orderLog
	mu       sync.Mutex
	last     int
	requests map[string][]string
	workers  map[string]*worker
	jobs     map[string]protocol.Job // that users have uploaded
	starts   map[string]int          // by task
	running  map[string]int          // machines on which a task is now
	// onMachines is how many tasks are on machines.
	onMachines int
	finished   map[string]bool // tasks that have completed
	over       chan struct{}
	wait       sync.WaitGroup
	tally      Tally
	twice      []string // tasks that ran on two machines at once
	wrongly    []string // tasks that were stopped though nothing was wrong with them

	cancelled map[string]bool      // jobs that users have asked to cancel
	confirmed map[string]time.Time // those of them that were confirmed, and when
}

// FleetSettings are those of machines and workers.
type FleetSettings struct {
	Nodes    map[string]string // the controllers' client addresses, by name
	Report   time.Duration
	Lease    time.Duration
	Boot     time.Duration
	RunTime  time.Duration // of each task; 0: about its job's estimate
	Most     int           // machines that can be rented
	Machines int           // that are up from the start
	Cores    float64       // of each machine; 0: 4
	Seed     uint64
}

// Tally is what has become of the tasks that workers ran.
type Tally struct {
	Started, Finished, Stopped, LostByLease int
	LostRun                                 time.Duration // run time of tasks that ended without completing
	RanCancelled                            int           // tasks on a machine after the time that cancellations have
}

// defaultCores is the size of a machine.
const defaultCores = 4

// NewFleet starts a cloud. Its machines' workers report until it is closed.
func NewFleet(settings FleetSettings) *Fleet {
	if settings.Cores == 0 {
		settings.Cores = defaultCores
	}
	f := &Fleet{settings: settings, requests: map[string][]string{}, workers: map[string]*worker{}, starts: map[string]int{},
		running: map[string]int{}, finished: map[string]bool{}, jobs: map[string]protocol.Job{}, cancelled: map[string]bool{}, confirmed: map[string]time.Time{}, over: make(chan struct{})}
	f.Server = newServer(f)
	return f
}

// SetNodes names the controllers' client addresses and starts the machines that are up from the
// start, if they weren't known at the start.
func (f *Fleet) SetNodes(nodes map[string]string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settings.Nodes = nodes
	for len(f.workers) < f.settings.Machines {
		f.add()
	}
}

// Close ends all workers.
func (f *Fleet) Close() {
	close(f.over)
	f.wait.Wait()
	f.Server.Close()
}

// Upload gives the workers a job's description, as its user does.
func (f *Fleet) Upload(job protocol.Job) {
	f.mu.Lock()
	f.jobs[job.UID] = job
	f.mu.Unlock()
}

// CancelAsked notes that a user asks to cancel a job.
func (f *Fleet) CancelAsked(job string) {
	f.mu.Lock()
	f.cancelled[job] = true
	f.mu.Unlock()
}

// CancelConfirmed notes that a user was told that a job is cancelled.
func (f *Fleet) CancelConfirmed(job string) {
	f.mu.Lock()
	f.confirmed[job] = time.Now()
	f.mu.Unlock()
}

// Starts counts how often each task was started.
func (f *Fleet) Starts() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[string]int, len(f.starts))
	for task, n := range f.starts {
		out[task] = n
	}
	return out
}

// Twice names the tasks that ran on two machines at once.
func (f *Fleet) Twice() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.twice)
}

// StoppedWrongly names the tasks that were stopped though their jobs were not cancelled and they
// ran nowhere else.
func (f *Fleet) StoppedWrongly() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.wrongly)
}

// OrdersSince lists the orders that workers and the cloud received from some moment on.
func (f *Fleet) OrdersSince(from time.Time) []Order { return f.orders.since(from) }

// Tally is what has become of the tasks so far. Cancelled work has so long to end.
func (f *Fleet) Tally(cancelSpan time.Duration) Tally {
	f.mu.Lock()
	defer f.mu.Unlock()
	tally := f.tally
	for _, m := range f.workers {
		for _, t := range m.tasks {
			if since, is := f.confirmed[jobOf(t.Task)]; is && t.State == protocol.TaskRunning && time.Since(since) > cancelSpan {
				tally.RanCancelled++
			}
		}
	}
	return tally
}

// Running counts the tasks that are on machines, Machines the machines that are up.
func (f *Fleet) Running() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.onMachines
}

// Machines counts the machines that there are.
func (f *Fleet) Machines() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.workers)
}

// Held is what a machine holds.
type Held struct {
	Machine string
	Silent  bool
	Tasks   []protocol.TaskReport
}

// Holdings lists what all machines hold, by name.
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

// Plant puts a running task on a machine that nobody commanded.
func (f *Fleet) Plant(machine, key string, attempt uint64, runs time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.workers[machine]
	m.begin(protocol.TaskReport{Task: key, Attempt: attempt, State: protocol.TaskRunning}, runs)
}

// Silence cuts a machine off from all controllers, or ends that.
func (f *Fleet) Silence(machine string, silent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.workers[machine]; m != nil {
		m.silent = silent
	}
}

// Take takes a machine away, as the cloud does with cheap ones.
func (f *Fleet) Take(machine string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.end(machine)
}

// ServeHTTP answers a controller's call to the cloud.
func (f *Fleet) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case r.URL.Path == "/catalog":
		answer(w, 200, protocol.Catalog{Types: []protocol.MachineType{{Name: machineType, Cores: f.settings.Cores, RAM: 4 * f.settings.Cores, CacheGB: 40,
			PullGBPerS: 1, Rate: 0.3, SpotRate: 0.1, ReadyS: f.settings.Boot.Seconds(), Zones: []string{machineZone}}}})
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

// The only type of machine, and the only zone.
const (
	machineType = "c4"
	machineZone = "a"
	// pageMachines bounds one page of the machine list.
	pageMachines = 500
)

func (f *Fleet) list(r *http.Request) protocol.HostList {
	list := protocol.HostList{Machines: []protocol.Host{}}
	for _, m := range f.workers {
		if m.name > r.URL.Query().Get("since") {
			list.Machines = append(list.Machines, protocol.Host{UID: m.name, Type: machineType, Zone: machineZone, Spot: true, State: "running", HeldS: time.Since(m.rented).Seconds()})
		}
	}
	slices.SortFunc(list.Machines, func(a, b protocol.Host) int { return strings.Compare(a.UID, b.UID) })
	if len(list.Machines) > pageMachines {
		list.Machines, list.Truncated = list.Machines[:pageMachines], true
	}
	return list
}

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

// add makes a machine and starts its worker.
func (f *Fleet) add() string {
	f.last++
	m := &worker{f: f, name: fmt.Sprintf("m-%06d", f.last), session: 1, rented: time.Now(), gone: make(chan struct{}),
		rng: rand.New(rand.NewPCG(f.settings.Seed, uint64(f.last)))}
	f.workers[m.name] = m
	f.wait.Go(m.run)
	return m.name
}

// end takes a machine away with all that runs on it.
func (f *Fleet) end(name string) {
	if m := f.workers[name]; m != nil {
		delete(f.workers, name)
		close(m.gone)
		m.kill()
	}
}

// runTime is how long a task takes: the same on all machines, and by a tenth more or less than its
// job's estimate.
func (f *Fleet) runTime(key string) time.Duration {
	if f.settings.RunTime > 0 {
		return f.settings.RunTime
	}
	luck := float64(xxhash.Sum64String(key)%1000)/1000 - 0.5
	return config.Seconds(f.jobs[jobOf(key)].EstimateS * (1 + luck/5))
}

func jobOf(key string) string { id, _, _ := strings.Cut(key, "/"); return id }
