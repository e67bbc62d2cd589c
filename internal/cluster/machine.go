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
	Reconciled           bool // no attempt runs on it that this leader does not know

	RecordState
	WorkerLink
	Occupancy
	MachineHealth
	DrainState
}

// RecordState is how a machine is stored.
type RecordState struct {
	UseDurable, MarkedUsed bool // whether it may have tasks: as stored, and as to be stored
	Group                  *MachineGroup
}

// WorkerLink is what the leader knows of the exchange of heartbeats and responses with a machine's
// worker.
type WorkerLink struct {
	Up                  bool   // its heartbeats arrive, and its worker lease has not expired
	Address             string // source address of its heartbeats; empty: unknown
	RelayPeer           string // the peer that relayed its last heartbeat; empty: none
	Epoch, HeartbeatSeq uint64
	FencedEpoch         uint64                      // highest epoch whose worker lease has expired
	LastHeartbeat       clock.Instant               // last heartbeat in sequence
	LastResponse        clock.Instant               // last response that may have renewed the worker lease
	LastDelivery        clock.Instant               // when a response was last known to have arrived
	TokenAcknowledged   bool                        // its last heartbeat carried this term's fencing token
	MissedResponses     int                         // consecutive responses without effect on its heartbeats
	DuplicateName       bool                        // another worker sends heartbeats under the same name
	UnexpectedRestart   bool                        // it began a new epoch although its heartbeats never stopped
	UnconfirmedResponse *protocol.HeartbeatResponse // last response, until the next heartbeat
}

// Occupancy is what a machine runs, holds and is reserved for.
type Occupancy struct {
	Attempts           map[string]*TaskAttempt // by task key
	AttemptsInOrder    []*TaskAttempt          // the same attempts in order of their numbers
	UnknownTasks       int                     // reported tasks without a known attempt
	RetainedResults    int                     // reported results that the worker must retain
	UsedCores, UsedRAM float64                 // resources used by its attempts, with accelerators
	usedAccelerators   float64
	Images             []CachedImage // least recently used first
	ReservedFor        *Job          // the job that holds a reservation on it
}

// MachineHealth is what finished and failed tasks have shown of a machine.
type MachineHealth struct {
	ConsecutiveFailures int             // consecutive task failures
	FailedJobs          map[string]bool // distinct jobs among those failures
	Unhealthy           bool            // tasks fail on it through no fault of their jobs
	logDurationRatios   []float64       // log(actual / expected run time) of its last tasks
}

// DrainState is how far a machine is on its way back to the cloud.
type DrainState struct {
	Draining             bool          // returned once it is empty
	DrainReason          DrainReason   // reason for the drain; empty: none
	SurplusSince         clock.Instant // since when it has exceeded the required capacity
	Terminating          bool          // a return request to the cloud is under way
	TerminationRequested bool          // the cloud may still carry out a return request
	ListedAsFailed       bool          // the cloud lists it as failed
	preemptionNotice     clock.Instant // when the cloud preempts it; never: no notice received
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
	SurplusCapacity     DrainReason = "surplus"       // not needed any more
	PreemptionNoticed   DrainReason = "notice"        // the cloud announced its preemption
	SlowExecution       DrainReason = "slow"          // runs its tasks far slower than other machines
	Unhealthy           DrainReason = "sick"          // tasks fail on it
	CommandsUndelivered DrainReason = "deaf"          // responses do not reach it
	HeartbeatMissed     DrainReason = "silent"        // its heartbeats stopped
	NeverReported       DrainReason = "never came up" // no heartbeat since it was rented
	InstanceFailed      DrainReason = "failed"        // failed according to the cloud
	NotListed           DrainReason = "not listed"    // missing from the list of the cloud
)

// MachineGroup is a set of machines that share one record. With one record each, a machine needed
// two writes before its first task, and hundreds of machines that booted together waited for
// those writes as long as for their boot.
type MachineGroup struct {
	Key               string
	Machines          map[string]*Machine
	RecordBytes       int  // size of the record
	ChangedSinceWrite bool // since the last write was formed
	LazyWriteQueued   bool // a low-priority write is queued and will include later changes
	SoonWriteQueued   bool // the same with higher priority
}

// Schedulable reports whether a machine accepts tasks of any job. Draining machines are excluded,
// except surplus ones, whose drain is cancelled when a task is placed on them.
func (m *Machine) Schedulable() bool {
	return m.usable() && (!m.Draining || m.DrainReason == SurplusCapacity)
}

// IsLastResort reports whether a machine accepts tasks only of jobs that have waited long: it is
// healthy but slow.
func (m *Machine) IsLastResort() bool {
	return m.usable() && m.Draining && m.DrainReason == SlowExecution
}

// usable reports whether a task placed on the machine reaches it and is tracked: its last
// heartbeat carried this term's fencing token, so a delayed copy of a heartbeat never adds
// capacity.
func (m *Machine) usable() bool {
	return m.Up && m.TokenAcknowledged && (m.MissedResponses == 0 || m.UnexpectedRestart) && m.Reconciled &&
		m.UseDurable && !m.Terminating && m.MachineType != nil
}

// HasSpareCapacity reports whether a machine could take a task of any size at all.
func (m *Machine) HasSpareCapacity() bool {
	return m.UsedCores+ResourceTolerance < m.MachineType.Cores && m.UsedRAM+ResourceTolerance < m.MachineType.MemoryGB
}

// MayForceReturn reports whether a draining machine may be returned although tasks or results are
// on it.
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

// TouchImage marks an image as the most recently used of the machine and evicts the least recently
// used ones beyond the cache size.
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

// HasImage reports whether the machine has cached an image. Every machine has the empty image.
func (m *Machine) HasImage(name string) bool {
	return name == "" || slices.ContainsFunc(m.Images, func(i CachedImage) bool { return i.name == name })
}

// addAttempt adds an attempt to the machine. AttemptsInOrder is sorted by attempt number to keep
// every step deterministic. Callers may release attempts while they iterate, so existing elements
// are never changed in place.
func (m *Machine) addAttempt(attempt *TaskAttempt) {
	m.Attempts[attempt.Key()] = attempt
	if n := len(m.AttemptsInOrder); n == 0 || m.AttemptsInOrder[n-1].Number < attempt.Number {
		m.AttemptsInOrder = append(m.AttemptsInOrder, attempt)
		return
	}
	position, _ := slices.BinarySearchFunc(m.AttemptsInOrder, attempt.Number,
		func(other *TaskAttempt, number uint64) int { return cmp.Compare(other.Number, number) })
	m.AttemptsInOrder = slices.Insert(slices.Clone(m.AttemptsInOrder), position, attempt)
}

// removeAttempt removes an attempt from the machine.
func (m *Machine) removeAttempt(attempt *TaskAttempt) {
	delete(m.Attempts, attempt.Key())
	m.AttemptsInOrder = slices.DeleteFunc(slices.Clone(m.AttemptsInOrder),
		func(other *TaskAttempt) bool { return other == attempt })
}

// Capacity is an amount of the resources of a machine.
type Capacity struct{ Cores, RAM, Accelerators float64 }

// Add adds the resources of one task of a job.
func (c *Capacity) Add(spec *protocol.Job) {
	c.Cores += spec.Cores
	c.RAM += spec.MemoryGB
	c.Accelerators += spec.Accelerators
}

// Fits reports whether one task of a job fits.
func (c Capacity) Fits(spec *protocol.Job) bool {
	return spec.Cores <= c.Cores+ResourceTolerance &&
		spec.MemoryGB <= c.RAM+ResourceTolerance &&
		spec.Accelerators <= c.Accelerators+ResourceTolerance
}

// FreeCapacity returns the machine's resources that no attempt uses.
func (m *Machine) FreeCapacity() Capacity {
	return Capacity{
		Cores:        m.MachineType.Cores - m.UsedCores,
		RAM:          m.MachineType.MemoryGB - m.UsedRAM,
		Accelerators: m.MachineType.Accelerators - m.usedAccelerators,
	}
}

// ResourceTolerance absorbs rounding errors in sums of resource amounts.
const ResourceTolerance = 1e-6

// Feasible is the feasibility filter: it reports whether a machine can run the job's tasks at
// all.
func Feasible(j *protocol.Job, machine *Machine) bool {
	return machine.Offering().Fits(j, machine.MachineType)
}
