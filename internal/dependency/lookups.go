package dependency

import (
	"maps"
	"slices"

	"hitchdoor/internal/cluster"
	"hitchdoor/internal/storage"
)

// TickLookups reads the outcome of dependencies that this leader doesn't have as open jobs, within the
// budget for lookups. It is called in each step of the leader.
func (g *Graph) TickLookups() {
	if len(g.Lookups) == 0 {
		return // the usual case, without the cost of sorting
	}
	for _, id := range slices.Sorted(maps.Keys(g.Lookups)) {
		now := g.state.Clock.Now()
		switch dueAt := g.Lookups[id]; {
		case g.state.Jobs[id] != nil || g.Dependents[id] == nil:
			delete(g.Lookups, id)
		case now >= dueAt && g.host.MayLookUp():
			g.Lookups[id] = now + g.lookupInterval
			g.lookUp(id)
		}
	}
}

// lookUp reads the terminal record of a dependency, or its open record if there is none. If neither
// is found, the dependency became terminal between the two reads, and a later lookup finds its
// terminal record.
func (g *Graph) lookUp(jobID string) {
	g.host.ReadTerminalRecord(jobID, func(ok bool, terminal *storage.TerminalRecord) {
		switch {
		case terminal != nil:
			g.ReleaseDependents(jobID, *terminal, false)
		case ok:
			g.host.LoadOpenJob(jobID)
		}
	})
}

// MayBeCancelled reports whether an open job may be cancelled without this leader's knowledge. As
// long as the outcome of some dependency has not been read, a dependency of the job may be
// cancelled, and an earlier leader may have reported that to users.
func (g *Graph) MayBeCancelled(job *cluster.Job) bool {
	return job.PendingDependencies > 0 && len(g.Lookups) > 0
}
