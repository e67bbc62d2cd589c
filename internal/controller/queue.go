package controller

import (
	"cmp"
	"container/heap"
	"slices"

	"hitchdoor/internal/cluster"

	"hitchdoor/internal/clock"

	"hitchdoor/internal/config"
)

// queuedJob is a job with the values that determine its position in the queue.
type queuedJob struct {
	job                  *cluster.Job
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
func (s *scheduler) mayUseLastResort(j *cluster.Job) bool {
	return s.Clock.Now()-j.PendingSince > lastResortAfter
}

// lastResortAfter is the waiting time after which slow machines are used too.
const lastResortAfter = cluster.MaxStartDelay / 4

// latencySensitiveWorkDelayed reports whether latency-sensitive work has waited longer than
// borrowing allows.
func (s *scheduler) latencySensitiveWorkDelayed(queue []queuedJob) bool {
	return slices.ContainsFunc(queue, func(r queuedJob) bool {
		return cluster.IsLatencySensitive(&r.job.Spec) && s.Clock.Now()-r.job.PendingSince > config.Seconds(s.Settings.BorrowWaitS)
	})
}

// buildQueue returns the runnable jobs with pending tasks in queue order.
func (s *scheduler) buildQueue() []queuedJob {
	now := s.Clock.Now()
	var all []*queuedJob
	s.guaranteedJobs = s.jobsWithinGuarantee()
	pullRate := s.ImagePullRate()
	for _, j := range s.RunnableJobs {
		if j.Terminal {
			continue
		}
		queued := &queuedJob{job: j, rank: min(j.EffectiveRank(), rankOnTime), due: s.Due(j), remainingCoreSeconds: s.RemainingCoreSeconds(j, pullRate)}
		queued.latestStart = queued.due - s.ExpectedTaskDuration(j)
		if queued.rank == rankOnTime && j.PendingTasks > 0 && queued.latestStart < now {
			queued.rank = rankLate
		}
		switch age := now - j.EligibleAt; {
		case age > cluster.OverdueAfter && !j.HasStarted():
			queued.rank, queued.latestStart, queued.mayReserve = rankOverdue, j.EligibleAt, true
		case age > cluster.MaxStartDelay && queued.rank > rankLatencySensitive && !(j.HasStarted() && s.exceedsGuarantee(j)):
			// A started job that exceeds its team's guarantee is not moved ahead.
			queued.rank, queued.latestStart, queued.mayReserve = rankLatencySensitive, j.EligibleAt, true
		}
		if start := j.EligibleAt + s.GuaranteedStartWithin; s.GuaranteedStartWithin > 0 && start > now && s.guaranteedJobs[j] {
			// Guaranteed work has a start objective of its own.
			queued.latestStart = min(queued.latestStart, start)
		}
		all = append(all, queued)
	}
	slices.SortFunc(all, func(a, b *queuedJob) int {
		return cmp.Or(cmp.Compare(a.due, b.due), cmp.Compare(a.job.Spec.ID, b.job.Spec.ID))
	})
	s.demoteLargestJobs(all)
	var queue []queuedJob
	for _, queued := range all {
		if queued.job.PendingTasks > 0 {
			queue = append(queue, *queued)
		}
	}
	slices.SortFunc(queue, func(a, b queuedJob) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.latestStart, b.latestStart), cmp.Compare(a.job.Spec.ID, b.job.Spec.ID))
	})
	return queue
}

// demoteLargestJobs ranks jobs as late that cannot all be in time on the present machines.
// Objectives count jobs regardless of size, so the largest are demoted: going through the jobs by
// due time, the largest so far is demoted whenever the next would be late (Moore-Hodgson
// algorithm for the fewest late jobs).
func (s *scheduler) demoteLargestJobs(all []*queuedJob) {
	cores := s.RetainedCores()
	if cores == 0 {
		return
	}
	totalWork := 0.0
	largest := &workHeap{}
	for order, queued := range all {
		if queued.rank != rankOnTime && queued.job.EffectiveRank() > rankLatencySensitive {
			continue
		}
		totalWork += queued.remainingCoreSeconds
		if queued.rank == rankOnTime && queued.job.PendingTasks > 0 {
			heap.Push(largest, workHeapItem{queued: queued, dueOrder: order})
		}
		for totalWork/(cores*packingEfficiency) > (queued.due-s.Clock.Now()).Seconds() && largest.Len() > 0 {
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
