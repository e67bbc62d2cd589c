package controller

import (
	"math"
	"time"

	"hitchdoor/internal/config"
	"hitchdoor/internal/fleet"
)

// machineTotals aggregates what the scheduling checks need to know of all machines.
type machineTotals struct {
	slots         float64       // of the machines that are up
	allReconciled bool          // no attempt of an earlier leader runs unknown to this one
	unknownUsage  resourceUsage // upper bound of the resources in use by unknown attempts

	totalCores, largestMachineCores float64                 // cores of all machines, and of the largest one
	unreconciledMachines            int                     // number of machines not reconciled yet
	unreconciledOptions             map[fleet.Offering]bool // their options
	unreconciledTypeUnknown         bool                    // some of them have an unknown type
}

// currentMachineTotals returns the totals, recomputed if a machine has changed.
func (s *clusterState) currentMachineTotals() machineTotals {
	if s.totalsValid {
		return s.totals
	}
	totals := machineTotals{allReconciled: true, unreconciledOptions: map[fleet.Offering]bool{}}
	if s.inventoryIncomplete() {
		totals.allReconciled, totals.unreconciledTypeUnknown, totals.unknownUsage = false, true, resourceUsage{math.Inf(1), math.Inf(1)}
	}
	settings := s.settings
	for _, m := range s.machinesByName() {
		s.candidatesExamined++
		if !m.reconciled {
			totals.allReconciled = false
			totals.unreconciledMachines++
			totals.unreconciledTypeUnknown = totals.unreconciledTypeUnknown || m.typeName == ""
			totals.unreconciledOptions[m.offering()] = true
		}
		if m.machineType == nil {
			if !m.reconciled || m.unknownTasks > 0 {
				// The resources in use on a machine of an unknown type have no upper bound, so no quota has
				// room. Counting them as zero let teams exceed their quota through machines of types no
				// longer sold.
				totals.unknownUsage.cores, totals.unknownUsage.accelerators = math.Inf(1), math.Inf(1)
			}
			continue
		}
		totals.totalCores += m.machineType.Cores
		totals.largestMachineCores = max(totals.largestMachineCores, m.machineType.Cores)
		if m.up && m.tokenAcknowledged {
			totals.slots += settings.SlotsPerCore*m.machineType.Cores + settings.BaseSlots
		}
		if !m.reconciled || m.unknownTasks > 0 {
			totals.unknownUsage.cores += m.machineType.Cores
			totals.unknownUsage.accelerators += m.machineType.Accelerators
		}
	}
	s.totals, s.totalsValid = totals, true
	return totals
}

// allReconciled reports whether no attempt of an earlier leader can be running unknown to this
// one.
func (s *clusterState) allReconciled() bool { return s.currentMachineTotals().allReconciled }

// inventoryIncomplete reports whether tasks of earlier leaders may be running on machines that no
// readable record names.
func (s *clusterState) inventoryIncomplete() bool {
	return s.clock.Now() <= s.inventoryIncompleteUntil
}

// imagePullRate is the rate at which the machines pull images, as a mean weighted by their cores.
type imagePullRate struct{ weightedGBPerS, cores float64 }

// imagePullRate returns the pull rate of the machines held.
func (s *clusterState) imagePullRate() imagePullRate {
	var pullRate imagePullRate
	for _, m := range s.machines {
		if m.machineType != nil {
			pullRate.weightedGBPerS += m.machineType.PullGBPerSecond * m.machineType.Cores
			pullRate.cores += m.machineType.Cores
		}
	}
	return pullRate
}

// pullDuration returns how long an image of a size takes to pull; 0 if the rate is unknown.
func (p imagePullRate) pullDuration(sizeGB float64) time.Duration {
	if p.weightedGBPerS <= 0 {
		return 0
	}
	return config.Seconds(sizeGB * p.cores / p.weightedGBPerS)
}

// remainingCoreSeconds returns the work that a job still needs, with image fetches.
func (s *clusterState) remainingCoreSeconds(j *job, pullRate imagePullRate) float64 {
	expected := s.expectedTaskDuration(j)
	work := float64(j.pendingTasks) * (expected + pullRate.pullDuration(j.spec.ImageGB)).Seconds()
	for _, r := range j.attempts {
		work += s.remainingOfExpected(r, expected).Seconds()
	}
	return work * j.spec.Cores
}

// retainedCores returns the cores of the machines that are up and not draining.
func (s *clusterState) retainedCores() float64 {
	cores := 0.0
	for _, m := range s.machines {
		if m.machineType != nil && m.up && !m.draining {
			cores += m.machineType.Cores
		}
	}
	return cores
}

// bootTime returns the shortest boot time of the machine types.
func (s *clusterState) bootTime() time.Duration {
	shortest := 0.0
	for _, t := range s.catalog {
		if shortest == 0 || t.BootSeconds < shortest {
			shortest = t.BootSeconds
		}
	}
	return config.Seconds(shortest)
}

// idleUntilEmpty returns the mean time, in seconds, for which a core of the machine would be idle
// until the last task on it ends.
func (s *clusterState) idleUntilEmpty(m *machine) float64 {
	longestRemaining, work := 0.0, 0.0
	for _, attempt := range m.attemptsInOrder {
		remaining := s.remainingDuration(attempt).Seconds()
		longestRemaining = max(longestRemaining, remaining)
		work += remaining * attempt.job.spec.Cores
	}
	return longestRemaining - work/m.machineType.Cores
}
