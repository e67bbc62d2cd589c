package controller

import (
	"cmp"
	"log/slog"
	"slices"
	"time"

	"hitchdoor/internal/clock"

	"hitchdoor/internal/config"
	"hitchdoor/internal/protocol"
)

// clusterState holds the open jobs, the machines and the task attempts, with all their transitions.
// It does no I/O and takes the time from its owner.
type clusterState struct {
	clock     timeSource
	cluster   *config.Cluster
	settings  *config.Settings
	log       *slog.Logger
	startedAt clock.Instant // start of the leader's term
	catalog   map[string]*protocol.MachineType

	jobTable
	objectives
	machineTable
	schedulingNeeded bool // the state has changed since the last full scheduling pass
	// candidatesExamined counts the machines and jobs examined for placement. Tests check that it does
	// not grow with each heartbeat.
	candidatesExamined int

	// inventoryIncompleteUntil is the time until which tasks of earlier leaders may be running on
	// machines that no readable record names; never: all machines are known.
	inventoryIncompleteUntil clock.Instant
}

// timeSource tells the time.
type timeSource interface {
	// Now returns the time of the current step.
	Now() clock.Instant
}

// stateOptions are the settings and dependencies of a cluster state.
type stateOptions struct {
	clock    timeSource
	cluster  *config.Cluster
	settings *config.Settings
	log      *slog.Logger
	catalog  map[string]*protocol.MachineType
}

// newClusterState returns an empty cluster state at the start of a term.
func newClusterState(o stateOptions) *clusterState {
	return &clusterState{
		clock: o.clock, cluster: o.cluster, settings: o.settings, log: o.log, startedAt: o.clock.Now(), catalog: o.catalog,
		jobTable: newJobTable(o.cluster), objectives: newObjectives(o.cluster), machineTable: newMachineTable(), inventoryIncompleteUntil: clock.Never,
	}
}

// workerLease returns the duration of the workers' lease.
func (s *clusterState) workerLease() time.Duration { return config.Seconds(s.cluster.Workers.LeaseS) }

// heartbeatInterval returns the interval of the workers' heartbeats.
func (s *clusterState) heartbeatInterval() time.Duration {
	return config.Seconds(s.cluster.Workers.HeartbeatIntervalS)
}

// resourceUsage is what a team's tasks occupy, from the start command to the confirmed end.
type resourceUsage struct{ cores, accelerators float64 }

// jobTable holds the open jobs and the usage of their tasks.
type jobTable struct {
	jobs         map[string]*job
	runnableJobs map[string]*job   // open jobs without pending dependencies
	dependents   map[string][]*job // jobs with a pending dependency, by the dependency's id
	endedJobs    map[string]bool   // jobs that became terminal in this term
	classes      map[string]*classDurations
	teamUsage    map[string]*resourceUsage // by team
	activeTasks  [2]int                    // tasks on machines: batch, urgent
}

// newJobTable returns an empty job table with the teams of the settings.
func newJobTable(c *config.Cluster) jobTable {
	table := jobTable{
		jobs: map[string]*job{}, runnableJobs: map[string]*job{}, dependents: map[string][]*job{},
		endedJobs: map[string]bool{},
		classes:   map[string]*classDurations{}, teamUsage: map[string]*resourceUsage{},
	}
	for _, t := range c.Teams {
		table.teamUsage[t.Name] = &resourceUsage{}
	}
	return table
}

// machineTable holds the machines, and the groups in which they are stored.
type machineTable struct {
	machines          map[string]*machine
	removedMachines   map[string]clock.Instant // machines returned or preempted, and when
	sortedMachines    []*machine               // by name; nil: must be rebuilt
	machinesCheckedAt clock.Instant            // when all machines were last checked
	totals            machineTotals            // cached sums over the machines, if totalsValid
	totalsValid       bool
}

// newMachineTable returns an empty machine table.
func newMachineTable() machineTable {
	return machineTable{machines: map[string]*machine{}, removedMachines: map[string]clock.Instant{}, machinesCheckedAt: clock.Never}
}

// newMachine adds a machine to the machine table.
func (s *clusterState) newMachine(name, typeName, zone string, spot bool) *machine {
	m := &machine{name: name, typeName: typeName, zone: zone, spot: spot, attempts: map[string]*taskAttempt{},
		rentedAt: s.clock.Now(), lastHeartbeat: clock.Never, lastResponse: clock.Never, lastDelivery: clock.Never, preemptionNotice: clock.Never, surplusSince: s.clock.Now(),
		failedJobs: map[string]bool{}, machineType: s.catalog[typeName]}
	s.machines[name] = m
	s.invalidateMachineIndex()
	return m
}

// deleteMachine takes a machine out of the table, with everything on it.
func (s *clusterState) deleteMachine(m *machine) {
	for _, r := range m.attemptsInOrder {
		s.releaseAttempt(r)
	}
	if m.reservedFor != nil {
		s.releaseReservation(m.reservedFor)
	}
	delete(s.machines, m.name)
	s.invalidateMachineIndex()
	s.removedMachines[m.name] = s.clock.Now()
	s.schedulingNeeded = true
}

// machinesByName returns the machines sorted by name. The list is cached between changes:
// rebuilding it in each step took two thirds of a busy leader's CPU time.
func (s *clusterState) machinesByName() []*machine {
	if s.sortedMachines == nil {
		s.sortedMachines = make([]*machine, 0, len(s.machines))
		for _, m := range s.machines {
			s.sortedMachines = append(s.sortedMachines, m)
		}
		slices.SortFunc(s.sortedMachines, func(a, b *machine) int { return cmp.Compare(a.name, b.name) })
	}
	return s.sortedMachines
}

// invalidateMachineIndex discards the cached machine list and totals.
func (s *clusterState) invalidateMachineIndex() { s.sortedMachines, s.totalsValid = nil, false }

// placeAttempt binds an attempt to its machine and counts its resources for the machine and the
// team.
func (s *clusterState) placeAttempt(r *taskAttempt) {
	j, m := r.job, r.machine
	if j.taskState(r.taskIndex) == taskPending {
		j.pendingTasks--
	}
	j.attempts[r.taskIndex] = r
	m.addAttempt(r)
	s.countActiveTasks(j, 1)
	m.touchImage(j.spec.Image, j.spec.ImageGB) // present, or fetched once for all tasks
	m.usedCores += j.spec.Cores
	m.usedRAM += j.spec.MemoryGB
	m.usedAccelerators += j.spec.Accelerators
	if teamUsage := s.teamUsage[j.spec.Team]; teamUsage != nil {
		teamUsage.cores += j.spec.Cores
		teamUsage.accelerators += j.spec.Accelerators
	}
}

// releaseAttempt removes an attempt whose end is confirmed and releases its resources.
func (s *clusterState) releaseAttempt(r *taskAttempt) {
	j, m := r.job, r.machine
	if m.attempts[r.key()] != r {
		return
	}
	m.dropAttempt(r)
	s.countActiveTasks(j, -1)
	if j.attempts[r.taskIndex] == r {
		delete(j.attempts, r.taskIndex)
	}
	m.usedCores -= j.spec.Cores
	m.usedRAM -= j.spec.MemoryGB
	m.usedAccelerators -= j.spec.Accelerators
	if teamUsage := s.teamUsage[j.spec.Team]; teamUsage != nil {
		teamUsage.cores -= j.spec.Cores
		teamUsage.accelerators -= j.spec.Accelerators
	}
	if len(m.attempts) == 0 {
		m.usedCores, m.usedRAM, m.usedAccelerators = 0, 0, 0
	}
	if j.taskState(r.taskIndex) == taskPending {
		j.pendingTasks++
		j.firstPendingTask = min(j.firstPendingTask, r.taskIndex)
		if j.pendingTasks == 1 {
			j.pendingSince = s.clock.Now()
		}
	}
	s.schedulingNeeded = true
}

// requestStop requests the end of an attempt. An attempt that was never sent ends at once.
func (s *clusterState) requestStop(r *taskAttempt, grace float64) {
	if r.phase == attemptAssigned {
		s.releaseAttempt(r)
		return
	}
	if r.stopGrace != nil && *r.stopGrace <= grace {
		return
	}
	r.stopGrace = &grace
}

// countActiveTasks adjusts the number of tasks on machines of the job's class.
func (s *clusterState) countActiveTasks(j *job, delta int) {
	class := 0
	if isLatencySensitive(&j.spec) {
		class = 1
	}
	s.activeTasks[class] += delta
}

// releaseReservation releases a job's reservation, if it has one.
func (s *clusterState) releaseReservation(j *job) {
	if m := j.reservation.machine; m != nil {
		m.reservedFor, j.reservation.machine = nil, nil
	}
}

// jobsByAge returns the runnable jobs by the time at which they became eligible.
func (s *clusterState) jobsByAge() []*job {
	jobs := make([]*job, 0, len(s.runnableJobs))
	for _, j := range s.runnableJobs {
		if !j.terminal {
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.eligibleAt, b.eligibleAt), cmp.Compare(a.spec.ID, b.spec.ID))
	})
	return jobs
}

// workerLeaseTimeout returns the node's worker lease timeout.
func (s *clusterState) workerLeaseTimeout() time.Duration {
	return clock.WorkerLeaseTimeout(s.workerLease())
}

// silentSince returns the time from which the silence of a machine counts: its last heartbeat, or
// the start of the term if that is later.
func (s *clusterState) silentSince(m *machine) clock.Instant {
	return max(m.lastHeartbeat, s.startedAt)
}

// leaseChecksPerHeartbeat is how often all worker leases are checked per heartbeat interval.
const leaseChecksPerHeartbeat = 8

// expireMachineLeases fences the machines whose worker lease has expired and releases their
// attempts.
func (s *clusterState) expireMachineLeases() {
	now := s.clock.Now()
	if now < s.machinesCheckedAt+s.heartbeatInterval()/leaseChecksPerHeartbeat {
		return // a scan of all machines is too expensive for every heartbeat
	}
	s.machinesCheckedAt = now
	for _, m := range s.machinesByName() {
		lastRenewal := max(m.lastResponse, s.startedAt)
		if now <= lastRenewal+s.workerLeaseTimeout() {
			continue
		}
		if !m.reconciled {
			m.reconciled, s.schedulingNeeded, s.totalsValid = true, true, false
		}
		if m.up {
			// The worker's own clock has ended its epoch, so its tasks have stopped, and the epoch never
			// gets another 200.
			s.log.Info("worker lease expired", "machine", m.name, "tasks", len(m.attempts))
			m.up, s.totalsValid = false, false
			m.fencedEpoch, m.address = m.epoch, ""
			m.unknownTasks = 0
			for _, r := range m.attemptsInOrder {
				s.releaseAttempt(r)
			}
			s.beginDrain(m, heartbeatMissed)
		}
	}
	if len(s.removedMachines) > maxRemovedMachines {
		for name, at := range s.removedMachines {
			if now > at+8*config.Seconds(s.cluster.Cloud.ListLagS)+s.workerLease() {
				delete(s.removedMachines, name)
			}
		}
	}
}

// maxRemovedMachines is the number of removed machines above which old names are discarded.
// Within a term the names prevent a delayed listing or a late copy of a heartbeat from adding the
// machine again.
const maxRemovedMachines = 20_000
