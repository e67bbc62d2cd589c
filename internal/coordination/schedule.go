package coordination

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"time"

	"hitchdoor/internal/config"
	"hitchdoor/internal/fleet"
	"hitchdoor/internal/protocol"
)

// waitReason is what keeps a waiting job from starting a task, as its status shows it.
type waitReason string

// The reasons, in the order of the checks.
const (
	waitNeeds   waitReason = "jobs that it needs"
	waitBackoff waitReason = "backing off"
	waitUnknown waitReason = "a machine is not accounted for"
	waitSlots   waitReason = "scheduler slots"
	waitTeam    waitReason = "team quota"
	waitOverall waitReason = "overall quota"
	waitRoom    waitReason = "no machine with room"
	waitImage   waitReason = "a machine with its image and room"
	// waitQuarantine: a record of the job can't be read.
	waitQuarantine waitReason = "a record of it that can't be read"
	waitNothing    waitReason = ""
)

// allowed tells whether a job may use a machine at all.
func allowed(j *protocol.Job, m *machine) bool { return m.option().Fits(j, m.kind) }

// ready tells whether a machine takes tasks: it has heard this leader, so that no
// late copy of a report makes room where there is none.
func (m *machine) ready() bool { return m.usable() && (!m.emptying || m.why == surplus) }

// lastResort tells whether a machine takes tasks only of jobs that would be left waiting: it
// does nothing wrong but that it is slow.
func (m *machine) lastResort() bool { return m.usable() && m.emptying && m.why == slow }

// usable tells whether a task that is given to the machine gets there and is known of.
func (m *machine) usable() bool {
	return m.up && m.shown && (m.missedAnswers == 0 || m.restarted) && m.accounted && m.used && !m.returning && m.kind != nil
}

// leftWaiting tells whether tasks of the job have waited for so long that a slow machine is
// better than none: no job may be left waiting for 90 s beside a machine with room.
func (l *leadership) leftWaiting(j *job) bool { return l.n.now-j.waiting > leftWaitingAfter }

const leftWaitingAfter = mustBegin / 4

const slack = 1e-6 // of sums of decimal amounts

// slots counts the scheduler slots: of all machines up, and those taken, by
// class. The second class is the pressing work (prod and urgent).
type slots struct {
	total        float64
	batch, quick int
	quickWaits   bool
}

func (s *slots) taken() int { return s.batch + s.quick }

func pressing(j *protocol.Job) bool { return j.Rank() <= 1 }

// count keeps the tasks on machines by class.
func (l *leadership) count(j *job, by int) {
	class := 0
	if pressing(&j.spec) {
		class = 1
	}
	l.active[class] += by
}

// machineTotals is what admission needs to know of all machines.
type machineTotals struct {
	slots    float64 // of the machines up
	complete bool    // all are accounted for: nothing of an earlier leader runs unknown to this one
	unknown  usage   // what may be in use without our knowing

	held, largest  float64               // cores of all, and of the largest
	unaccounted    int                   // machines that are not accounted for
	unknownOptions map[fleet.Option]bool // what those are
	anything       bool                  // of some of those, not even that is known
}

// currentTotals walks all machines, if one has changed since.
func (l *leadership) currentTotals() machineTotals {
	if l.totalsValid {
		return l.totals
	}
	c := machineTotals{complete: true, unknownOptions: map[fleet.Option]bool{}}
	if l.namesMissing() {
		c.complete, c.anything, c.unknown = false, true, usage{math.Inf(1), math.Inf(1)}
	}
	set := &l.n.set
	for _, m := range l.held() {
		l.looked++
		if !m.accounted {
			c.complete = false
			c.unaccounted++
			c.anything = c.anything || m.typ == ""
			c.unknownOptions[m.option()] = true
		}
		if m.kind == nil {
			if !m.accounted || m.unknownTasks > 0 {
				// Nobody knows how much may be in use there, so no limit has room: counted
				// as nothing, a machine of a type that is no longer sold let teams exceed it.
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
	l.totals, l.totalsValid = c, true
	return c
}

// accountedAll tells whether nothing of an earlier leader can still be running
// unknown to this one.
func (l *leadership) accountedAll() bool { return l.currentTotals().complete }

// quickWaits tells whether pressing work has waited for too long.
func (l *leadership) quickWaits(waiting []ranked) bool {
	return slices.ContainsFunc(waiting, func(r ranked) bool {
		return pressing(&r.j.spec) && l.n.now-r.j.waiting > config.Seconds(l.n.set.BorrowWaitS)
	})
}

// ranked is a job with what orders it.
type ranked struct {
	j    *job
	rank int
	at   Instant // latest start in time
	due  Instant
	work float64 // core seconds left

	mayReserve bool // it has waited for so long that room is reserved for it
}

// Ranks: first the first tasks of what has waited too long, then the pressing jobs
// by priority, then those that can be in time, and last those that can't.
const (
	rankOverdue  = -1
	rankPressing = 1
	rankInTime   = 2
	rankLate     = 3
)

// Large jobs give way while not all can be in time, and what is late already comes
// last; but every job must begin within mustBegin, however long a burst of small
// and pressing work goes on, and no class or team may starve another. So a job
// that has not begun after three eighths of that begins, ahead of everything, with a part
// of its tasks; and one that is older than mustBegin passes with the pressing
// work, by its age.
const (
	mustBegin   = 4 * time.Minute // of the protocol
	beginsAfter = mustBegin * 3 / 8
	beginShare  = 8 // what begins is one task in so many
)

// begun tells whether some task of the job has been started.
func (j *job) begun() bool { return j.done > 0 || len(j.runs) > 0 || j.firstStart != 0 }

// waitingJobs lists the open jobs that have tasks to start, in the order in
// which they are served.
func (l *leadership) waitingJobs() []ranked {
	now := l.n.now
	var all []*ranked
	l.guaranteedJobs = l.guaranteed()
	pull := l.pull()
	for _, j := range l.runnable {
		if j.gone {
			continue
		}
		r := &ranked{j: j, rank: min(j.rank(), rankInTime), due: l.due(j), work: l.workLeft(j, pull)}
		r.at = r.due - l.expected(j)
		if r.rank == rankInTime && j.pending > 0 && r.at < now {
			r.rank = rankLate
		}
		switch age := now - j.from; {
		case age > beginsAfter && !j.begun():
			r.rank, r.at, r.mayReserve = rankOverdue, j.from, true
		case age > mustBegin && r.rank > rankPressing && !(j.begun() && l.beyondGuarantee(j)):
			// What has begun and borrows from others' guarantees does not pass ahead of them.
			r.rank, r.at, r.mayReserve = rankPressing, j.from, true
		}
		if start := j.from + l.startWithin; l.startWithin > 0 && start > now && l.guaranteedJobs[j] {
			// Guaranteed work has an aim on starting, too.
			r.at = min(r.at, start)
		}
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b *ranked) int {
		return cmp.Or(cmp.Compare(a.due, b.due), cmp.Compare(a.j.spec.UID, b.j.spec.UID))
	})
	l.setAsideLargest(all)
	var list []ranked
	for _, r := range all {
		if r.j.pending > 0 {
			list = append(list, *r)
		}
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.at, b.at), cmp.Compare(a.j.spec.UID, b.j.spec.UID))
	})
	return list
}

// byAge lists the open jobs that need no others in the order in which their times began.
func (l *leadership) byAge() []*job {
	jobs := make([]*job, 0, len(l.runnable))
	for _, j := range l.runnable {
		if !j.gone {
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.from, b.from), cmp.Compare(a.spec.UID, b.spec.UID))
	})
	return jobs
}

// workLeft is the core seconds that a job still needs.
func (l *leadership) workLeft(j *job, p pull) float64 {
	want := l.expected(j)
	work := float64(j.pending) * (want + p.time(j.spec.ImageGB)).Seconds()
	for _, r := range j.runs {
		work += l.remainingOf(r, want).Seconds()
	}
	return work * j.spec.Cores
}

// setAsideLargest finds the jobs that can't all be in time on the machines there are.
// Aims count jobs, whatever their size, so the largest give way: of jobs in
// order of their due times, the largest is set aside whenever the next would be
// late. (Moore's rule for the fewest late jobs.)
func (l *leadership) setAsideLargest(all []*ranked) {
	cores := l.coresToStay()
	if cores == 0 {
		return
	}
	sum := 0.0
	largest := &byWork{}
	for order, r := range all {
		if r.rank != rankInTime && r.j.rank() > rankPressing {
			continue
		}
		sum += r.work
		if r.rank == rankInTime && r.j.pending > 0 {
			heap.Push(largest, workItem{job: r, order: order})
		}
		for sum/(cores*packing) > (r.due-l.n.now).Seconds() && largest.Len() > 0 {
			late := heap.Pop(largest).(workItem).job
			sum -= late.work
			late.rank = rankLate
		}
	}
}

// coresToStay counts the cores of the machines that are up and are not to be returned.
func (l *leadership) coresToStay() float64 {
	cores := 0.0
	for _, m := range l.machines {
		if m.kind != nil && m.up && !m.emptying {
			cores += m.kind.Cores
		}
	}
	return cores
}

// byWork is a heap of jobs, the largest first. A walk over all of them for each that gives
// way would cost jobs x jobs, in a flood of small ones.
type byWork []workItem

type workItem struct {
	job   *ranked
	order int
}

func (h byWork) Len() int      { return len(h) }
func (h byWork) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *byWork) Push(x any)   { *h = append(*h, x.(workItem)) }
func (h byWork) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[j].job.work, h[i].job.work), cmp.Compare(h[i].order, h[j].order)) < 0
}

// Pop takes the last element, as the heap package asks for.
func (h *byWork) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// packing is how much of the machines' time tasks fill when there is enough work.
const packing = 0.9

// passesPerReport is how often, per report interval, a full pass may be made.
const passesPerReport = 12

// pass is what the admissions of one pass share.
type pass struct {
	slots
	machineTotals
	machines []*machine
}

func (l *leadership) newPass(quickWaits bool) *pass {
	p := &pass{machineTotals: l.currentTotals()}
	p.slots = slots{total: p.machineTotals.slots, batch: l.active[0], quick: l.active[1], quickWaits: quickWaits}
	return p
}

// schedule starts what may start: for each job, in order, the scheduler slots,
// the team's quota and the overall quota are checked, and then the task goes to
// the least loaded machine.
func (l *leadership) schedule() {
	n := l.n
	l.dirty, l.scheduled = false, n.now
	l.order = l.waitingJobs()
	l.pressingWaited = l.quickWaits(l.order)
	if len(l.order) == 0 {
		l.renewReservations()
		return
	}
	p := l.newPass(l.pressingWaited)
	if p.complete && !l.accountedBefore {
		l.accountedBefore = true
		n.log.Info("all machines accounted for", "after", n.now-l.since)
	}
	for _, m := range l.held() {
		if (m.ready() || m.lastResort()) && m.hasSpace() {
			p.machines = append(p.machines, m)
		}
	}
	l.admitAll(p)
	l.renewReservations()
	l.preempt()
}

// fill gives a machine that reports what waits for room, in the order of the last
// full pass, so that its answer carries new tasks for those that have ended. A
// full pass for each report would cost machines x tasks.
func (l *leadership) fill(m *machine) {
	if len(l.order) == 0 || !m.ready() || m.emptying || !m.hasSpace() {
		return
	}
	p := l.newPass(l.pressingWaited)
	p.machines = []*machine{m}
	l.admitAll(p)
}

// admitAll admits the waiting jobs to the machines of a pass. Within a rank,
// tasks first go where their image is: a fetch keeps cores busy with nothing, and
// may take as long as a task.
func (l *leadership) admitAll(p *pass) {
	for waiting := l.order; len(waiting) > 0; {
		same := 1
		for same < len(waiting) && waiting[same].rank == waiting[0].rank {
			same++
		}
		for _, fetch := range []bool{false, true} {
			for _, r := range waiting[:same] {
				l.looked++
				if len(p.machines) == 1 && !p.machines[0].hasSpace() {
					return // it was for the one that reports
				}
				if j := r.j; j.pending > 0 && !j.gone {
					most := j.pending
					if r.rank == rankOverdue {
						most = j.spec.Tasks/beginShare + 1 - len(j.runs)
					}
					was := j.waits
					j.waits = l.admit(j, p, fetch, most)
					l.traceWait(j, was)
				}
			}
		}
		waiting = waiting[same:]
	}
}

// hasSpace tells whether a machine could take a task of any size at all.
func (m *machine) hasSpace() bool {
	return m.cores+slack < m.kind.Cores && m.ram+slack < m.kind.RAM
}

// admit starts as many tasks of a job as the checks let through, but no more than
// most, and tells which check stopped it.
func (l *leadership) admit(j *job, p *pass, fetch bool, most int) waitReason {
	n := l.n
	if j.held {
		return waitQuarantine
	}
	if l.mayRunUnseen(j, &p.machineTotals) {
		return waitUnknown
	}
	if j.bad && l.outlives(j) {
		j.bad, j.probes = false, 0
		n.log.Info("job runs after all", "job", j.spec.UID)
	}
	if j.bad {
		if len(j.runs) > 0 || n.now < j.probeAt {
			return waitBackoff
		}
		most = 1
	}
	team := n.team(j.spec.Team)
	use := l.usage[j.spec.Team]
	if team == nil || use == nil {
		return waitTeam
	}
	var at *candidates
	stopped := waitNothing
	leading := true // nothing pending has been passed over yet
	for index := j.first; index < j.spec.Tasks; index++ {
		if j.pending == 0 || most <= 0 {
			return stopped
		}
		if j.taskState(index) != taskPending {
			if leading {
				j.first = index + 1 // a job may have 100,000 tasks
			}
			continue
		}
		leading = false
		t := j.failures[index]
		if t != nil && n.now < t.after {
			stopped = waitBackoff
			continue
		}
		if reason := l.checkLimits(j, p, team, use); reason != waitNothing {
			return reason
		}
		avoid := ""
		if t != nil && n.now < t.until {
			avoid = t.avoid
		}
		if at == nil {
			at = l.candidates(j, p.machines, fetch)
		}
		m := at.leastLoaded(avoid)
		if m == nil {
			if avoid != "" {
				stopped = waitRoom
				continue
			}
			if at.quick {
				return waitImage
			}
			return waitRoom
		}
		if m.emptying && m.why == surplus {
			l.keep(m)
		}
		l.place(&run{job: j, index: index, attempt: l.nextAttempt(), m: m, phase: phaseAssigned, since: n.now})
		at.placed(m)
		most--
		if pressing(&j.spec) {
			p.quick++
		} else {
			p.batch++
		}
	}
	return stopped
}

// checkLimits makes the three checks of the design for one more task of a job, in their
// order: the scheduler slots, the team's quota, the overall quota.
func (l *leadership) checkLimits(j *job, p *pass, team *config.Team, use *usage) waitReason {
	switch {
	case !l.slotFree(j, p):
		return waitSlots
	case team.CPUsMax > 0 && use.cores+p.unknown.cores+j.spec.Cores > team.CPUsMax+slack,
		team.GPUsMax > 0 && use.accelerators+p.unknown.accelerators+j.spec.Accelerators > team.GPUsMax+slack:
		return waitTeam
	case float64(p.taken()+1) > p.total:
		return waitOverall
	}
	return waitNothing
}

// slotFree tells whether the job's class has a scheduler slot left. Batch work borrows those
// set aside for pressing work while none of that has waited for long.
func (l *leadership) slotFree(j *job, p *pass) bool {
	if pressing(&j.spec) {
		return float64(p.quick+1) <= p.total
	}
	limit := p.total
	if p.quickWaits {
		limit *= l.n.set.ClassShare
	}
	return float64(p.batch+1) <= limit
}

// candidates are the machines on which tasks of a job may start now, the best
// first: the least loaded in steps, then the one that has the image soonest, then
// the least loaded exactly. They are ranked once for all tasks of the job; a walk
// over all machines for each task would cost machines x tasks.
type candidates struct {
	l    *leadership
	job  *job
	list []candidate // a heap

	quick bool // machines that would have to fetch for long are left out
}

type candidate struct {
	m           *machine
	spare, step int
	image, load float64
}

func (c *candidates) Len() int      { return len(c.list) }
func (c *candidates) Swap(i, j int) { c.list[i], c.list[j] = c.list[j], c.list[i] }
func (c *candidates) Push(x any)    { c.list = append(c.list, x.(candidate)) }
func (c *candidates) Less(i, j int) bool {
	a, b := &c.list[i], &c.list[j]
	return cmp.Or(cmp.Compare(a.spare, b.spare), cmp.Compare(a.step, b.step), cmp.Compare(a.image, b.image),
		cmp.Compare(a.load, b.load), cmp.Compare(a.m.name, b.m.name)) < 0
}

func (c *candidates) Pop() any {
	last := c.list[len(c.list)-1]
	c.list = c.list[:len(c.list)-1]
	return last
}

func (l *leadership) candidates(j *job, machines []*machine, fetch bool) *candidates {
	c := &candidates{l: l, job: j}
	quick := math.Inf(1)
	if fetch {
		quick = l.quickFetch(j)
		c.quick = !math.IsInf(quick, 1)
	}
	// Faulty machines are idle, so they would be tried first again and again.
	elsewhere := j.bad && l.n.now < j.probeAt+3*l.n.report()
	for _, m := range machines {
		l.looked++
		if elsewhere && j.failedOn[m.name] {
			continue
		}
		if (m.ready() || m.lastResort() && l.leftWaiting(j)) && l.mayPlace(j, m) && allowed(&j.spec, m) &&
			(m.hasImage(j.spec.Image) || (fetch && j.spec.ImageGB/m.kind.PullGBPerS <= quick)) {
			c.list = append(c.list, c.rate(m))
		}
	}
	heap.Init(c)
	return c
}

// quickFetch is for how many seconds at most a task of the job may fetch its image.
// Work that is to start within seconds waits for a machine that has the image, where
// there are some, rather than miss its aim for sure with a long fetch on the first
// machine that has room; but only for a part of that aim.
func (l *leadership) quickFetch(j *job) float64 {
	within := l.startAim(j)
	if within == 0 || !l.tooSoonToRent(within) || l.n.now > j.from+within*imageWait/100 {
		return math.Inf(1)
	}
	if j.imageSeen != l.scheduled {
		// Once for each full pass: a walk over all machines for each report would cost
		// machines x jobs.
		j.imageSeen, j.imageHeld = l.scheduled, false
		for _, m := range l.held() {
			l.looked++
			if m.ready() && m.hasImage(j.spec.Image) && allowed(&j.spec, m) {
				j.imageHeld = true
				break
			}
		}
	}
	if j.imageHeld {
		return (j.from + within - l.n.now).Seconds()
	}
	return math.Inf(1)
}

// imageWait is for how much of an aim on starting, in hundredths, work waits for a
// machine that has its image.
const imageWait = 60

// tooSoonToRent tells whether an aim on starting leaves no time to rent a machine for it.
func (l *leadership) tooSoonToRent(within time.Duration) bool { return within < 2*l.n.lease() }

func (c *candidates) rate(m *machine) candidate {
	x := candidate{m: m, load: max(m.cores/m.kind.Cores, m.ram/m.kind.RAM)}
	x.step = int(x.load * float64(c.l.n.set.LoadSteps))
	if image := c.job.spec.Image; !m.hasImage(image) {
		x.image = c.job.spec.ImageGB / m.kind.PullGBPerS
	}
	if m.emptying {
		x.spare = 1 // surplus machines are to empty, unless no other has room
		if m.why == slow {
			x.spare = 2
		}
	}
	return x
}

// leastLoaded chooses the machine for a task. The machine on which the task
// failed last is passed over.
func (c *candidates) leastLoaded(avoid string) *machine {
	var passed *candidate
	defer func() {
		if passed != nil {
			heap.Push(c, *passed)
		}
	}()
	for len(c.list) > 0 {
		m := c.list[0].m
		switch {
		case !c.inPlace(m):
			heap.Pop(c)
		case m.name == avoid:
			x := heap.Pop(c).(candidate)
			passed = &x
		default:
			return m
		}
	}
	return nil
}

// inPlace tells whether the job's other tasks allow one in the machine's zone.
func (c *candidates) inPlace(m *machine) bool {
	spec := &c.job.spec
	if !spec.SameZone && !spec.Spread {
		return true
	}
	there := 0
	for _, r := range c.job.runs {
		if r.m.zone == m.zone {
			there++
		} else if spec.SameZone {
			return false
		}
	}
	return !spec.Spread || there < (spec.Tasks+1)/2
}

// placed ranks a machine anew that has got a task.
func (c *candidates) placed(m *machine) {
	at := slices.IndexFunc(c.list, func(x candidate) bool { return x.m == m })
	if c.l.mayPlace(c.job, m) {
		c.list[at] = c.rate(m)
		heap.Fix(c, at)
	} else {
		heap.Remove(c, at)
	}
}

// unassign takes back tasks from machines that don't fetch them, be they silent or
// deaf: fresh reports are no sign that a machine will ever start them.
func (l *leadership) unassign() {
	patience := 2*l.n.report() + l.n.report()/2
	for _, m := range l.held() {
		for _, r := range m.list {
			if r.phase == phaseAssigned && l.n.now-r.since > patience {
				l.release(r)
				l.delay(r.job, r.index, m, 0)
			}
		}
	}
}
