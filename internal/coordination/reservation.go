package coordination

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
const firmAfter = mustBegin * 5 / 8

// reservedMachineDivisor limits reservations to one in this many schedulable machines.
const reservedShare = 2

// renewReservations updates the reservations after a full pass. It releases those no longer
// needed and adds at most one, because the search for a machine examines all attempts.
func (s *scheduler) renewReservations() {
	wanted := map[*job]bool{}
	for _, r := range s.order {
		if r.mayReserve && r.j.pending > 0 && r.j.waits == waitRoom && len(r.j.failedOn) == 0 {
			wanted[r.j] = true
		}
	}
	machines, reserved := 0, 0
	for _, m := range s.held() {
		if m.ready() {
			machines++
		}
		if m.reservedFor == nil {
			continue
		}
		if !wanted[m.reservedFor] || !m.ready() || m.emptying {
			s.unreserve(m.reservedFor)
			continue
		}
		reserved++
	}
	for _, r := range s.order {
		if reserved >= max(1, machines/reservedShare) {
			return
		}
		j := r.j
		if !wanted[j] || j.reservation.machine != nil || s.clock.Now() < j.reservation.triedAt+s.report() {
			continue
		}
		j.reservation.triedAt = s.clock.Now()
		if m := s.soonestRoom(j); m != nil {
			j.reservation.machine, m.reservedFor = m, j
			s.log.Debug("resource reservation made", "machine", m.name, "job", j.spec.UID, "age", s.clock.Now()-j.from)
		}
		return
	}
}

// machineWithEarliestRoom returns the machine that should be the first to have room for a task of
// the job and its image, or nil if none is feasible.
func (s *scheduler) soonestRoom(j *job) *machine {
	var best *machine
	var soonest time.Duration
	for _, m := range s.held() {
		if !m.ready() || m.emptying || m.reservedFor != nil || !allowed(&j.spec, m) {
			continue
		}
		wait := s.timeToRoom(m, &j.spec)
		if !m.hasImage(j.spec.Image) {
			wait += config.Seconds(j.spec.ImageGB / m.kind.PullGBPerS)
		}
		if best == nil || wait < soonest {
			best, soonest = m, wait
		}
	}
	return best
}

// timeToFreeCapacity returns the expected time until enough attempts on a machine have ended for
// a task of the job.
func (s *scheduler) timeToRoom(m *machine, spec *protocol.Job) time.Duration {
	free := m.free()
	runs := slices.Clone(m.list)
	slices.SortStableFunc(runs, func(a, b *run) int { return cmp.Compare(s.remaining(a), s.remaining(b)) })
	var wait time.Duration
	for _, r := range runs {
		if free.holds(spec) {
			break
		}
		free.add(&r.job.spec)
		wait = s.remaining(r)
	}
	return wait
}

// fitsBesideReservation reports whether a task of the job fits on a machine now, in addition to
// the task for which the machine is reserved. Work within a guarantee does not wait for other
// teams, so a reservation holds against it only if the reserved job would otherwise start too
// late.
func (s *scheduler) mayPlace(j *job, m *machine) bool {
	free := m.free()
	if !free.holds(&j.spec) {
		return false
	}
	other := m.reservedFor
	if other == nil || other == j {
		return true
	}
	if s.guaranteedJobs[j] && (other.begun() || s.clock.Now() < other.from+firmAfter) {
		return true
	}
	free.cores -= other.spec.Cores
	free.ram -= other.spec.RAM
	free.accelerators -= other.spec.Accelerators
	return free.holds(&j.spec)
}
