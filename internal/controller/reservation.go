package controller

import (
	"cmp"
	"slices"
	"time"

	"hitchdoor/internal/config"
	"hitchdoor/internal/protocol"
)

// Resource reservations keep capacity on a machine for the next task of a job that has waited too
// long. Small tasks take each core as it becomes free, so on a full cluster a task of many cores
// would never be placed, whatever its position in the queue.
//
// A job has at most one reservation, which covers exactly what one task needs. The rest of the
// machine stays available.

// firmReservationAfter is the age from which a job's reservation also holds against work within a
// guarantee: late enough that such work is rarely affected, early enough that tasks of typical
// length end before the start limit of the job.
const firmReservationAfter = maxStartDelay * 5 / 8

// reservedMachineDivisor limits reservations to one in this many schedulable machines.
const reservedMachineDivisor = 2

// renewReservations updates the reservations after a full pass. It releases those no longer
// needed and adds at most one, because the search for a machine examines all attempts.
func (s *scheduler) renewReservations() {
	eligibleJobs := map[*job]bool{}
	for _, queued := range s.pendingOrder {
		if queued.mayReserve && queued.job.pendingTasks > 0 && queued.job.blockedBy == waitCapacity && len(queued.job.failedMachines) == 0 {
			eligibleJobs[queued.job] = true
		}
	}
	schedulableMachines, reserved := 0, 0
	for _, m := range s.machinesByName() {
		if m.schedulable() {
			schedulableMachines++
		}
		if m.reservedFor == nil {
			continue
		}
		if !eligibleJobs[m.reservedFor] || !m.schedulable() || m.draining {
			s.releaseReservation(m.reservedFor)
			continue
		}
		reserved++
	}
	for _, queued := range s.pendingOrder {
		if reserved >= max(1, schedulableMachines/reservedMachineDivisor) {
			return
		}
		j := queued.job
		if !eligibleJobs[j] || j.reservation.machine != nil || s.clock.Now() < j.reservation.searchedAt+s.heartbeatInterval() {
			continue
		}
		j.reservation.searchedAt = s.clock.Now()
		if m := s.machineWithEarliestRoom(j); m != nil {
			j.reservation.machine, m.reservedFor = m, j
			s.log.Debug("resource reservation made", "machine", m.name, "job", j.spec.ID, "age", s.clock.Now()-j.eligibleAt)
		}
		return
	}
}

// machineWithEarliestRoom returns the machine that should be the first to have room for a task of
// the job and its image, or nil if none is feasible.
func (s *scheduler) machineWithEarliestRoom(j *job) *machine {
	var best *machine
	var soonest time.Duration
	for _, m := range s.machinesByName() {
		if !m.schedulable() || m.draining || m.reservedFor != nil || !feasible(&j.spec, m) {
			continue
		}
		wait := s.timeToFreeCapacity(m, &j.spec)
		if !m.hasImage(j.spec.Image) {
			wait += config.Seconds(j.spec.ImageGB / m.machineType.PullGBPerSecond)
		}
		if best == nil || wait < soonest {
			best, soonest = m, wait
		}
	}
	return best
}

// timeToFreeCapacity returns the expected time until enough attempts on a machine have ended for
// a task of the job.
func (s *scheduler) timeToFreeCapacity(m *machine, spec *protocol.Job) time.Duration {
	free := m.freeCapacity()
	attempts := slices.Clone(m.attemptsInOrder)
	slices.SortStableFunc(attempts, func(first, second *taskAttempt) int {
		return cmp.Compare(s.remainingDuration(first), s.remainingDuration(second))
	})
	var wait time.Duration
	for _, attempt := range attempts {
		if free.fits(spec) {
			break
		}
		free.add(&attempt.job.spec)
		wait = s.remainingDuration(attempt)
	}
	return wait
}

// fitsBesideReservation reports whether a task of the job fits on a machine now, in addition to
// the task for which the machine is reserved. Work within a guarantee does not wait for other
// teams, so a reservation holds against it only if the reserved job would otherwise start too
// late.
func (s *scheduler) fitsBesideReservation(j *job, m *machine) bool {
	free := m.freeCapacity()
	if !free.fits(&j.spec) {
		return false
	}
	reservedJob := m.reservedFor
	if reservedJob == nil || reservedJob == j {
		return true
	}
	if s.guaranteedJobs[j] && (reservedJob.hasStarted() || s.clock.Now() < reservedJob.eligibleAt+firmReservationAfter) {
		return true
	}
	free.cores -= reservedJob.spec.Cores
	free.ram -= reservedJob.spec.MemoryGB
	free.accelerators -= reservedJob.spec.Accelerators
	return free.fits(&j.spec)
}
