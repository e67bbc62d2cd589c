package coordination

import (
	"cmp"
	"slices"
	"time"

	"hitchdoor/internal/config"
	"hitchdoor/internal/protocol"
)

// Reservations keep room on a machine for the next task of a job that has waited for too
// long. Small tasks take each core as it becomes free, so that on a full fleet a task of
// many cores would never find its room, however far ahead its job stands in the order.
//
// A job has one reservation at a time, and it holds no more than that task needs: what a
// machine has beside it goes on being used.

// firmAfter is the age from which a job's reservation holds against work within a guarantee
// too: late enough that such work rarely meets it, early enough that tasks of the usual
// length end before the job has to begin.
const firmAfter = mustBegin * 5 / 8

// reservedShare bounds the reservations at a time, to one in so many machines.
const reservedShare = 2

// reservation is the bookkeeping of one job's reserved machine.
type reservation struct {
	machine *machine // nil: none
	triedAt Instant  // when a machine was last looked for
}

// renewReservations looks at the reservations after a full pass: those that are no longer needed go,
// and at most one is added, as looking for a machine walks all tasks.
func (l *leadership) renewReservations() {
	wanted := map[*job]bool{}
	for _, r := range l.order {
		if r.mayReserve && r.j.pending > 0 && r.j.waits == waitRoom && len(r.j.failedOn) == 0 {
			wanted[r.j] = true
		}
	}
	machines, reserved := 0, 0
	for _, m := range l.held() {
		if m.ready() {
			machines++
		}
		if m.reservedFor == nil {
			continue
		}
		if !wanted[m.reservedFor] || !m.ready() || m.emptying {
			l.unreserve(m.reservedFor)
			continue
		}
		reserved++
	}
	for _, r := range l.order {
		if reserved >= max(1, machines/reservedShare) {
			return
		}
		j := r.j
		if !wanted[j] || j.reservation.machine != nil || l.n.now < j.reservation.triedAt+l.n.report() {
			continue
		}
		j.reservation.triedAt = l.n.now
		if m := l.soonestRoom(j); m != nil {
			j.reservation.machine, m.reservedFor = m, j
			l.n.log.Debug("machine reserved", "machine", m.name, "job", j.spec.UID, "age", l.n.now-j.from)
		}
		return
	}
}

// unreserve ends a job's reservation, if it has one.
func (l *leadership) unreserve(j *job) {
	if m := j.reservation.machine; m != nil {
		m.reservedFor, j.reservation.machine = nil, nil
	}
}

// soonestRoom finds the machine that should have room for a task of the job first, with
// the job's image; nil if no machine could ever have it.
func (l *leadership) soonestRoom(j *job) *machine {
	var best *machine
	var soonest time.Duration
	for _, m := range l.held() {
		if !m.ready() || m.emptying || m.reservedFor != nil || !allowed(&j.spec, m) {
			continue
		}
		wait := l.timeToRoom(m, &j.spec)
		if !m.hasImage(j.spec.Image) {
			wait += config.Seconds(j.spec.ImageGB / m.kind.PullGBPerS)
		}
		if best == nil || wait < soonest {
			best, soonest = m, wait
		}
	}
	return best
}

// timeToRoom is after what time enough of a machine's tasks should have ended for a task of
// the job.
func (l *leadership) timeToRoom(m *machine, spec *protocol.Job) time.Duration {
	free := m.free()
	runs := slices.Clone(m.list)
	slices.SortStableFunc(runs, func(a, b *run) int { return cmp.Compare(l.remaining(a), l.remaining(b)) })
	var wait time.Duration
	for _, r := range runs {
		if free.holds(spec) {
			break
		}
		free.add(&r.job.spec)
		wait = l.remaining(r)
	}
	return wait
}

// capacity is an amount of what tasks take of a machine.
type capacity struct{ cores, ram, accelerators float64 }

func (c *capacity) add(spec *protocol.Job) {
	c.cores += spec.Cores
	c.ram += spec.RAM
	c.accelerators += spec.Accelerators
}

// holds tells whether a task of a job fits.
func (c capacity) holds(spec *protocol.Job) bool {
	return spec.Cores <= c.cores+slack && spec.RAM <= c.ram+slack && spec.Accelerators <= c.accelerators+slack
}

// free is what no task takes of the machine.
func (m *machine) free() capacity {
	return capacity{m.kind.Cores - m.cores, m.kind.RAM - m.ram, m.kind.Accelerators - m.accelerators}
}

// mayPlace tells whether a task of the job may be placed on a machine now, beside what is
// reserved there for another one. Work within a guarantee need not wait for other teams, so
// a reservation holds against it only when its job would otherwise begin too late.
func (l *leadership) mayPlace(j *job, m *machine) bool {
	free := m.free()
	if !free.holds(&j.spec) {
		return false
	}
	other := m.reservedFor
	if other == nil || other == j {
		return true
	}
	if l.guaranteedJobs[j] && (other.begun() || l.n.now < other.from+firmAfter) {
		return true
	}
	free.cores -= other.spec.Cores
	free.ram -= other.spec.RAM
	free.accelerators -= other.spec.Accelerators
	return free.holds(&j.spec)
}
