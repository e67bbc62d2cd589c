package coordination

import (
	"cmp"
	"slices"
	"time"

	"hitchdoor/internal/config"
	"hitchdoor/internal/storage"
)

// What a leader knows, by what owns it.

// jobTable holds the open jobs.
type jobTable struct {
	jobs     map[string]*job
	runnable map[string]*job   // those of them that wait for no others
	after    map[string][]*job // those that wait for a job that is not known to be over, by its id
	over     map[string]bool   // ended in this term
	classes  map[string]*class
	usage    map[string]*usage // by team
	active   [2]int            // tasks on machines, by class: batch, pressing

	partTasks int // that one part of a bitmap covers
	widePart  int // the same, as level 0 has it
}

// usage is what a team's tasks hold, from command to confirmed end.
type usage struct{ cores, accelerators float64 }

func newJobTable(n *Node) jobTable {
	table := jobTable{
		jobs: map[string]*job{}, runnable: map[string]*job{}, after: map[string][]*job{}, over: map[string]bool{},
		classes: map[string]*class{}, usage: map[string]*usage{},
		partTasks: storage.PartTasks(n.cfg.Cluster.State.ValueBytes()),
		widePart:  storage.PartTasks(int(n.cfg.Cluster.State.ValueKB * 1024)),
	}
	for _, t := range n.cfg.Cluster.Teams {
		table.usage[t.Name] = &usage{}
	}
	return table
}

// readingState holds what is being read from the state service.
type readingState struct {
	loaded       bool                      // all records have been read
	needs        map[string][]storage.Item // read before the jobs that need them
	reading      map[string]bool           // jobs of which that is under way
	needsReads   map[string]int            // how often the jobs that a job needs were read
	unreadBits   map[string][]storage.Item // parts of bitmaps of jobs that are not read yet
	lookups      map[string]Instant        // needed jobs that are not open here: when to read what became of them
	lookupBudget bucket                    // those reads
	earlyReports []Request                 // reports that came while loading
	quarantine   quarantine

	watchRevision uint64
	watching      bool
	watchFailures int // watches in a row of which nothing came
}

func newReadingState(n *Node) readingState {
	reads := n.cfg.Cluster.State.RPS * lookupShare
	return readingState{
		needs: map[string][]storage.Item{}, reading: map[string]bool{}, needsReads: map[string]int{}, unreadBits: map[string][]storage.Item{},
		lookups: map[string]Instant{}, lookupBudget: newBucket(reads, reads), quarantine: newQuarantine(),
	}
}

// objectives are the aims of the settings, as scheduling looks them up.
type objectives struct {
	aims        map[string][]aim   // by class, shortest first
	shares      map[string]float64 // by class, the least share of jobs that an aim asks for
	startWithin time.Duration      // aim on starting guaranteed work; 0: none
}

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

// machineTable holds the machines, and the groups that record them.
type machineTable struct {
	machines     map[string]*machine
	gone         map[string]Instant // returned or taken, and when
	sorted       []*machine         // by name; nil: to be made anew
	checkedAt    Instant            // when all were looked at
	totals       machineTotals      // of them, as of the last change
	totalsValid  bool
	catalogShape string // of the machine types last stored, without prices

	groups     []*group
	groupBytes int // how large their records may grow
	groupsFrom int // the least number that a new one gets
}

func newMachineTable(n *Node) machineTable {
	return machineTable{machines: map[string]*machine{}, gone: map[string]Instant{}, checkedAt: never,
		groupBytes: storage.GroupBytes(n.cfg.Cluster.State.ValueBytes())}
}

// scheduleState holds what the last full pass has found.
type scheduleState struct {
	dirty           bool // something has changed since
	scheduled       Instant
	order           []ranked      // jobs that wait
	guaranteedJobs  map[*job]bool // those that fit into their team's guarantee
	pressingWaited  bool          // pressing work had waited for too long
	preemptedAt     Instant
	looked          int  // machines and jobs looked at for admission: what must not grow with a report
	accountedBefore bool // all machines were accounted for once
}

// serviceState holds what is known of how workers are served, here and elsewhere.
type serviceState struct {
	heardWorker    Instant
	servesMostAt   Instant // when clearly more workers were last not stranded elsewhere
	servedAt       Instant // when an answer was last known to have reached its worker
	servedDirectAt Instant // the same, over a connection of this node's own
	elsewhereSince Instant // since when workers come to other nodes
}

func newServiceState(now Instant) serviceState {
	return serviceState{heardWorker: now, servesMostAt: now, servedAt: now, servedDirectAt: now, elsewhereSince: never}
}
