package coordination

import (
	"math"
	"time"

	"hitchdoor/internal/config"
	"hitchdoor/internal/fleet"
)

// machineTotals aggregates what the scheduling checks need to know of all machines.
type machineTotals struct {
	slots    float64 // of the machines that are up
	complete bool    // no attempt of an earlier leader runs unknown to this one
	unknown  usage   // upper bound of the resources in use by unknown attempts

	held, largest  float64               // cores of all machines, and of the largest one
	unaccounted    int                   // number of machines not reconciled yet
	unknownOptions map[fleet.Option]bool // their options
	anything       bool                  // some of them have an unknown type
}

// currentMachineTotals returns the totals, recomputed if a machine has changed.
func (s *clusterState) currentTotals() machineTotals {
	if s.totalsValid {
		return s.totals
	}
	c := machineTotals{complete: true, unknownOptions: map[fleet.Option]bool{}}
	if s.namesMissing() {
		c.complete, c.anything, c.unknown = false, true, usage{math.Inf(1), math.Inf(1)}
	}
	set := s.settings
	for _, m := range s.held() {
		s.looked++
		if !m.accounted {
			c.complete = false
			c.unaccounted++
			c.anything = c.anything || m.typ == ""
			c.unknownOptions[m.option()] = true
		}
		if m.kind == nil {
			if !m.accounted || m.unknownTasks > 0 {
				// The resources in use on a machine of an unknown type have no upper bound, so no quota has
				// room. Counting them as zero let teams exceed their quota through machines of types no
				// longer sold.
				c.unknown.cores, c.unknown.accelerators = math.Inf(1), math.Inf(1)
			}
			continue
		}
		c.held += m.kind.Cores
		c.largest = max(c.largest, m.kind.Cores)
		if m.up && m.shown {
			c.slots += set.SlotsPerCore*m.kind.Cores + set.SlotsBase
		}
		if !m.accounted || m.unknownTasks > 0 {
			c.unknown.cores += m.kind.Cores
			c.unknown.accelerators += m.kind.Accelerators
		}
	}
	s.totals, s.totalsValid = c, true
	return c
}

// allReconciled reports whether no attempt of an earlier leader can be running unknown to this
// one.
func (s *clusterState) accountedAll() bool { return s.currentTotals().complete }

// inventoryIncomplete reports whether tasks of earlier leaders may be running on machines that no
// readable record names.
func (s *clusterState) namesMissing() bool {
	return s.clock.Now() <= s.unnamedUntil
}

// imagePullRate is the rate at which the machines pull images, as a mean weighted by their cores.
type pull struct{ rate, cores float64 }

// imagePullRate returns the pull rate of the machines held.
func (s *clusterState) pull() pull {
	var p pull
	for _, m := range s.machines {
		if m.kind != nil {
			p.rate += m.kind.PullGBPerS * m.kind.Cores
			p.cores += m.kind.Cores
		}
	}
	return p
}

// pullDuration returns how long an image of a size takes to pull; 0 if the rate is unknown.
func (p pull) time(gb float64) time.Duration {
	if p.rate <= 0 {
		return 0
	}
	return config.Seconds(gb * p.cores / p.rate)
}

// remainingCoreSeconds returns the work that a job still needs, with image fetches.
func (s *clusterState) workLeft(j *job, p pull) float64 {
	want := s.expected(j)
	work := float64(j.pending) * (want + p.time(j.spec.ImageGB)).Seconds()
	for _, r := range j.runs {
		work += s.remainingOf(r, want).Seconds()
	}
	return work * j.spec.Cores
}

// retainedCores returns the cores of the machines that are up and not draining.
func (s *clusterState) coresToStay() float64 {
	cores := 0.0
	for _, m := range s.machines {
		if m.kind != nil && m.up && !m.emptying {
			cores += m.kind.Cores
		}
	}
	return cores
}

// bootTime returns the shortest boot time of the machine types.
func (s *clusterState) bootTime() time.Duration {
	boot := 0.0
	for _, t := range s.catalog {
		if boot == 0 || t.ReadyS < boot {
			boot = t.ReadyS
		}
	}
	return config.Seconds(boot)
}

// idleUntilEmpty returns the mean time, in seconds, for which a core of the machine would be idle
// until the last task on it ends.
func (s *clusterState) idleTo(m *machine) float64 {
	last, work := 0.0, 0.0
	for _, r := range m.list {
		left := s.remaining(r).Seconds()
		last = max(last, left)
		work += left * r.job.spec.Cores
	}
	return last - work/m.kind.Cores
}
