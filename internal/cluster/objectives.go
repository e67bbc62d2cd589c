package cluster

import (
	"cmp"
	"slices"
	"time"

	"hitchdoor/internal/config"
)

// SLO is a service-level objective of a job class: jobs should complete, or start, within a time limit.
type SLO struct {
	Limit   time.Duration // counts from when the job became eligible
	OnStart bool          // the job must start, rather than complete, within the limit
}

// objectives holds the service-level objectives of the settings, indexed by job class.
type objectives struct {
	SLOs                  map[string][]SLO   // by class, tightest first
	MinShare              map[string]float64 // by class, the lowest share of jobs (0 to 1) that an objective requires
	GuaranteedStartWithin time.Duration      // start objective of jobs within their team's guarantee; 0: none
}

// newObjectives indexes the objectives of the settings. If a class has completion objectives, its start
// objectives are ignored.
func newObjectives(cluster *config.Cluster) objectives {
	table := objectives{SLOs: map[string][]SLO{}, MinShare: map[string]float64{}}
	for _, objective := range cluster.Objectives {
		class, within := objective.Class, config.Seconds(objective.WithinS)
		if objective.Kind == "guarantee" {
			table.GuaranteedStartWithin = within
		}
		if lowestShare, ok := table.MinShare[class]; class != "" && (!ok || objective.MinShare < lowestShare) {
			table.MinShare[class] = objective.MinShare
		}
		if objective.Kind == "finished" || objective.Kind == "wait" {
			table.SLOs[class] = append(table.SLOs[class], SLO{within, objective.Kind == "wait"})
		}
	}
	for class, slos := range table.SLOs {
		if slices.ContainsFunc(slos, func(a SLO) bool { return !a.OnStart }) {
			slos = slices.DeleteFunc(slos, func(a SLO) bool { return a.OnStart })
		}
		slices.SortFunc(slos, func(a, b SLO) int { return cmp.Compare(a.Limit, b.Limit) })
		table.SLOs[class] = slos
	}
	return table
}

// Limits that prevent starvation. Every job must start within MaxStartDelay, however long a burst of
// small or latency-sensitive work lasts, and no class or team may starve another. The queue order alone
// does not ensure that, because it demotes large jobs while not all jobs can meet their due times, and
// puts late jobs last. Two measures do: a job that has not started after OverdueAfter starts some of its
// tasks ahead of all other jobs, and a job older than MaxStartDelay is queued with the latency-sensitive
// work, by age, unless it has started and its team uses more than its guarantee.
const (
	MaxStartDelay      = 4 * time.Minute // limit, set by the protocol, on the time until a job starts
	OverdueAfter       = MaxStartDelay * 3 / 8
	OverdueTaskDivisor = 8 // an overdue job starts one in this many of its tasks
)

// PlannedStartWithin is the time within which the capacity plan lets every job start, even if the job
// has no SLO or a longer one. It is well below MaxStartDelay.
const PlannedStartWithin = MaxStartDelay * 3 / 5
