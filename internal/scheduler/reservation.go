package scheduler

import (
	"cmp"
	"slices"
	"time"

	"hitchdoor/internal/cluster"
	"hitchdoor/internal/config"
	"hitchdoor/internal/protocol"
)

// Resource reservations keep capacity on a machine for the next task of a job that has waited too
// long. Without them, small tasks take each core of a full cluster as it becomes free, and a task that
// needs many cores never starts, whatever its position in the queue.
//
// A job has at most one reservation, which covers exactly what one task needs. The rest of the machine
// stays available to other jobs.

// firmReservationAfter is the age of a job from which its reservation also keeps out work within a
// guarantee. It is late enough that such work is rarely affected, and early enough that tasks of
// typical length on the machine end before the job reaches MaxStartDelay.
const firmReservationAfter = cluster.MaxStartDelay * 5 / 8

// reservedMachineDivisor limits the reserved machines to 1/reservedMachineDivisor of the schedulable ones.
const reservedMachineDivisor = 2

// renewReservations updates the reservations after a full pass. It releases those that are no longer
// needed and adds at most one, because the search for a machine examines all attempts.
func (s *Scheduler) renewReservations() {
	eligibleJobs := s.jobsEligibleForReservation()
	schedulableMachines, reserved := 0, 0
	for _, machine := range s.MachinesByName() {
		if machine.Schedulable() {
			schedulableMachines++
		}
		if machine.ReservedFor == nil {
			continue
		}
		if !eligibleJobs[machine.ReservedFor] || !machine.Schedulable() || machine.Draining {
			s.ReleaseReservation(machine.ReservedFor)
			continue
		}
		reserved++
	}
	if reserved < max(1, schedulableMachines/reservedMachineDivisor) {
		s.addReservation(eligibleJobs)
	}
}

// jobsEligibleForReservation returns the jobs with pending tasks that have waited long enough and lack
// nothing but capacity. Jobs whose tasks have failed on some machine, without a success since, are left out.
func (s *Scheduler) jobsEligibleForReservation() map[*cluster.Job]bool {
	eligibleJobs := map[*cluster.Job]bool{}
	for _, queued := range s.PendingOrder {
		job := queued.Job
		lacksOnlyCapacity := job.BlockedBy == cluster.WaitCapacity && len(job.FailedMachines) == 0
		if queued.mayReserve && job.PendingTasks > 0 && lacksOnlyCapacity {
			eligibleJobs[job] = true
		}
	}
	return eligibleJobs
}

// addReservation reserves a machine for the first eligible job in queue order that has no reservation
// and for which no machine was searched within the last heartbeat interval.
func (s *Scheduler) addReservation(eligibleJobs map[*cluster.Job]bool) {
	now := s.Clock.Now()
	for _, queued := range s.PendingOrder {
		job := queued.Job
		triedRecently := now < job.Reservation.SearchedAt+s.HeartbeatInterval()
		if !eligibleJobs[job] || job.Reservation.Machine != nil || triedRecently {
			continue
		}
		job.Reservation.SearchedAt = now
		if machine, wait := s.machineWithEarliestRoom(job); machine != nil {
			job.Reservation.Machine, machine.ReservedFor = machine, job
			job.Reservation.StartsAt = now + wait
			s.Log.Debug("machine reserved for a job that has waited too long",
				"machine", machine.Name, "job", job.Spec.ID, "age", now-job.EligibleAt)
		}
		return
	}
}

// machineWithEarliestRoom returns the machine that is expected to be the first with both room for a
// task of the job and the job's image, and the time until then. It returns nil if no machine is feasible.
func (s *Scheduler) machineWithEarliestRoom(job *cluster.Job) (best *cluster.Machine, soonest time.Duration) {
	for _, machine := range s.MachinesByName() {
		if !machine.Schedulable() || machine.Draining || machine.ReservedFor != nil ||
			!cluster.Feasible(&job.Spec, machine) {
			continue
		}
		wait := s.timeToFreeCapacity(machine, &job.Spec) + config.Seconds(machine.PullSeconds(&job.Spec))
		if best == nil || wait < soonest {
			best, soonest = machine, wait
		}
	}
	return best, soonest
}

// timeToFreeCapacity returns the expected time until enough attempts on a machine have ended for a
// task of the job to fit.
func (s *Scheduler) timeToFreeCapacity(machine *cluster.Machine, spec *protocol.Job) time.Duration {
	free := machine.FreeCapacity()
	attempts := slices.Clone(machine.AttemptsInOrder)
	slices.SortStableFunc(attempts, func(first, second *cluster.TaskAttempt) int {
		return cmp.Compare(s.RemainingDuration(first), s.RemainingDuration(second))
	})
	var wait time.Duration
	for _, attempt := range attempts {
		if free.Fits(spec) {
			break
		}
		free.Add(&attempt.Job.Spec)
		wait = s.RemainingDuration(attempt)
	}
	return wait
}

// endsBeforeReservedStart reports whether a task of the job, started now, is expected to end before the machine
// has room for the task for which it is reserved (backfill).
func (s *Scheduler) endsBeforeReservedStart(job *cluster.Job, machine *cluster.Machine) bool {
	duration := s.ExpectedTaskDuration(job) + config.Seconds(machine.PullSeconds(&job.Spec))
	return s.Clock.Now()+duration <= machine.ReservedFor.Reservation.StartsAt
}

// fitsBesideReservation reports whether a task of the job fits on a machine now, in addition to the
// task for which the machine is reserved. Work within a guarantee does not wait for other teams, so a
// reservation keeps it out only if the reserved job would otherwise start too late. A job that has been
// pending too long may use the reserved capacity as long as the reserved task doesn't need it.
func (s *Scheduler) fitsBesideReservation(job *cluster.Job, machine *cluster.Machine) bool {
	free := machine.FreeCapacity()
	if !free.Fits(&job.Spec) || !machine.CanReport(&job.Spec) {
		return false
	}
	reservedJob := machine.ReservedFor
	if reservedJob == nil || reservedJob == job {
		return true
	}
	reservationIsFirm := !reservedJob.HasStarted() && s.Clock.Now() >= reservedJob.EligibleAt+firmReservationAfter
	if s.guaranteedJobs[job] && !reservationIsFirm {
		return true
	}
	if s.pendingTooLong(job) && s.endsBeforeReservedStart(job, machine) {
		return true
	}
	free.Cores -= reservedJob.Spec.Cores
	free.RAM -= reservedJob.Spec.MemoryGB
	free.Accelerators -= reservedJob.Spec.Accelerators
	return free.Fits(&job.Spec)
}
