package controller

import (
	"cmp"
	"slices"

	"hitchdoor/internal/clock"

	"hitchdoor/internal/fleet"
	"hitchdoor/internal/protocol"
)

// machine is a rented machine in the leader's state.
type machine struct {
	name, typeName, zone string
	spot                 bool
	machineType          *protocol.MachineType // nil while the type is missing from the catalog

	useDurable, markedUsed bool // whether it may have tasks: as stored, and as to be stored
	group                  *machineGroup
	reconciled             bool // no attempt runs on it that this leader does not know
	rentedAt               clock.Instant

	up                  bool   // its heartbeats arrive, and its worker lease has not expired
	address             string // source address of its heartbeats; empty: unknown
	relayPeer           string // the peer that relayed its last heartbeat; empty: none
	epoch, heartbeatSeq uint64
	fencedEpoch         uint64                      // highest epoch whose worker lease has expired
	lastHeartbeat       clock.Instant               // last heartbeat in sequence
	lastResponse        clock.Instant               // last response that may have renewed the worker lease
	lastDelivery        clock.Instant               // when a response was last known to have arrived
	tokenAcknowledged   bool                        // its last heartbeat carried this term's fencing token
	missedResponses     int                         // consecutive responses without effect on its heartbeats
	duplicateName       bool                        // another worker sends heartbeats under the same name
	unexpectedRestart   bool                        // it began a new epoch although its heartbeats never stopped
	unconfirmedResponse *protocol.HeartbeatResponse // last response, until the next heartbeat
	preemptionNotice    clock.Instant               // when the cloud preempts it; never: no notice received

	attempts             map[string]*taskAttempt // by task key
	attemptsInOrder      []*taskAttempt          // the same attempts in order of their numbers
	unknownTasks         int                     // reported tasks without a known attempt
	retainedResults      int                     // reported results that the worker must retain
	usedCores, usedRAM   float64                 // resources used by its attempts, with accelerators
	usedAccelerators     float64
	images               []cachedImage   // least recently used first
	reservedFor          *job            // the job that holds a reservation on it
	surplusSince         clock.Instant   // since when it has exceeded the required capacity
	consecutiveFailures  int             // consecutive task failures
	failedJobs           map[string]bool // distinct jobs among those failures
	unhealthy            bool            // tasks fail on it through no fault of their jobs
	draining             bool            // terminated once it is empty
	terminating          bool            // a return request to the cloud is under way
	listedAsFailed       bool            // the cloud lists it as failed
	terminationRequested bool            // the cloud may still carry out a return request
	drainReason          drainReason     // reason for the drain
	logDurationRatios    []float64       // log(actual / expected run time) of its last tasks
}

// cachedImage is an image in a machine's local cache.
type cachedImage struct {
	name   string
	sizeGB float64
}

// drainReason is the reason for which a machine is drained, as operators see it on the status
// page.
type drainReason string

// The reasons for a drain.
const (
	surplusCapacity     drainReason = "surplus"       // not needed any more
	preemptionNoticed   drainReason = "notice"        // the cloud announced its preemption
	slowExecution       drainReason = "slow"          // runs its tasks far slower than other machines
	unhealthy           drainReason = "sick"          // tasks fail on it
	commandsUndelivered drainReason = "deaf"          // responses do not reach it
	heartbeatMissed     drainReason = "silent"        // its heartbeats stopped
	neverReported       drainReason = "never came up" // no heartbeat since it was rented
	instanceFailed      drainReason = "failed"        // failed according to the cloud
	notListed           drainReason = "not listed"    // missing from the list of the cloud
)

// machineGroup is a set of machines that share one record. With one record each, a machine needed
// two writes before its first task, and hundreds of machines that booted together waited for
// those writes as long as for their boot.
type machineGroup struct {
	key               string
	machines          map[string]*machine
	recordBytes       int  // size of the record
	changedSinceWrite bool // since the last write was formed
	lazyWriteQueued   bool // a low-priority write is queued and will include later changes
	soonWriteQueued   bool // the same with higher priority
}

// schedulable reports whether a machine accepts tasks of any job. Draining machines are excluded,
// except surplus ones, whose drain is cancelled when a task is placed on them.
func (m *machine) schedulable() bool {
	return m.usable() && (!m.draining || m.drainReason == surplusCapacity)
}

// isLastResort reports whether a machine accepts tasks only of jobs that have waited long: it is
// healthy but slow.
func (m *machine) isLastResort() bool {
	return m.usable() && m.draining && m.drainReason == slowExecution
}

// usable reports whether a task placed on the machine reaches it and is tracked: its last
// heartbeat carried this term's fencing token, so a delayed copy of a heartbeat never adds
// capacity.
func (m *machine) usable() bool {
	return m.up && m.tokenAcknowledged && (m.missedResponses == 0 || m.unexpectedRestart) && m.reconciled &&
		m.useDurable && !m.terminating && m.machineType != nil
}

// hasSpareCapacity reports whether a machine could take a task of any size at all.
func (m *machine) hasSpareCapacity() bool {
	return m.usedCores+resourceTolerance < m.machineType.Cores && m.usedRAM+resourceTolerance < m.machineType.MemoryGB
}

// mayForceReturn reports whether a draining machine may be returned although tasks or results are
// on it.
func (m *machine) mayForceReturn() bool {
	switch m.drainReason {
	case heartbeatMissed, neverReported, notListed:
		return true
	case commandsUndelivered:
		return m.listedAsFailed || !m.reconciled || len(m.attempts)+m.retainedResults == 0
	}
	return m.listedAsFailed
}

// offering returns the offering that the machine was rented from.
func (m *machine) offering() fleet.Offering {
	return fleet.Offering{Type: m.typeName, Zone: m.zone, Spot: m.spot}
}

// touchImage marks an image as the most recently used of the machine and evicts the least recently
// used ones beyond the cache size.
func (m *machine) touchImage(name string, sizeGB float64) {
	m.images = slices.DeleteFunc(m.images, func(i cachedImage) bool { return i.name == name })
	m.images = append(m.images, cachedImage{name, sizeGB})
	if m.machineType == nil {
		return
	}
	totalGB := 0.0
	for i := len(m.images) - 1; i >= 0; i-- {
		totalGB += m.images[i].sizeGB
		if totalGB > m.machineType.ImageCacheGB {
			m.images = slices.Clone(m.images[i+1:])
			return
		}
	}
}

// hasImage reports whether the machine has cached an image. Every machine has the empty image.
func (m *machine) hasImage(name string) bool {
	return name == "" || slices.ContainsFunc(m.images, func(i cachedImage) bool { return i.name == name })
}

// addAttempt adds an attempt to the machine. attemptsInOrder is sorted by attempt number to keep
// every step deterministic. Callers may release attempts while they iterate, so existing elements
// are never changed in place.
func (m *machine) addAttempt(r *taskAttempt) {
	m.attempts[r.key()] = r
	if n := len(m.attemptsInOrder); n == 0 || m.attemptsInOrder[n-1].number < r.number {
		m.attemptsInOrder = append(m.attemptsInOrder, r)
		return
	}
	position, _ := slices.BinarySearchFunc(m.attemptsInOrder, r.number, func(other *taskAttempt, number uint64) int {
		return cmp.Compare(other.number, number)
	})
	m.attemptsInOrder = slices.Insert(slices.Clone(m.attemptsInOrder), position, r)
}

// dropAttempt removes an attempt from the machine.
func (m *machine) dropAttempt(r *taskAttempt) {
	delete(m.attempts, r.key())
	m.attemptsInOrder = slices.DeleteFunc(slices.Clone(m.attemptsInOrder), func(other *taskAttempt) bool { return other == r })
}

// capacity is an amount of the resources of a machine.
type capacity struct{ cores, ram, accelerators float64 }

// add adds the resources of one task of a job.
func (c *capacity) add(spec *protocol.Job) {
	c.cores += spec.Cores
	c.ram += spec.MemoryGB
	c.accelerators += spec.Accelerators
}

// fits reports whether one task of a job fits.
func (c capacity) fits(spec *protocol.Job) bool {
	return spec.Cores <= c.cores+resourceTolerance && spec.MemoryGB <= c.ram+resourceTolerance && spec.Accelerators <= c.accelerators+resourceTolerance
}

// freeCapacity returns the machine's resources that no attempt uses.
func (m *machine) freeCapacity() capacity {
	return capacity{m.machineType.Cores - m.usedCores, m.machineType.MemoryGB - m.usedRAM, m.machineType.Accelerators - m.usedAccelerators}
}

// resourceTolerance absorbs rounding errors in sums of resource amounts.
const resourceTolerance = 1e-6

// feasible is the feasibility filter: it reports whether a machine can run the job's tasks at
// all.
func feasible(j *protocol.Job, m *machine) bool { return m.offering().Fits(j, m.machineType) }
