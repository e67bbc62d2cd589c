package cluster

import (
	"cmp"
	"slices"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/fleet"
	"hitchdoor/internal/protocol"
)

// Machine is a rented machine in the leader's state.
type Machine struct {
	Name, TypeName, Zone string
	Spot                 bool
	MachineType          *protocol.MachineType // nil while the type is missing from the catalog
	RentedAt             clock.Instant
	Reconciled           bool // no attempt unknown to this leader can be running on it

	RecordState
	WorkerLink
	Occupancy
	MachineHealth
	DrainState
}

// RecordState is the state of a machine's stored record.
type RecordState struct {
	// UseDurable: the stored record marks the machine as used, so that it may have tasks. MarkedUsed: so
	// will the record that is to be stored.
	UseDurable, MarkedUsed bool
	Group                  *MachineGroup // group with which it is stored; nil: none yet
}

// WorkerLink is the state of the exchange of heartbeats and responses with a machine's worker.
type WorkerLink struct {
	Up        bool   // its heartbeats arrive and its worker lease has not expired
	Address   string // source address of its heartbeats; empty: unknown
	RelayPeer string // peer that relayed its last heartbeat; empty: none
	// Epoch and HeartbeatSeq are those of its last heartbeat. A worker begins a new epoch when its lease
	// expires or it restarts.
	Epoch, HeartbeatSeq uint64
	FencedEpoch         uint64                      // highest epoch whose worker lease has expired
	LastHeartbeat       clock.Instant               // time of the last heartbeat in sequence
	LastResponse        clock.Instant               // time of the last response that may have renewed the worker lease
	LastDelivery        clock.Instant               // last time at which a response was known to have arrived
	TokenAcknowledged   bool                        // its last heartbeat carried this term's fencing token
	MissedResponses     int                         // consecutive responses without effect on its heartbeats
	DuplicateName       bool                        // another worker sends heartbeats under the same name
	UnexpectedRestart   bool                        // it began a new epoch while its heartbeats still arrived
	UnconfirmedResponse *protocol.HeartbeatResponse // last response, until the next heartbeat
}

// Occupancy holds what occupies a machine: attempts, retained results, cached images and a reservation.
type Occupancy struct {
	Attempts           map[string]*TaskAttempt // by task key
	AttemptsInOrder    []*TaskAttempt          // the same attempts, sorted by number
	UnknownTasks       int                     // reported tasks without a known attempt
	RetainedResults    int                     // reported results that the worker must retain until they are stored
	UsedCores, UsedRAM float64                 // resources that its attempts use; RAM in GB
	usedAccelerators   float64
	reportBytes        int           // size that the reports of its attempts may have in a heartbeat
	Images             []CachedImage // least recently used first
	ReservedFor        *Job          // job for which it is reserved; nil: none
}

// MachineHealth holds the signs of a faulty or slow machine: failures and run times of its tasks.
type MachineHealth struct {
	// Failures counts the consecutive failures by job, without those of jobs that are at fault.
	Failures          map[*Job]int
	Unhealthy         bool          // tasks fail on it although their jobs are not at fault
	ProbedAt          clock.Instant // when it was found unhealthy, or a task last probed it since then
	logDurationRatios []float64     // log(actual / typical run time) of its last tasks
}

// DrainState is the progress of returning a machine to the cloud.
type DrainState struct {
	Draining             bool          // it is to be returned to the cloud once it is empty
	DrainReason          DrainReason   // reason for the drain; empty: none
	SurplusSince         clock.Instant // when it began to exceed the required capacity
	Terminating          bool          // a return request to the cloud is in progress
	TerminationRequested bool          // a return request was made, and the cloud may still act on it
	ListedAsFailed       bool          // the cloud's list shows it as failed
	preemptionNotice     clock.Instant // when the cloud will preempt it; never: no notice received
}

// CachedImage is an image in a machine's local cache.
type CachedImage struct {
	name   string
	sizeGB float64
}

// DrainReason is the reason for which a machine is drained, as operators see it on the status
// page.
type DrainReason string

// The reasons for a drain.
const (
	SurplusCapacity     DrainReason = "surplus"       // no longer needed
	PreemptionNoticed   DrainReason = "notice"        // the cloud has announced its preemption
	SlowExecution       DrainReason = "slow"          // it runs tasks far slower than other machines
	Unhealthy           DrainReason = "sick"          // tasks fail on it although their jobs are not at fault
	CommandsUndelivered DrainReason = "deaf"          // responses to its heartbeats do not reach it
	HeartbeatMissed     DrainReason = "silent"        // its heartbeats have stopped
	NeverReported       DrainReason = "never came up" // it has not sent a heartbeat since it was rented
	InstanceFailed      DrainReason = "failed"        // the cloud reports it as failed
	NotListed           DrainReason = "not listed"    // the cloud's list of machines does not contain it
)

// MachineGroup is a set of machines that are stored in one record. With one record per machine, each
// machine needed two writes before its first task, and hundreds of machines that booted together waited
// for these writes as long as for their boot.
type MachineGroup struct {
	Key                       string
	Machines                  map[string]*Machine
	RecordBytes               int  // size of the record
	ChangedSinceWrite         bool // it has changed since the last write was built
	LowPriorityWriteQueued    bool // a low-priority write is queued and will include later changes
	NormalPriorityWriteQueued bool // a normal-priority write is queued and will include later changes
}

// Schedulable reports whether a machine accepts tasks of any job. A draining machine does not, unless
// it is surplus: then placing a task on it cancels the drain.
func (m *Machine) Schedulable() bool {
	return m.usable() && (!m.Draining || m.DrainReason == SurplusCapacity)
}

// IsLastResort reports whether a machine is usable but slow or unhealthy. Such a machine accepts only tasks of
// jobs that have been pending for long.
func (m *Machine) IsLastResort() bool {
	return m.usable() && m.Draining && (m.DrainReason == SlowExecution || m.DrainReason == Unhealthy)
}

// usable reports whether a task that is placed on the machine reaches it and is tracked. The machine's
// last heartbeat must have carried this term's fencing token, so that a delayed copy of a heartbeat
// never adds capacity.
func (m *Machine) usable() bool {
	return m.Up && m.TokenAcknowledged && (m.MissedResponses == 0 || m.UnexpectedRestart) && m.Reconciled &&
		m.UseDurable && !m.Terminating && m.MachineType != nil
}

// HasSpareCapacity reports whether a machine has any free cores and any free memory. Only a task that
// requires none of either may fit on a machine without (RequiresNoCoresOrMemory).
func (m *Machine) HasSpareCapacity() bool {
	return m.UsedCores+ResourceTolerance < m.MachineType.Cores && m.UsedRAM+ResourceTolerance < m.MachineType.MemoryGB
}

// RequiresNoCoresOrMemory reports whether a task of a job requires no cores or no memory, so that it may fit on a
// machine without spare capacity.
func RequiresNoCoresOrMemory(spec *protocol.Job) bool {
	return spec.Cores <= ResourceTolerance || spec.MemoryGB <= ResourceTolerance
}

// MayForceReturn reports whether a draining machine may be returned to the cloud without waiting until it
// is empty. That is so if it sends no heartbeats, is missing from the cloud's list or is listed as failed.
// A machine that commands do not reach may be returned if it has no attempts and results or is not
// reconciled yet.
func (m *Machine) MayForceReturn() bool {
	switch m.DrainReason {
	case HeartbeatMissed, NeverReported, NotListed:
		return true
	case CommandsUndelivered:
		return m.ListedAsFailed || !m.Reconciled || len(m.Attempts)+m.RetainedResults == 0
	}
	return m.ListedAsFailed
}

// Offering returns the offering that the machine was rented from.
func (m *Machine) Offering() fleet.Offering {
	return fleet.Offering{Type: m.TypeName, Zone: m.Zone, Spot: m.Spot}
}

// TouchImage adds an image to the machine's cache, or marks it as the most recently used one, and
// evicts the least recently used images that exceed the cache size.
func (m *Machine) TouchImage(name string, sizeGB float64) {
	m.Images = slices.DeleteFunc(m.Images, func(i CachedImage) bool { return i.name == name })
	m.Images = append(m.Images, CachedImage{name, sizeGB})
	if m.MachineType == nil {
		return
	}
	totalGB := 0.0
	for i := len(m.Images) - 1; i >= 0; i-- {
		totalGB += m.Images[i].sizeGB
		if totalGB > m.MachineType.ImageCacheGB {
			m.Images = slices.Clone(m.Images[i+1:])
			return
		}
	}
}

// HasImage reports whether the machine has cached an image. An empty name stands for no image, which
// every machine has.
func (m *Machine) HasImage(name string) bool {
	return name == "" || slices.ContainsFunc(m.Images, func(i CachedImage) bool { return i.name == name })
}

// PullSeconds returns the time in seconds that the machine needs to pull a job's image, 0 if it has the image.
// The machine's type must be known.
func (m *Machine) PullSeconds(spec *protocol.Job) float64 {
	if m.HasImage(spec.Image) {
		return 0
	}
	return spec.ImageGB / m.MachineType.PullGBPerSecond
}

// addAttempt adds an attempt to the machine. AttemptsInOrder is sorted by attempt number, so that every
// step is deterministic. Its existing elements are never changed in place, because callers may release
// attempts while they iterate over it.
func (m *Machine) addAttempt(attempt *TaskAttempt) {
	m.Attempts[attempt.Key()] = attempt
	m.reportBytes += taskReportBytes(&attempt.Job.Spec)
	if n := len(m.AttemptsInOrder); n == 0 || m.AttemptsInOrder[n-1].Number < attempt.Number {
		m.AttemptsInOrder = append(m.AttemptsInOrder, attempt)
		return
	}
	position, _ := slices.BinarySearchFunc(m.AttemptsInOrder, attempt.Number,
		func(other *TaskAttempt, number uint64) int { return cmp.Compare(other.Number, number) })
	m.AttemptsInOrder = slices.Insert(slices.Clone(m.AttemptsInOrder), position, attempt)
}

// removeAttempt removes an attempt from the machine. Like addAttempt, it leaves the existing elements of
// AttemptsInOrder unchanged.
func (m *Machine) removeAttempt(attempt *TaskAttempt) {
	delete(m.Attempts, attempt.Key())
	m.reportBytes -= taskReportBytes(&attempt.Job.Spec)
	m.AttemptsInOrder = slices.DeleteFunc(slices.Clone(m.AttemptsInOrder),
		func(other *TaskAttempt) bool { return other == attempt })
}

// Capacity is an amount of machine resources. RAM is in GB.
type Capacity struct{ Cores, RAM, Accelerators float64 }

// Add adds the resources that one task of a job requires.
func (c *Capacity) Add(spec *protocol.Job) {
	c.Cores += spec.Cores
	c.RAM += spec.MemoryGB
	c.Accelerators += spec.Accelerators
}

// Fits reports whether the capacity is sufficient for one task of a job.
func (c Capacity) Fits(spec *protocol.Job) bool {
	return spec.Cores <= c.Cores+ResourceTolerance &&
		spec.MemoryGB <= c.RAM+ResourceTolerance &&
		spec.Accelerators <= c.Accelerators+ResourceTolerance
}

// FreeCapacity returns the resources of the machine that no attempt uses. Its type must be known.
func (m *Machine) FreeCapacity() Capacity {
	return Capacity{
		Cores:        m.MachineType.Cores - m.UsedCores,
		RAM:          m.MachineType.MemoryGB - m.UsedRAM,
		Accelerators: m.MachineType.Accelerators - m.usedAccelerators,
	}
}

// ResourceTolerance is the tolerance for rounding errors in sums of resource amounts.
const ResourceTolerance = 1e-6

// Feasible reports whether a machine could run the job's tasks if it were empty: its type, zone and
// size must satisfy the job, and if it is a spot machine, the job must allow these.
func Feasible(j *protocol.Job, machine *Machine) bool {
	return machine.Offering().Fits(j, machine.MachineType)
}
