package autoscaler

import (
	"math"

	"hitchdoor/internal/cluster"
)

// minGainToMoveCostRatio is how many times as long as its move a task, and the idle cores of its
// machine, would have to go on for the move to be worth it.
const minGainToMoveCostRatio = 2

// Consolidate moves the few tasks that keep a surplus machine from being returned. It does so only
// if all of them write checkpoints, other machines have room for them, and both the tasks and the
// idle cores of the machine would go on for at least twice as long as the move takes. kept are the
// machines that the plan keeps.
func (a *Autoscaler) Consolidate(kept []*cluster.Machine) {
	freeCores := a.freeCores(kept)
	for _, machine := range a.state.MachinesByName() {
		withinBilledTime := a.state.Clock.Now()-machine.RentedAt < minBilledTime
		if !isSurplus(machine) || withinBilledTime {
			continue
		}
		if len(machine.AttemptsInOrder) == 0 || machine.UsedCores > freeCores || !a.worthMovingTasks(machine) {
			continue
		}
		freeCores -= machine.UsedCores
		for _, attempt := range machine.AttemptsInOrder {
			a.state.RequestStop(attempt, a.state.CheckpointGraceS(attempt))
		}
	}
}

// isSurplus reports whether a machine is drained because there are too many.
func isSurplus(machine *cluster.Machine) bool {
	return machine.Draining && machine.DrainReason == cluster.SurplusCapacity
}

// freeCores returns the cores of the kept machines that neither tasks use nor pending tasks need.
func (a *Autoscaler) freeCores(kept []*cluster.Machine) float64 {
	freeCores := 0.0
	for _, machine := range kept {
		if machine.Schedulable() && !machine.Draining {
			freeCores += machine.MachineType.Cores - machine.UsedCores
		}
	}
	for _, job := range a.state.RunnableJobs {
		if !job.Terminal {
			freeCores -= float64(job.PendingTasks) * job.Spec.Cores
		}
	}
	return freeCores
}

// worthMovingTasks reports whether the tasks of a machine can be moved, and would use it for long
// enough for that to pay.
func (a *Autoscaler) worthMovingTasks(machine *cluster.Machine) bool {
	moveCost, longestRemaining, longestMove := 0.0, 0.0, 0.0
	for _, attempt := range machine.AttemptsInOrder {
		if !a.isMovable(attempt) {
			moveCost = math.Inf(1)
			break
		}
		moveSeconds := a.moveSeconds(attempt)
		moveCost += moveSeconds * attempt.Job.Spec.Cores
		longestRemaining = max(longestRemaining, a.state.RemainingDuration(attempt).Seconds())
		longestMove = max(longestMove, moveSeconds)
	}
	idleCoreSeconds := a.state.IdleUntilEmpty(machine) * machine.MachineType.Cores
	return longestRemaining >= minGainToMoveCostRatio*longestMove && idleCoreSeconds >= minGainToMoveCostRatio*moveCost
}

// isMovable reports whether an attempt writes checkpoints, and has run for long enough that its
// start counts.
func (a *Autoscaler) isMovable(attempt *cluster.TaskAttempt) bool {
	return attempt.Job.Spec.CheckpointIntervalSeconds > 0 &&
		attempt.Phase == cluster.AttemptRunning && attempt.StopGrace == nil &&
		a.state.Clock.Now()-attempt.RunningSince >= cluster.MinCountedRun
}

// moveSeconds returns how long the move of an attempt to another machine takes.
func (a *Autoscaler) moveSeconds(attempt *cluster.TaskAttempt) float64 {
	spec := &attempt.Job.Spec
	pullSeconds := spec.ImageGB / attempt.Machine.MachineType.PullGBPerSecond
	return spec.CheckpointSaveSeconds + pullSeconds + 2*a.state.HeartbeatInterval().Seconds()
}
