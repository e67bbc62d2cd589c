package coordination

import (
	"cmp"
	"log/slog"
	"slices"
	"time"

	"hitchdoor/internal/config"
	"hitchdoor/internal/protocol"
)

// clusterState holds the open jobs, the machines and the task attempts, with all their transitions.
// It does no I/O and takes the time from its owner.
type clusterState struct {
	clock    timeSource
	cluster  *config.Cluster
	settings *config.Settings
	log      *slog.Logger
	since    Instant // start of the leader's term
	catalog  map[string]*protocol.MachineType

	jobTable
	objectives
	machineTable
	dirty bool // the state has changed since the last full scheduling pass
	// candidatesExamined counts the machines and jobs examined for placement. Tests check that it does
	// not grow with each heartbeat.
	looked int

	// inventoryIncompleteUntil is the time until which tasks of earlier leaders may be running on
	// machines that no readable record names; never: all machines are known.
	unnamedUntil Instant
}

// timeSource tells the time.
type timeSource interface {
	// Now returns the time of the current step.
	Now() Instant
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
		clock: o.clock, cluster: o.cluster, settings: o.settings, log: o.log, since: o.clock.Now(), catalog: o.catalog,
		jobTable: newJobTable(o.cluster), objectives: newObjectives(o.cluster), machineTable: newMachineTable(), unnamedUntil: never,
	}
}

// workerLease returns the duration of the workers' lease.
func (s *clusterState) lease() time.Duration { return config.Seconds(s.cluster.Workers.LeaseS) }

// heartbeatInterval returns the interval of the workers' heartbeats.
func (s *clusterState) report() time.Duration { return config.Seconds(s.cluster.Workers.ReportS) }

// resourceUsage is what a team's tasks occupy, from the start command to the confirmed end.
type usage struct{ cores, accelerators float64 }

// jobTable holds the open jobs and the usage of their tasks.
type jobTable struct {
	jobs     map[string]*job
	runnable map[string]*job   // open jobs without pending dependencies
	after    map[string][]*job // jobs with a pending dependency, by the dependency's id
	over     map[string]bool   // jobs that became terminal in this term
	classes  map[string]*class
	usage    map[string]*usage // by team
	active   [2]int            // tasks on machines: batch, urgent
}

// newJobTable returns an empty job table with the teams of the settings.
func newJobTable(c *config.Cluster) jobTable {
	table := jobTable{
		jobs: map[string]*job{}, runnable: map[string]*job{}, after: map[string][]*job{},
		over:    map[string]bool{},
		classes: map[string]*class{}, usage: map[string]*usage{},
	}
	for _, t := range c.Teams {
		table.usage[t.Name] = &usage{}
	}
	return table
}

// machineTable holds the machines, and the groups in which they are stored.
type machineTable struct {
	machines    map[string]*machine
	gone        map[string]Instant // machines returned or preempted, and when
	sorted      []*machine         // by name; nil: must be rebuilt
	checkedAt   Instant            // when all machines were last checked
	totals      machineTotals      // cached sums over the machines, if totalsValid
	totalsValid bool
}

// newMachineTable returns an empty machine table.
func newMachineTable() machineTable {
	return machineTable{machines: map[string]*machine{}, gone: map[string]Instant{}, checkedAt: never}
}

// newMachine adds a machine to the machine table.
func (s *clusterState) newMachine(name, typ, zone string, spot bool) *machine {
	m := &machine{name: name, typ: typ, zone: zone, spot: spot, runs: map[string]*run{},
		rentedAt: s.clock.Now(), heard: never, answered: never, servedAt: never, notice: never, spareSince: s.clock.Now(),
		failedJobs: map[string]bool{}, kind: s.catalog[typ]}
	s.machines[name] = m
	s.machinesChanged()
	return m
}

// deleteMachine takes a machine out of the table, with everything on it.
func (s *clusterState) deleteMachine(m *machine) {
	for _, r := range m.list {
		s.release(r)
	}
	if m.reservedFor != nil {
		s.unreserve(m.reservedFor)
	}
	delete(s.machines, m.name)
	s.machinesChanged()
	s.gone[m.name] = s.clock.Now()
	s.dirty = true
}

// machinesByName returns the machines sorted by name. The list is cached between changes:
// rebuilding it in each step took two thirds of a busy leader's CPU time.
func (s *clusterState) held() []*machine {
	if s.sorted == nil {
		s.sorted = make([]*machine, 0, len(s.machines))
		for _, m := range s.machines {
			s.sorted = append(s.sorted, m)
		}
		slices.SortFunc(s.sorted, func(a, b *machine) int { return cmp.Compare(a.name, b.name) })
	}
	return s.sorted
}

// invalidateMachineIndex discards the cached machine list and totals.
func (s *clusterState) machinesChanged() { s.sorted, s.totalsValid = nil, false }

// placeAttempt binds an attempt to its machine and counts its resources for the machine and the
// team.
func (s *clusterState) place(r *run) {
	j, m := r.job, r.m
	if j.taskState(r.index) == taskPending {
		j.pending--
	}
	j.runs[r.index] = r
	m.addRun(r)
	s.count(j, 1)
	m.touch(j.spec.Image, j.spec.ImageGB) // present, or fetched once for all tasks
	m.cores += j.spec.Cores
	m.ram += j.spec.RAM
	m.accelerators += j.spec.Accelerators
	if u := s.usage[j.spec.Team]; u != nil {
		u.cores += j.spec.Cores
		u.accelerators += j.spec.Accelerators
	}
}

// releaseAttempt removes an attempt whose end is confirmed and releases its resources.
func (s *clusterState) release(r *run) {
	j, m := r.job, r.m
	if m.runs[r.key()] != r {
		return
	}
	m.dropRun(r)
	s.count(j, -1)
	if j.runs[r.index] == r {
		delete(j.runs, r.index)
	}
	m.cores -= j.spec.Cores
	m.ram -= j.spec.RAM
	m.accelerators -= j.spec.Accelerators
	if u := s.usage[j.spec.Team]; u != nil {
		u.cores -= j.spec.Cores
		u.accelerators -= j.spec.Accelerators
	}
	if len(m.runs) == 0 {
		m.cores, m.ram, m.accelerators = 0, 0, 0
	}
	if j.taskState(r.index) == taskPending {
		j.pending++
		j.first = min(j.first, r.index)
		if j.pending == 1 {
			j.waiting = s.clock.Now()
		}
	}
	s.dirty = true
}

// requestStop requests the end of an attempt. An attempt that was never sent ends at once.
func (s *clusterState) stopRun(r *run, grace float64) {
	if r.phase == phaseAssigned {
		s.release(r)
		return
	}
	if r.stop != nil && *r.stop <= grace {
		return
	}
	r.stop = &grace
}

// countActiveTasks adjusts the number of tasks on machines of the job's class.
func (s *clusterState) count(j *job, by int) {
	class := 0
	if pressing(&j.spec) {
		class = 1
	}
	s.active[class] += by
}

// releaseReservation releases a job's reservation, if it has one.
func (s *clusterState) unreserve(j *job) {
	if m := j.reservation.machine; m != nil {
		m.reservedFor, j.reservation.machine = nil, nil
	}
}

// jobsByAge returns the runnable jobs by the time at which they became eligible.
func (s *clusterState) byAge() []*job {
	jobs := make([]*job, 0, len(s.runnable))
	for _, j := range s.runnable {
		if !j.gone {
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.from, b.from), cmp.Compare(a.spec.UID, b.spec.UID))
	})
	return jobs
}

// workerLeaseTimeout returns the node's worker lease timeout.
func (s *clusterState) leaseOver() time.Duration { return leaseOver(s.lease()) }

// silentSince returns the time from which the silence of a machine counts: its last heartbeat, or
// the start of the term if that is later.
func (s *clusterState) lastHeard(m *machine) Instant { return max(m.heard, s.since) }

// leaseChecksPerHeartbeat is how often all worker leases are checked per heartbeat interval.
const checksPerReport = 8

// expireMachineLeases fences the machines whose worker lease has expired and releases their
// attempts.
func (s *clusterState) checkMachines() {
	now := s.clock.Now()
	if now < s.checkedAt+s.report()/checksPerReport {
		return // a scan of all machines is too expensive for every heartbeat
	}
	s.checkedAt = now
	for _, m := range s.held() {
		since := max(m.answered, s.since)
		if now <= since+s.leaseOver() {
			continue
		}
		if !m.accounted {
			m.accounted, s.dirty, s.totalsValid = true, true, false
		}
		if m.up {
			// The worker's own clock has ended its epoch, so its tasks have stopped, and the epoch never
			// gets another 200.
			s.log.Info("worker lease expired", "machine", m.name, "tasks", len(m.runs))
			m.up, s.totalsValid = false, false
			m.lost, m.address = m.session, ""
			m.unknownTasks = 0
			for _, r := range m.list {
				s.release(r)
			}
			s.leave(m, silent)
		}
	}
	if len(s.gone) > maxGone {
		for name, at := range s.gone {
			if now > at+8*config.Seconds(s.cluster.Cloud.ListLagS)+s.lease() {
				delete(s.gone, name)
			}
		}
	}
}

// maxRemovedMachines is the number of removed machines above which old names are discarded.
// Within a term the names prevent a delayed listing or a late copy of a heartbeat from adding the
// machine again.
const maxGone = 20_000
