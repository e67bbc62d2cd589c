package coordination

import (
	"cmp"
	"container/heap"
	"slices"

	"hitchdoor/internal/config"
)

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

// mayUseLastResort reports whether tasks of the job have waited so long that a slow machine is
// better than none: no job may wait for 90 s while some machine has room.
func (s *scheduler) leftWaiting(j *job) bool { return s.clock.Now()-j.waiting > leftWaitingAfter }

// lastResortAfter is the waiting time after which slow machines are used too.
const leftWaitingAfter = mustBegin / 4

// latencySensitiveWorkDelayed reports whether latency-sensitive work has waited longer than
// borrowing allows.
func (s *scheduler) quickWaits(waiting []ranked) bool {
	return slices.ContainsFunc(waiting, func(r ranked) bool {
		return pressing(&r.j.spec) && s.clock.Now()-r.j.waiting > config.Seconds(s.settings.BorrowWaitS)
	})
}

// buildQueue returns the runnable jobs with pending tasks in queue order.
func (s *scheduler) waitingJobs() []ranked {
	now := s.clock.Now()
	var all []*ranked
	s.guaranteedJobs = s.guaranteed()
	pull := s.pull()
	for _, j := range s.runnable {
		if j.gone {
			continue
		}
		r := &ranked{j: j, rank: min(j.rank(), rankInTime), due: s.due(j), work: s.workLeft(j, pull)}
		r.at = r.due - s.expected(j)
		if r.rank == rankInTime && j.pending > 0 && r.at < now {
			r.rank = rankLate
		}
		switch age := now - j.from; {
		case age > beginsAfter && !j.begun():
			r.rank, r.at, r.mayReserve = rankOverdue, j.from, true
		case age > mustBegin && r.rank > rankPressing && !(j.begun() && s.beyondGuarantee(j)):
			// A started job that exceeds its team's guarantee is not moved ahead.
			r.rank, r.at, r.mayReserve = rankPressing, j.from, true
		}
		if start := j.from + s.startWithin; s.startWithin > 0 && start > now && s.guaranteedJobs[j] {
			// Guaranteed work has a start objective of its own.
			r.at = min(r.at, start)
		}
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b *ranked) int {
		return cmp.Or(cmp.Compare(a.due, b.due), cmp.Compare(a.j.spec.UID, b.j.spec.UID))
	})
	s.setAsideLargest(all)
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

// demoteLargestJobs ranks jobs as late that cannot all be in time on the present machines.
// Objectives count jobs regardless of size, so the largest are demoted: going through the jobs by
// due time, the largest so far is demoted whenever the next would be late (Moore-Hodgson
// algorithm for the fewest late jobs).
func (s *scheduler) setAsideLargest(all []*ranked) {
	cores := s.coresToStay()
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
		for sum/(cores*packing) > (r.due-s.clock.Now()).Seconds() && largest.Len() > 0 {
			late := heap.Pop(largest).(workItem).job
			sum -= late.work
			late.rank = rankLate
		}
	}
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
func (h byWork) Len() int { return len(h) }

func (h byWork) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *byWork) Push(x any) { *h = append(*h, x.(workItem)) }

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
