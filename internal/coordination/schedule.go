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

// waitReason is the check that keeps a job from starting a task, as shown by its status.
type waitReason string

// Values of waitReason, in the order of the checks.
const (
	waitNeeds   waitReason = "jobs that it needs"
	waitBackoff waitReason = "backing off"
	waitUnknown waitReason = "a machine is not accounted for"
	waitSlots   waitReason = "scheduler slots"
	waitTeam    waitReason = "team quota"
	waitOverall waitReason = "overall quota"
	waitRoom    waitReason = "no machine with room"
	waitImage   waitReason = "a machine with its image and room"
	// waitQuarantine: one of the job's records cannot be read.
	waitQuarantine waitReason = "a record of it that can't be read"
	waitNothing    waitReason = ""
)

// feasible is the feasibility filter: it reports whether a machine can run the job's tasks at
// all.
func allowed(j *protocol.Job, m *machine) bool { return m.option().Fits(j, m.kind) }

// schedulable reports whether a machine accepts tasks of any job. Draining machines are excluded,
// except surplus ones, whose drain is cancelled when a task is placed on them.
func (m *machine) ready() bool { return m.usable() && (!m.emptying || m.why == surplus) }

// isLastResort reports whether a machine accepts tasks only of jobs that have waited long: it is
// healthy but slow.
func (m *machine) lastResort() bool { return m.usable() && m.emptying && m.why == slow }

// usable reports whether a task placed on the machine reaches it and is tracked: its last
// heartbeat carried this term's fencing token, so a delayed copy of a heartbeat never adds
// capacity.
func (m *machine) usable() bool {
	return m.up && m.shown && (m.missedAnswers == 0 || m.restarted) && m.accounted &&
		m.used && !m.returning && m.kind != nil
}

// mayUseLastResort reports whether tasks of the job have waited so long that a slow machine is
// better than none: no job may wait for 90 s while some machine has room.
func (l *leadership) leftWaiting(j *job) bool { return l.n.now-j.waiting > leftWaitingAfter }

// lastResortAfter is the waiting time after which slow machines are used too.
const leftWaitingAfter = mustBegin / 4

// resourceTolerance absorbs rounding errors in sums of resource amounts.
const slack = 1e-6

// slotUsage counts the scheduler slots of all machines that are up, and the taken ones by class
// of work: batch, and latency-sensitive (priorities prod and urgent).
type slots struct {
	total        float64
	batch, quick int
	quickWaits   bool
}

// takenSlots returns the number of slots in use by both classes.
func (s *slots) taken() int { return s.batch + s.quick }

// isLatencySensitive reports whether a job belongs to the latency-sensitive class (priorities
// prod and urgent).
func pressing(j *protocol.Job) bool { return j.Rank() <= 1 }

// countActiveTasks adjusts the number of tasks on machines of the job's class.
func (l *leadership) count(j *job, by int) {
	class := 0
	if pressing(&j.spec) {
		class = 1
	}
	l.active[class] += by
}

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
	l.totals, l.totalsValid = c, true
	return c
}

// allReconciled reports whether no attempt of an earlier leader can be running unknown to this
// one.
func (l *leadership) accountedAll() bool { return l.currentTotals().complete }

// latencySensitiveWorkDelayed reports whether latency-sensitive work has waited longer than
// borrowing allows.
func (l *leadership) quickWaits(waiting []ranked) bool {
	return slices.ContainsFunc(waiting, func(r ranked) bool {
		return pressing(&r.j.spec) && l.n.now-r.j.waiting > config.Seconds(l.n.set.BorrowWaitS)
	})
}

// queuedJob is a job with the values that determine its position in the queue.
type ranked struct {
	j    *job
	rank int     // see rankOverdue and following
	at   Instant // latest start that is still in time
	due  Instant
	work float64 // remaining work in core seconds

	mayReserve bool // has waited long enough for a resource reservation
}

// Ranks of the queue order: overdue jobs, latency-sensitive jobs by priority, jobs that can
// finish in time, and jobs that cannot.
const (
	rankOverdue  = -1
	rankPressing = 1
	rankInTime   = 2
	rankLate     = 3
)

// Large jobs yield while not all jobs can be in time, and late jobs come last. Still, every job
// must start within maxStartDelay, however long a burst of small or latency-sensitive work lasts,
// and no class or team may starve another. So a job that has not started after overdueAfter is
// overdue and starts ahead of all others, with a part of its tasks; and a job older than
// maxStartDelay is ordered with the latency-sensitive work, by age.
const (
	mustBegin   = 4 * time.Minute // limit of the protocol
	beginsAfter = mustBegin * 3 / 8
	beginShare  = 8 // an overdue job starts one in this many of its tasks
)

// hasStarted reports whether some task of the job has been started.
func (j *job) begun() bool { return j.done > 0 || len(j.runs) > 0 || j.firstStart != 0 }

// buildQueue returns the runnable jobs with pending tasks in queue order.
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
			// A started job that exceeds its team's guarantee is not moved ahead.
			r.rank, r.at, r.mayReserve = rankPressing, j.from, true
		}
		if start := j.from + l.startWithin; l.startWithin > 0 && start > now && l.guaranteedJobs[j] {
			// Guaranteed work has a start objective of its own.
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

// jobsByAge returns the runnable jobs by the time at which they became eligible.
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

// remainingCoreSeconds returns the work that a job still needs, with image fetches.
func (l *leadership) workLeft(j *job, p pull) float64 {
	want := l.expected(j)
	work := float64(j.pending) * (want + p.time(j.spec.ImageGB)).Seconds()
	for _, r := range j.runs {
		work += l.remainingOf(r, want).Seconds()
	}
	return work * j.spec.Cores
}

// demoteLargestJobs ranks jobs as late that cannot all be in time on the present machines.
// Objectives count jobs regardless of size, so the largest are demoted: going through the jobs by
// due time, the largest so far is demoted whenever the next would be late (Moore-Hodgson
// algorithm for the fewest late jobs).
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

// retainedCores returns the cores of the machines that are up and not draining.
func (l *leadership) coresToStay() float64 {
	cores := 0.0
	for _, m := range l.machines {
		if m.kind != nil && m.up && !m.emptying {
			cores += m.kind.Cores
		}
	}
	return cores
}

// workHeap is a max-heap of jobs by remaining work. Scanning all jobs for each demotion would be
// quadratic in a burst of small jobs.
type byWork []workItem

// workHeapItem is a job with its position in the order of due times, which breaks ties.
type workItem struct {
	job   *ranked
	order int
}

// Len, Swap, Push, Less and Pop implement heap.Interface.
func (h byWork) Len() int      { return len(h) }
func (h byWork) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *byWork) Push(x any)   { *h = append(*h, x.(workItem)) }
func (h byWork) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[j].job.work, h[i].job.work), cmp.Compare(h[i].order, h[j].order)) < 0
}

// Pop removes the last element, as container/heap requires.
func (h *byWork) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// packingEfficiency is the share of the machines' time that tasks use under full load.
const packing = 0.9

// passesPerHeartbeat is the maximum number of full scheduling passes per heartbeat interval.
const passesPerReport = 12

// schedulingPass is the state shared by all checks and placements of one pass.
type pass struct {
	slots
	machineTotals
	machines []*machine // candidates of this pass
}

// newSchedulingPass returns a pass without machines, from the present totals.
func (l *leadership) newPass(quickWaits bool) *pass {
	p := &pass{machineTotals: l.currentTotals()}
	p.slots = slots{total: p.machineTotals.slots, batch: l.active[0], quick: l.active[1], quickWaits: quickWaits}
	return p
}

// schedule runs a full pass. For each job in queue order it checks the scheduler slots, the team
// quota and the overall quota, and then places the task on the best machine.
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
		n.log.Info("all machines reconciled", "after", n.now-l.since)
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

// scheduleOnMachine places waiting tasks on a machine that sends a heartbeat, in the queue order
// of the last full pass, so that the response carries new tasks in place of finished ones. A full
// pass for each heartbeat would cost machines x tasks.
func (l *leadership) fill(m *machine) {
	if len(l.order) == 0 || !m.ready() || m.emptying || !m.hasSpace() {
		return
	}
	p := l.newPass(l.pressingWaited)
	p.machines = []*machine{m}
	l.admitAll(p)
}

// scheduleQueue places tasks of the queued jobs on the machines of a pass. Within a rank,
// machines that already have the image come first: a fetch occupies cores without progress and
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
					return // the only machine of the pass is full
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

// hasSpareCapacity reports whether a machine could take a task of any size at all.
func (m *machine) hasSpace() bool {
	return m.cores+slack < m.kind.Cores && m.ram+slack < m.kind.RAM
}

// scheduleJob starts as many tasks of a job as the checks allow, at most maxTasks, and returns
// the check that stopped it.
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
		n.log.Info("job no longer fails everywhere", "job", j.spec.UID)
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
	leading := true // no pending task has been skipped yet
	for index := j.first; index < j.spec.Tasks; index++ {
		if j.pending == 0 || most <= 0 {
			return stopped
		}
		if j.taskState(index) != taskPending {
			if leading {
				j.first = index + 1 // avoids scanning up to 100,000 tasks again
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

// checkLimits makes the three checks for one more task of a job, in order: scheduler slots, team
// quota, overall quota.
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

// hasFreeSlot reports whether the job's class has a free scheduler slot. Batch work borrows the
// slots reserved for latency-sensitive work unless that is delayed.
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

// candidateHeap is a heap of the machines on which tasks of a job may start now, best first: by
// load in steps, then by fetch time of the image, then by exact load. The machines are scored
// once for all tasks of the job; scoring them for each task would cost machines x tasks.
type candidates struct {
	l    *leadership
	job  *job
	list []candidate // in heap order

	quick bool // machines with a long image fetch are excluded
}

// candidate is a feasible machine with its score; lower values are better.
type candidate struct {
	m           *machine
	spare, step int
	image, load float64
}

// Len, Swap, Push, Less and Pop implement heap.Interface.
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

// findCandidates filters and scores the machines for a job. Unless mayFetch is set, only machines
// that have the job's image qualify.
func (l *leadership) candidates(j *job, machines []*machine, fetch bool) *candidates {
	c := &candidates{l: l, job: j}
	quick := math.Inf(1)
	if fetch {
		quick = l.quickFetch(j)
		c.quick = !math.IsInf(quick, 1)
	}
	// Faulty machines are idle, so the score alone would choose them again and again.
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

// maxFetchSeconds returns how long a task of the job may fetch its image. A job with a start
// objective of seconds waits for a machine that has the image, if there is one, because a long
// fetch elsewhere would miss the objective for certain; but it waits only for imageWaitPercent of
// that objective.
func (l *leadership) quickFetch(j *job) float64 {
	within := l.startAim(j)
	if within == 0 || !l.tooSoonToRent(within) || l.n.now > j.from+within*imageWait/100 {
		return math.Inf(1)
	}
	if j.imageSeen != l.scheduled {
		// Once per full pass: scanning all machines on each heartbeat would cost machines x jobs.
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

// imageWaitPercent is the percentage of a start objective during which a job waits for a machine
// that has its image.
const imageWait = 60

// tooSoonToScaleOut reports whether a start objective leaves no time to rent a machine.
func (l *leadership) tooSoonToRent(within time.Duration) bool { return within < 2*l.n.lease() }

// score returns a machine's score for the job.
func (c *candidates) rate(m *machine) candidate {
	x := candidate{m: m, load: max(m.cores/m.kind.Cores, m.ram/m.kind.RAM)}
	x.step = int(x.load * float64(c.l.n.set.LoadSteps))
	if image := c.job.spec.Image; !m.hasImage(image) {
		x.image = c.job.spec.ImageGB / m.kind.PullGBPerS
	}
	if m.emptying {
		x.spare = 1 // keep surplus machines empty unless no other has room
		if m.why == slow {
			x.spare = 2
		}
	}
	return x
}

// bestMachine returns the best machine for a task, or nil. It skips the machine on which the task
// failed last.
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

// satisfiesZoneConstraints reports whether the placement of the job's other tasks allows one in
// the machine's zone.
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

// rescore updates a machine's score after a task was placed on it.
func (c *candidates) placed(m *machine) {
	at := slices.IndexFunc(c.list, func(x candidate) bool { return x.m == m })
	if c.l.mayPlace(c.job, m) {
		c.list[at] = c.rate(m)
		heap.Fix(c, at)
	} else {
		heap.Remove(c, at)
	}
}

// releaseUndelivered releases attempts that were not delivered to their machine in time, because
// its heartbeats stopped or its responses are lost. Received heartbeats alone do not prove that
// the machine will ever start them.
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
