// Package cluster holds a leader's view of the jobs, task attempts and machines, and implements all
// transitions of that state. It does no I/O, reads no clock and stores nothing: the controller writes
// the records, and package scheduler decides which attempt is placed on which machine.
package cluster

import (
	"cmp"
	"log/slog"
	"slices"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/config"
	"hitchdoor/internal/protocol"
)

// State holds the open jobs, the machines and the task attempts of one leader term. Its methods are the
// transitions between states. The time comes from Clock.
type State struct {
	Clock     TimeSource
	Config    *config.Cluster
	Settings  *config.Settings
	Log       *slog.Logger
	StartedAt clock.Instant                    // start of the leader's term
	Catalog   map[string]*protocol.MachineType // by name of the type

	jobTable
	machineTable
	Estimates
	SchedulingNeeded bool // the state has changed since the last full scheduling pass
	// CandidatesExamined counts the machines and jobs examined for placement. Tests use it to check that
	// heartbeats do not cause full scans.
	CandidatesExamined int

	// InventoryIncompleteUntil is the time until which tasks of earlier leaders may be running on
	// machines that are in no readable record; never: all machines are known.
	InventoryIncompleteUntil clock.Instant
}

// TimeSource is the clock of a State.
type TimeSource interface {
	// Now returns the time of the current step.
	Now() clock.Instant
}

// Options holds the settings and dependencies of a State.
type Options struct {
	Clock    TimeSource
	Config   *config.Cluster
	Settings *config.Settings
	Log      *slog.Logger
	Catalog  map[string]*protocol.MachineType
}

// New returns a State without jobs and machines for a leader's term that starts now.
func New(o Options) *State {
	return &State{
		Clock: o.Clock, Config: o.Config, Settings: o.Settings, Log: o.Log, Catalog: o.Catalog,
		StartedAt: o.Clock.Now(),
		jobTable:  newJobTable(o.Config), machineTable: newMachineTable(), Estimates: newEstimates(o.Clock, o.Config),
		InventoryIncompleteUntil: clock.Never,
	}
}

// ResourceUsage is an amount of resources that attempts use, from their placement to their confirmed end.
type ResourceUsage struct{ Cores, Accelerators float64 }

// jobTable holds the open jobs and the resources that their tasks use.
type jobTable struct {
	Jobs         map[string]*Job
	RunnableJobs map[string]*Job           // open jobs without pending dependencies that allow some machine
	EndedJobs    map[string]bool           // jobs that became terminal in this term
	TeamUsage    map[string]*ResourceUsage // by team
	UsedSlots    [2]SlotUnits              // slots that attempts occupy: batch, latency-sensitive
}

// newJobTable returns a job table without jobs, with zero usage for each team of the settings.
func newJobTable(c *config.Cluster) jobTable {
	table := jobTable{
		Jobs: map[string]*Job{}, RunnableJobs: map[string]*Job{},
		EndedJobs: map[string]bool{}, TeamUsage: map[string]*ResourceUsage{},
	}
	for _, t := range c.Teams {
		table.TeamUsage[t.Name] = &ResourceUsage{}
	}
	return table
}

// machineTable holds the machines, with an index and sums that are cached between changes.
type machineTable struct {
	Machines        map[string]*Machine
	RemovedMachines map[string]clock.Instant // time of removal of returned or preempted machines, by name
	sortedMachines  []*Machine               // sorted by name; nil: must be rebuilt
	leasesCheckedAt clock.Instant            // time of the last check of all worker leases
	totals          MachineTotals            // cached sums over the machines; see TotalsValid
	TotalsValid     bool                     // totals need not be recomputed
}

// newMachineTable returns an empty machine table.
func newMachineTable() machineTable {
	return machineTable{
		Machines: map[string]*Machine{}, RemovedMachines: map[string]clock.Instant{}, leasesCheckedAt: clock.Never,
	}
}

// NewMachine adds a machine to the machine table. The machine counts as rented now and is not up yet.
func (s *State) NewMachine(name, typeName, zone string, spot bool) *Machine {
	now := s.Clock.Now()
	machine := &Machine{
		Name: name, TypeName: typeName, Zone: zone, Spot: spot, MachineType: s.Catalog[typeName], RentedAt: now,
		WorkerLink:    WorkerLink{LastHeartbeat: clock.Never, LastResponse: clock.Never, LastDelivery: clock.Never},
		Occupancy:     Occupancy{Attempts: map[string]*TaskAttempt{}},
		MachineHealth: MachineHealth{Failures: map[*Job]int{}},
		DrainState:    DrainState{SurplusSince: now, preemptionNotice: clock.Never},
	}
	s.Machines[name] = machine
	s.InvalidateMachineIndex()
	return machine
}

// DeleteMachine removes a machine from the machine table and releases its attempts and its reservation.
func (s *State) DeleteMachine(machine *Machine) {
	for _, attempt := range machine.AttemptsInOrder {
		s.ReleaseAttempt(attempt)
	}
	if machine.ReservedFor != nil {
		s.ReleaseReservation(machine.ReservedFor)
	}
	delete(s.Machines, machine.Name)
	s.InvalidateMachineIndex()
	s.RemovedMachines[machine.Name] = s.Clock.Now()
	s.SchedulingNeeded = true
}

// MachinesByName returns the machines sorted by name. The list is cached between changes:
// rebuilding it in each step took two thirds of a busy leader's CPU time.
func (s *State) MachinesByName() []*Machine {
	if s.sortedMachines == nil {
		s.sortedMachines = make([]*Machine, 0, len(s.Machines))
		for _, machine := range s.Machines {
			s.sortedMachines = append(s.sortedMachines, machine)
		}
		slices.SortFunc(s.sortedMachines, func(a, b *Machine) int { return cmp.Compare(a.Name, b.Name) })
	}
	return s.sortedMachines
}

// InvalidateMachineIndex discards the cached machine list and totals.
func (s *State) InvalidateMachineIndex() { s.sortedMachines, s.TotalsValid = nil, false }

// PlaceAttempt adds an attempt to its job and its machine, and adds its resources to the usage of the
// machine and the team.
func (s *State) PlaceAttempt(attempt *TaskAttempt) {
	job, machine := attempt.Job, attempt.Machine
	if job.TaskState(attempt.TaskIndex) == TaskPending {
		job.PendingTasks--
	}
	job.Attempts[attempt.TaskIndex] = attempt
	machine.addAttempt(attempt)
	attempt.slots = s.TaskSlots(&job.Spec)
	s.addUsedSlots(job, attempt.slots)
	machine.TouchImage(job.Spec.Image, job.Spec.ImageGB) // cached already, or pulled once for all tasks
	machine.UsedCores += job.Spec.Cores
	machine.UsedRAM += job.Spec.MemoryGB
	machine.usedAccelerators += job.Spec.Accelerators
	if teamUsage := s.TeamUsage[job.Spec.Team]; teamUsage != nil {
		teamUsage.Cores += job.Spec.Cores
		teamUsage.Accelerators += job.Spec.Accelerators
	}
}

// ReleaseAttempt removes an attempt that cannot be running any more and releases its resources. It has
// no effect if the attempt was already released.
func (s *State) ReleaseAttempt(attempt *TaskAttempt) {
	job, machine := attempt.Job, attempt.Machine
	if machine.Attempts[attempt.Key()] != attempt {
		return
	}
	machine.removeAttempt(attempt)
	s.addUsedSlots(job, -attempt.slots)
	if job.Attempts[attempt.TaskIndex] == attempt {
		delete(job.Attempts, attempt.TaskIndex)
	}
	machine.UsedCores -= job.Spec.Cores
	machine.UsedRAM -= job.Spec.MemoryGB
	machine.usedAccelerators -= job.Spec.Accelerators
	if teamUsage := s.TeamUsage[job.Spec.Team]; teamUsage != nil {
		teamUsage.Cores -= job.Spec.Cores
		teamUsage.Accelerators -= job.Spec.Accelerators
	}
	if len(machine.Attempts) == 0 {
		machine.UsedCores, machine.UsedRAM, machine.usedAccelerators = 0, 0, 0
	}
	if job.TaskState(attempt.TaskIndex) == TaskPending {
		job.PendingTasks++
		job.FirstPendingTask = min(job.FirstPendingTask, attempt.TaskIndex)
		if job.PendingTasks == 1 {
			job.PendingSince = s.Clock.Now()
		}
	}
	s.SchedulingNeeded = true
}

// RequestStop requests that an attempt stops, with a grace period in seconds. If an earlier request had
// a shorter grace period, that one stays. An attempt that was not sent to its machine is released at once.
func (s *State) RequestStop(attempt *TaskAttempt, grace float64) {
	if attempt.Phase == AttemptAssigned {
		s.ReleaseAttempt(attempt)
		return
	}
	if attempt.StopGrace != nil && *attempt.StopGrace <= grace {
		return
	}
	attempt.StopGrace = &grace
}

// ReleaseReservation frees the machine that is reserved for a job, if there is one.
func (s *State) ReleaseReservation(job *Job) {
	if machine := job.Reservation.Machine; machine != nil {
		machine.ReservedFor, job.Reservation.Machine = nil, nil
	}
}

// JobsByAge returns the runnable jobs that are not terminal, sorted by the time at which they became
// eligible.
func (s *State) JobsByAge() []*Job {
	jobs := make([]*Job, 0, len(s.RunnableJobs))
	for _, job := range s.RunnableJobs {
		if !job.Terminal {
			jobs = append(jobs, job)
		}
	}
	slices.SortFunc(jobs, func(a, b *Job) int {
		return cmp.Or(cmp.Compare(a.EligibleAt, b.EligibleAt), cmp.Compare(a.Spec.ID, b.Spec.ID))
	})
	return jobs
}

// SilentSince returns the time since which no heartbeat of a machine has arrived: the time of its last
// heartbeat, or the start of the term if that is later.
func (s *State) SilentSince(machine *Machine) clock.Instant {
	return max(machine.LastHeartbeat, s.StartedAt)
}

// LeaseChecksPerHeartbeat is the maximum number of checks of all worker leases per heartbeat interval.
const LeaseChecksPerHeartbeat = 8

// ExpireMachineLeases fences the machines whose worker lease has certainly expired and releases their
// attempts. It limits itself to LeaseChecksPerHeartbeat.
func (s *State) ExpireMachineLeases() {
	now := s.Clock.Now()
	if now < s.leasesCheckedAt+s.HeartbeatInterval()/LeaseChecksPerHeartbeat {
		return // scanning all machines is too expensive for every heartbeat
	}
	s.leasesCheckedAt = now
	for _, machine := range s.MachinesByName() {
		lastRenewal := max(machine.LastResponse, s.StartedAt)
		if now > lastRenewal+s.WorkerLeaseTimeout() {
			s.expireWorkerLease(machine)
		}
	}
	s.pruneRemovedMachines()
}

// expireWorkerLease fences a machine whose worker lease has expired. No attempt of this or an earlier
// leader can be running on the machine any more.
func (s *State) expireWorkerLease(machine *Machine) {
	if !machine.Reconciled {
		machine.Reconciled, s.SchedulingNeeded, s.TotalsValid = true, true, false
	}
	if !machine.Up {
		return
	}
	// By its own clock, the worker has ended its epoch and stopped its tasks. From now on, no heartbeat
	// of that epoch is answered with status 200.
	s.Log.Info("worker lease expired", "machine", machine.Name, "tasks", len(machine.Attempts))
	machine.Up, s.TotalsValid = false, false
	machine.FencedEpoch, machine.Address = machine.Epoch, ""
	machine.UnknownTasks = 0
	for _, attempt := range machine.AttemptsInOrder {
		s.ReleaseAttempt(attempt)
	}
	s.BeginDrain(machine, HeartbeatMissed)
}

// pruneRemovedMachines discards the names of removed machines that the cloud's machine list, which lags
// behind, can't contain any more. It does so only if there are more than maxRemovedMachines names.
func (s *State) pruneRemovedMachines() {
	if len(s.RemovedMachines) <= maxRemovedMachines {
		return
	}
	retention := 8*config.Seconds(s.Config.Cloud.ListLagS) + s.workerLease()
	for name, removedAt := range s.RemovedMachines {
		if s.Clock.Now() > removedAt+retention {
			delete(s.RemovedMachines, name)
		}
	}
}

// maxRemovedMachines is the number of removed machines above which old names are discarded. Within a
// term, the names prevent a delayed list of the cloud's machines or a delayed copy of a heartbeat from
// adding a machine again.
const maxRemovedMachines = 20_000
