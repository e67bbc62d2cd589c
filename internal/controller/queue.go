package controller

import (
	"cmp"
	"container/heap"
	"slices"

	"hitchdoor/internal/clock"

	"hitchdoor/internal/config"
)

// queuedJob is a job with the values that determine its position in the queue.
type queuedJob struct {
	job                  *job
	rank                 int           // see rankOverdue and following
	latestStart          clock.Instant // latest start that is still in time
	due                  clock.Instant
	remainingCoreSeconds float64 // remaining work in core seconds

	mayReserve bool // has waited long enough for a resource reservation
}

// Ranks of the queue order: overdue jobs, latency-sensitive jobs by priority, jobs that can
// finish in time, and jobs that cannot.
const (
	rankOverdue          = -1
	rankLatencySensitive = 1
	rankOnTime           = 2
	rankLate             = 3
)

// mayUseLastResort reports whether tasks of the job have waited so long that a slow machine is
// better than none: no job may wait for 90 s while some machine has room.
func (s *scheduler) mayUseLastResort(j *job) bool {
	return s.clock.Now()-j.pendingSince > lastResortAfter
}

// lastResortAfter is the waiting time after which slow machines are used too.
const lastResortAfter = maxStartDelay / 4

// latencySensitiveWorkDelayed reports whether latency-sensitive work has waited longer than
// borrowing allows.
func (s *scheduler) latencySensitiveWorkDelayed(queue []queuedJob) bool {
	return slices.ContainsFunc(queue, func(r queuedJob) bool {
		return isLatencySensitive(&r.job.spec) && s.clock.Now()-r.job.pendingSince > config.Seconds(s.settings.BorrowWaitS)
	})
}

// buildQueue returns the runnable jobs with pending tasks in queue order.
func (s *scheduler) buildQueue() []queuedJob {
	now := s.clock.Now()
	var all []*queuedJob
	s.guaranteedJobs = s.jobsWithinGuarantee()
	pullRate := s.imagePullRate()
	for _, j := range s.runnableJobs {
		if j.terminal {
			continue
		}
		queued := &queuedJob{job: j, rank: min(j.effectiveRank(), rankOnTime), due: s.due(j), remainingCoreSeconds: s.remainingCoreSeconds(j, pullRate)}
		queued.latestStart = queued.due - s.expectedTaskDuration(j)
		if queued.rank == rankOnTime && j.pendingTasks > 0 && queued.latestStart < now {
			queued.rank = rankLate
		}
		switch age := now - j.eligibleAt; {
		case age > overdueAfter && !j.hasStarted():
			queued.rank, queued.latestStart, queued.mayReserve = rankOverdue, j.eligibleAt, true
		case age > maxStartDelay && queued.rank > rankLatencySensitive && !(j.hasStarted() && s.exceedsGuarantee(j)):
			// A started job that exceeds its team's guarantee is not moved ahead.
			queued.rank, queued.latestStart, queued.mayReserve = rankLatencySensitive, j.eligibleAt, true
		}
		if start := j.eligibleAt + s.guaranteedStartWithin; s.guaranteedStartWithin > 0 && start > now && s.guaranteedJobs[j] {
			// Guaranteed work has a start objective of its own.
			queued.latestStart = min(queued.latestStart, start)
		}
		all = append(all, queued)
	}
	slices.SortFunc(all, func(a, b *queuedJob) int {
		return cmp.Or(cmp.Compare(a.due, b.due), cmp.Compare(a.job.spec.ID, b.job.spec.ID))
	})
	s.demoteLargestJobs(all)
	var queue []queuedJob
	for _, queued := range all {
		if queued.job.pendingTasks > 0 {
			queue = append(queue, *queued)
		}
	}
	slices.SortFunc(queue, func(a, b queuedJob) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.latestStart, b.latestStart), cmp.Compare(a.job.spec.ID, b.job.spec.ID))
	})
	return queue
}

// demoteLargestJobs ranks jobs as late that cannot all be in time on the present machines.
// Objectives count jobs regardless of size, so the largest are demoted: going through the jobs by
// due time, the largest so far is demoted whenever the next would be late (Moore-Hodgson
// algorithm for the fewest late jobs).
func (s *scheduler) demoteLargestJobs(all []*queuedJob) {
	cores := s.retainedCores()
	if cores == 0 {
		return
	}
	totalWork := 0.0
	largest := &workHeap{}
	for order, queued := range all {
		if queued.rank != rankOnTime && queued.job.effectiveRank() > rankLatencySensitive {
			continue
		}
		totalWork += queued.remainingCoreSeconds
		if queued.rank == rankOnTime && queued.job.pendingTasks > 0 {
			heap.Push(largest, workHeapItem{queued: queued, dueOrder: order})
		}
		for totalWork/(cores*packingEfficiency) > (queued.due-s.clock.Now()).Seconds() && largest.Len() > 0 {
			demoted := heap.Pop(largest).(workHeapItem).queued
			totalWork -= demoted.remainingCoreSeconds
			demoted.rank = rankLate
		}
	}
}

// workHeap is a max-heap of jobs by remaining work. Scanning all jobs for each demotion would be
// quadratic in a burst of small jobs.
type workHeap []workHeapItem

// workHeapItem is a job with its position in the order of due times, which breaks ties.
type workHeapItem struct {
	queued   *queuedJob
	dueOrder int
}

// Len, Swap, Push, Less and Pop implement heap.Interface.
func (h workHeap) Len() int { return len(h) }

func (h workHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *workHeap) Push(x any) { *h = append(*h, x.(workHeapItem)) }

func (h workHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[j].queued.remainingCoreSeconds, h[i].queued.remainingCoreSeconds), cmp.Compare(h[i].dueOrder, h[j].dueOrder)) < 0
}

// Pop removes the last element, as container/heap requires.
func (h *workHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// packingEfficiency is the share of the machines' time that tasks use under full load.
const packingEfficiency = 0.9
