package coordination

import (
	"cmp"
	"slices"

	"hitchdoor/internal/fleet"
	"hitchdoor/internal/protocol"
)

// machine is a rented machine in the leader's state.
type machine struct {
	name, typ, zone string
	spot            bool
	kind            *protocol.MachineType // nil while the type is missing from the catalog

	used, wantsUse bool // whether it may have tasks: as stored, and as to be stored
	group          *group
	accounted      bool // no attempt runs on it that this leader does not know
	rentedAt       Instant

	up            bool   // its heartbeats arrive, and its worker lease has not expired
	address       string // source address of its heartbeats; empty: unknown
	via           string // the peer that relayed its last heartbeat; empty: none
	session, seq  uint64
	lost          uint64                 // highest epoch whose worker lease has expired
	heard         Instant                // last heartbeat in sequence
	answered      Instant                // last response that may have renewed the worker lease
	servedAt      Instant                // when a response was last known to have arrived
	shown         bool                   // its last heartbeat carried this term's fencing token
	missedAnswers int                    // consecutive responses without effect on its heartbeats
	twice         bool                   // another worker sends heartbeats under the same name
	restarted     bool                   // it began a new epoch although its heartbeats never stopped
	last          *protocol.ReportAnswer // last response, until the next heartbeat
	notice        Instant                // when the cloud preempts it; never: no notice received

	runs          map[string]*run // by task key
	list          []*run          // the same attempts in order of their numbers
	unknownTasks  int             // reported tasks without a known attempt
	results       int             // reported results that the worker must retain
	cores, ram    float64         // resources used by its attempts, with accelerators
	accelerators  float64
	images        []image         // least recently used first
	reservedFor   *job            // the job that holds a reservation on it
	spareSince    Instant         // since when it has exceeded the required capacity
	failures      int             // consecutive task failures
	failedJobs    map[string]bool // distinct jobs among those failures
	sick          bool            // tasks fail on it through no fault of their jobs
	emptying      bool            // terminated once it is empty
	returning     bool            // a return request to the cloud is under way
	failedListing bool            // the cloud lists it as failed
	asked         bool            // the cloud may still carry out a return request
	why           cause           // reason for the drain
	pace          []float64       // log(actual / expected run time) of its last tasks
}

// cachedImage is an image in a machine's local cache.
type image struct {
	name string
	gb   float64
}

// drainReason is the reason for which a machine is drained, as operators see it on the status
// page.
type cause string

// The reasons for a drain.
const (
	surplus     cause = "surplus"       // not needed any more
	noticed     cause = "notice"        // the cloud announced its preemption
	slow        cause = "slow"          // runs its tasks far slower than other machines
	sick        cause = "sick"          // tasks fail on it
	deaf        cause = "deaf"          // responses do not reach it
	silent      cause = "silent"        // its heartbeats stopped
	neverUp     cause = "never came up" // no heartbeat since it was rented
	failedAlone cause = "failed"        // failed according to the cloud
	notListed   cause = "not listed"    // missing from the list of the cloud
)

// machineGroup is a set of machines that share one record. With one record each, a machine needed
// two writes before its first task, and hundreds of machines that booted together waited for
// those writes as long as for their boot.
type group struct {
	key      string
	machines map[string]*machine
	bytes    int  // size of the record
	changed  bool // since the last write was formed
	queued   bool // a low-priority write is queued and will include later changes
	hurried  bool // the same with higher priority
}

// schedulable reports whether a machine accepts tasks of any job. Draining machines are excluded,
// except surplus ones, whose drain is cancelled when a task is placed on them.
func (m *machine) ready() bool { return m.usable() && (!m.emptying || m.why == surplus) }

// isLastResort reports whether a machine accepts tasks only of jobs that have waited long: it is
// healthy but slow.
func (m *machine) lastResort() bool { return m.usable() && m.emptying && m.why == slow }

// usable reports whether a task placed on the machine reaches it and is tracked: its last
// heartbeat carried this term's fencing token, so a delayed copy of a heartbeat never adds
// capacity.
func (m *machine) usable() bool {
	return m.up && m.shown && (m.missedAnswers == 0 || m.restarted) && m.accounted &&
		m.used && !m.returning && m.kind != nil
}

// hasSpareCapacity reports whether a machine could take a task of any size at all.
func (m *machine) hasSpace() bool {
	return m.cores+slack < m.kind.Cores && m.ram+slack < m.kind.RAM
}

// mayForceReturn reports whether a draining machine may be returned although tasks or results are
// on it.
func (m *machine) forced() bool {
	switch m.why {
	case silent, neverUp, notListed:
		return true
	case deaf:
		return m.failedListing || !m.accounted || len(m.runs)+m.results == 0
	}
	return m.failedListing
}

// offering returns the offering that the machine was rented from.
func (m *machine) option() fleet.Option { return fleet.Option{Type: m.typ, Zone: m.zone, Spot: m.spot} }

// touchImage marks an image as the most recently used of the machine and evicts the least recently
// used ones beyond the cache size.
func (m *machine) touch(name string, gb float64) {
	m.images = slices.DeleteFunc(m.images, func(i image) bool { return i.name == name })
	m.images = append(m.images, image{name, gb})
	if m.kind == nil {
		return
	}
	total := 0.0
	for i := len(m.images) - 1; i >= 0; i-- {
		total += m.images[i].gb
		if total > m.kind.CacheGB {
			m.images = slices.Clone(m.images[i+1:])
			return
		}
	}
}

// hasImage reports whether the machine has cached an image. Every machine has the empty image.
func (m *machine) hasImage(name string) bool {
	return name == "" || slices.ContainsFunc(m.images, func(i image) bool { return i.name == name })
}

// addAttempt adds an attempt to the machine. attemptsInOrder is sorted by attempt number to keep
// every step deterministic. Callers may release attempts while they iterate, so existing elements
// are never changed in place.
func (m *machine) addRun(r *run) {
	m.runs[r.key()] = r
	if n := len(m.list); n == 0 || m.list[n-1].attempt < r.attempt {
		m.list = append(m.list, r)
		return
	}
	at, _ := slices.BinarySearchFunc(m.list, r.attempt, func(x *run, attempt uint64) int {
		return cmp.Compare(x.attempt, attempt)
	})
	m.list = slices.Insert(slices.Clone(m.list), at, r)
}

// dropAttempt removes an attempt from the machine.
func (m *machine) dropRun(r *run) {
	delete(m.runs, r.key())
	m.list = slices.DeleteFunc(slices.Clone(m.list), func(x *run) bool { return x == r })
}

// capacity is an amount of the resources of a machine.
type capacity struct{ cores, ram, accelerators float64 }

// add adds the resources of one task of a job.
func (c *capacity) add(spec *protocol.Job) {
	c.cores += spec.Cores
	c.ram += spec.RAM
	c.accelerators += spec.Accelerators
}

// fits reports whether one task of a job fits.
func (c capacity) holds(spec *protocol.Job) bool {
	return spec.Cores <= c.cores+slack && spec.RAM <= c.ram+slack && spec.Accelerators <= c.accelerators+slack
}

// freeCapacity returns the machine's resources that no attempt uses.
func (m *machine) free() capacity {
	return capacity{m.kind.Cores - m.cores, m.kind.RAM - m.ram, m.kind.Accelerators - m.accelerators}
}

// resourceTolerance absorbs rounding errors in sums of resource amounts.
const slack = 1e-6

// feasible is the feasibility filter: it reports whether a machine can run the job's tasks at
// all.
func allowed(j *protocol.Job, m *machine) bool { return m.option().Fits(j, m.kind) }
