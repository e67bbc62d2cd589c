package controller

import (
	"maps"
	"slices"

	"hitchdoor/internal/cluster"
	"hitchdoor/internal/storage"
)

// tickLookups reads the state of dependencies that are not among the open jobs.
func (g *dependencyGraph) tickLookups() {
	for _, id := range slices.Sorted(maps.Keys(g.lookups)) {
		now := g.state.Clock.Now()
		switch dueAt := g.lookups[id]; {
		case g.state.Jobs[id] != nil || g.dependents[id] == nil:
			delete(g.lookups, id)
		case now >= dueAt && g.host.MayLookUp():
			g.lookups[id] = now + g.lookupInterval
			g.lookUp(id)
		}
	}
}

// lookUp reads the terminal record of a dependency, or its open record if there is none. If neither
// is found, the job moved from one to the other between the reads, and a later lookup finds it.
func (g *dependencyGraph) lookUp(jobID string) {
	g.host.ReadTerminalRecord(jobID, func(ok bool, terminal *storage.TerminalRecord) {
		switch {
		case terminal != nil:
			g.releaseDependents(jobID, *terminal, false)
		case ok:
			g.host.LoadOpenJob(jobID)
		}
	})
}

// mayBeCancelled reports whether a dependency of an open job may be cancelled, and an earlier leader
// may have reported that, as long as the outcome of some dependency has not been read.
func (g *dependencyGraph) mayBeCancelled(j *cluster.Job) bool {
	return j.PendingDependencies > 0 && len(g.lookups) > 0
}
