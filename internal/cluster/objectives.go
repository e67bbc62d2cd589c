package cluster

import (
	"cmp"
	"slices"
	"time"

	"hitchdoor/internal/config"
)

// Slo is a service-level objective of a job class: jobs are to be complete, or to have started,
// within a time limit.
type Slo struct {
	Limit   time.Duration // since the job became eligible
	OnStart bool          // applies to the start instead of the completion
}

// objectives holds the service-level objectives of the settings, indexed for the scheduler.
type objectives struct {
	Slos                  map[string][]Slo   // by class, tightest first
	MinShare              map[string]float64 // by class, the lowest share of jobs that an objective demands
	GuaranteedStartWithin time.Duration      // objective for starting guaranteed work; 0: none
}

// newObjectives indexes the objectives of the settings. A class with objectives on completion
// is scheduled by those alone; its objectives on starting are dropped.
func newObjectives(cluster *config.Cluster) objectives {
	table := objectives{Slos: map[string][]Slo{}, MinShare: map[string]float64{}}
	for _, objective := range cluster.Objectives {
		class, within := objective.Class, config.Seconds(objective.WithinS)
		if objective.Kind == "guarantee" {
			table.GuaranteedStartWithin = within
		}
		if lowestShare, ok := table.MinShare[class]; class != "" && (!ok || objective.MinShare < lowestShare) {
			table.MinShare[class] = objective.MinShare
		}
		if objective.Kind == "finished" || objective.Kind == "wait" {
			table.Slos[class] = append(table.Slos[class], Slo{within, objective.Kind == "wait"})
		}
	}
	for class, slos := range table.Slos {
		if slices.ContainsFunc(slos, func(a Slo) bool { return !a.OnStart }) {
			slos = slices.DeleteFunc(slos, func(a Slo) bool { return a.OnStart })
		}
		slices.SortFunc(slos, func(a, b Slo) int { return cmp.Compare(a.Limit, b.Limit) })
		table.Slos[class] = slos
	}
	return table
}

// Large jobs yield while not all jobs can be in time, and late jobs come last. Still, every job
// must start within MaxStartDelay, however long a burst of small or latency-sensitive work lasts,
// and no class or team may starve another. So a job that has not started after OverdueAfter is
// overdue and starts ahead of all others, with a part of its tasks; and a job older than
// MaxStartDelay is ordered with the latency-sensitive work, by age.
const (
	MaxStartDelay      = 4 * time.Minute // limit of the protocol
	OverdueAfter       = MaxStartDelay * 3 / 8
	OverdueTaskDivisor = 8 // an overdue job starts one in this many of its tasks
)

// PlannedStartWithin is the time within which the plan lets every job start, even one without an
// SLO or with a longer one. It is well inside MaxStartDelay.
const PlannedStartWithin = MaxStartDelay * 3 / 5
