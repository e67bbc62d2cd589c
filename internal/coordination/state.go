package coordination

import (
	"cmp"
	"slices"
	"time"

	"hitchdoor/internal/config"
	"hitchdoor/internal/storage"
)

// The parts of a leader's state, grouped by the component that owns them.

// jobTable holds the open jobs and the usage of their tasks.
type jobTable struct {
	jobs     map[string]*job
	runnable map[string]*job   // open jobs without pending dependencies
	after    map[string][]*job // jobs with a pending dependency, by the dependency's id
	over     map[string]bool   // jobs that became terminal in this term
	classes  map[string]*class
	usage    map[string]*usage // by team
	active   [2]int            // tasks on machines: batch, urgent

	partTasks int // tasks covered by one part of a bitmap
	widePart  int // the same at protocol level 0
}

// resourceUsage is what a team's tasks occupy, from the start command to the confirmed end.
type usage struct{ cores, accelerators float64 }

// newJobTable returns an empty job table with the teams of the settings.
func newJobTable(n *Node) jobTable {
	table := jobTable{
		jobs: map[string]*job{}, runnable: map[string]*job{}, after: map[string][]*job{},
		over:    map[string]bool{},
		classes: map[string]*class{}, usage: map[string]*usage{},
		partTasks: storage.PartTasks(n.cfg.Cluster.State.ValueBytes()),
		widePart:  storage.PartTasks(int(n.cfg.Cluster.State.ValueKB * 1024)),
	}
	for _, t := range n.cfg.Cluster.Teams {
		table.usage[t.Name] = &usage{}
	}
	return table
}

// loadState tracks what is being read from the key-value store.
type readingState struct {
	loaded       bool                      // all records have been loaded
	needs        map[string][]storage.Item // dependency records read before their jobs, by job id
	reading      map[string]bool           // jobs whose dependency records are being read
	needsReads   map[string]int            // reads of a job's dependency records
	unreadBits   map[string][]storage.Item // bitmap parts of jobs that are not loaded yet
	lookups      map[string]Instant        // dependencies that are not open here: when to read their outcome
	lookupBudget bucket                    // limits reads of dependencies and of quarantined records
	earlyReports []Request                 // workers' heartbeats received while loading
	quarantine   quarantine

	watchRevision uint64
	watching      bool // a watch is in flight or scheduled
	watchFailures int  // consecutive watches that failed or returned nothing new
}

// newLoadState returns the state at the start of a term, with nothing loaded.
func newReadingState(n *Node) readingState {
	reads := n.cfg.Cluster.State.RPS * lookupShare
	return readingState{
		needs: map[string][]storage.Item{}, reading: map[string]bool{},
		needsReads: map[string]int{},
		unreadBits: map[string][]storage.Item{}, lookups: map[string]Instant{},
		lookupBudget: newBucket(reads, reads), quarantine: newQuarantine(),
	}
}

// objectives holds the service-level objectives of the settings, indexed for the scheduler.
type objectives struct {
	aims        map[string][]aim   // by class, tightest first
	shares      map[string]float64 // by class, the lowest share of jobs that an objective demands
	startWithin time.Duration      // objective for starting guaranteed work; 0: none
}

// newObjectives indexes the objectives of the settings. A class with objectives on completion
// is scheduled by those alone; its objectives on starting are dropped.
func newObjectives(c *config.Cluster) objectives {
	o := objectives{aims: map[string][]aim{}, shares: map[string]float64{}}
	for _, objective := range c.Objectives {
		class, within := objective.Class, config.Seconds(objective.WithinS)
		if objective.Kind == "guarantee" {
			o.startWithin = within
		}
		if least, ok := o.shares[class]; class != "" && (!ok || objective.Share < least) {
			o.shares[class] = objective.Share
		}
		if objective.Kind == "finished" || objective.Kind == "wait" {
			o.aims[class] = append(o.aims[class], aim{within, objective.Kind == "wait"})
		}
	}
	for class, aims := range o.aims {
		if slices.ContainsFunc(aims, func(a aim) bool { return !a.start }) {
			aims = slices.DeleteFunc(aims, func(a aim) bool { return a.start })
		}
		slices.SortFunc(aims, func(a, b aim) int { return cmp.Compare(a.within, b.within) })
		o.aims[class] = aims
	}
	return o
}

// machineTable holds the machines, and the groups in which they are stored.
type machineTable struct {
	machines     map[string]*machine
	gone         map[string]Instant // machines returned or preempted, and when
	sorted       []*machine         // by name; nil: must be rebuilt
	checkedAt    Instant            // when all machines were last checked
	totals       machineTotals      // cached sums over the machines, if totalsValid
	totalsValid  bool
	catalogShape string // machine types last stored, without prices

	groups     []*group
	groupBytes int // size limit of a group's record
	groupsFrom int // lowest number for a new group
}

// newMachineTable returns an empty machine table.
func newMachineTable(n *Node) machineTable {
	return machineTable{machines: map[string]*machine{}, gone: map[string]Instant{},
		checkedAt: never, groupBytes: storage.GroupBytes(n.cfg.Cluster.State.ValueBytes())}
}

// scheduleState holds the results of the last full scheduling pass.
type scheduleState struct {
	dirty          bool          // state has changed since the last pass
	scheduled      Instant       // last pass
	order          []ranked      // pending jobs in scheduling order
	guaranteedJobs map[*job]bool // jobs that fit into their team's guarantee
	pressingWaited bool          // urgent work had waited for too long
	preemptedAt    Instant
	// candidatesExamined counts the machines and jobs examined for placement. Tests check that it does not
	// grow with each heartbeat.
	looked          int
	accountedBefore bool // all machines were reconciled at some time in this term
}

// workerServiceState tracks whether workers receive responses, from this leader and through
// other nodes.
type serviceState struct {
	heardWorker Instant
	// lastServedMajority is when the workers stranded at another node last did not clearly outnumber
	// those served here.
	servesMostAt   Instant
	servedAt       Instant // last response known to have reached its worker
	servedDirectAt Instant // the same, without a relay
	elsewhereSince Instant // since when workers connect to other nodes; never: they don't
}

// newWorkerServiceState returns the state at the start of a term. The timestamps of services start at
// now, so that a new leader does not resign before it had time to serve workers.
func newServiceState(now Instant) serviceState {
	return serviceState{heardWorker: now, servesMostAt: now, servedAt: now,
		servedDirectAt: now, elsewhereSince: never}
}
