package autoscaler

import (
	"math"

	"hitchdoor/internal/cluster"
)

// minGainToMoveCostRatio is the minimum ratio of the gain of moving tasks off a machine to the cost. It
// applies to the longest remaining run time compared with the longest move, and to the core seconds that
// would be idle on the machine compared with those that the moves take.
const minGainToMoveCostRatio = 2

// Consolidate empties surplus machines, so that they can be returned to the cloud. It stops the few tasks
// that still run on them, with time to save a checkpoint, so that these start again on other machines. A
// machine is emptied only if all its tasks write checkpoints, the kept machines have enough free cores, and
// the move gains at least minGainToMoveCostRatio times what it costs. Machines rented less than
// minBilledTime ago are left alone. kept are the machines that the plan keeps.
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
			a.state.RequestStop(attempt, a.state.CheckpointGrace(attempt).Seconds())
		}
	}
}

// isSurplus reports whether a machine is draining as surplus capacity.
func isSurplus(machine *cluster.Machine) bool {
	return machine.Draining && machine.DrainReason == cluster.SurplusCapacity
}

// freeCores returns the cores of the kept machines that no task uses, minus the cores that pending
// tasks need. The result is negative if the pending tasks need more.
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

// worthMovingTasks reports whether all tasks of a machine can be moved to other machines, and the move
// gains at least minGainToMoveCostRatio times what it costs.
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

// isMovable reports whether an attempt runs, writes checkpoints and is not being stopped, and has run for
// long enough that its start counts towards the SLOs.
func (a *Autoscaler) isMovable(attempt *cluster.TaskAttempt) bool {
	return attempt.Job.Spec.CheckpointIntervalSeconds > 0 &&
		attempt.Phase == cluster.AttemptRunning && attempt.StopGrace == nil &&
		a.state.Clock.Now()-attempt.RunningSince >= cluster.MinCountedRun
}

// moveSeconds returns how many seconds the move of an attempt to another machine takes: the save of a
// checkpoint, the pull of the image at the rate of the present machine, and two heartbeat intervals.
func (a *Autoscaler) moveSeconds(attempt *cluster.TaskAttempt) float64 {
	spec := &attempt.Job.Spec
	pullSeconds := spec.ImageGB / attempt.Machine.MachineType.PullGBPerSecond
	return spec.CheckpointSaveSeconds + pullSeconds + 2*a.state.HeartbeatInterval().Seconds()
}
