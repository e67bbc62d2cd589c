package scheduler

import (
	"cmp"
	"container/heap"
	"slices"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/cluster"
	"hitchdoor/internal/config"
)

// QueuedJob is a job with the values that determine its position in the queue.
type QueuedJob struct {
	Job                  *cluster.Job
	Rank                 int           // a constant below or a priority rank; lower ranks come first
	LatestStart          clock.Instant // latest start that still meets Due
	Due                  clock.Instant // when the job should be complete; see cluster.Estimates.Due
	RemainingCoreSeconds float64       // remaining work of the job

	mayReserve bool // the job has waited long enough to reserve a machine
}

// Ranks in queue order: overdue jobs, which have waited longest for their first start;
// latency-sensitive jobs, whose rank is their priority rank, 0 to rankLatencySensitive; jobs that can
// meet their due time; and jobs that cannot.
const (
	rankOverdue          = -1
	rankLatencySensitive = cluster.RankLatencySensitive
	RankOnTime           = 2
	RankLate             = 3
)

// pendingTooLong reports whether the job has been pending for so long that only the quota of its team and the
// room on the machines may hold it back. Its tasks may start without a free slot, on a slow machine, and beside
// a reservation that they end before.
func (s *Scheduler) pendingTooLong(job *cluster.Job) bool {
	return s.Clock.Now()-job.PendingSince > maxPendingBesideRoom
}

// maxPendingBesideRoom is the pending time after which a job starts on any machine with room. No job may wait for
// 90 s while any machine has room for it; the rest of that time is left for the start.
const maxPendingBesideRoom = cluster.MaxStartDelay / 4

// LatencySensitiveWorkDelayed reports whether a latency-sensitive job has waited longer than
// BorrowWaitS. If so, batch work may not borrow the slots reserved for latency-sensitive work.
func (s *Scheduler) LatencySensitiveWorkDelayed(queue []QueuedJob) bool {
	maxWait := config.Seconds(s.Settings.BorrowWaitS)
	return slices.ContainsFunc(queue, func(queued QueuedJob) bool {
		return cluster.IsLatencySensitive(&queued.Job.Spec) && s.Clock.Now()-queued.Job.PendingSince > maxWait
	})
}

// BuildQueue returns the runnable jobs with pending tasks in queue order. It also determines which jobs
// are within their team's guarantee.
func (s *Scheduler) BuildQueue() []QueuedJob {
	var all []*QueuedJob
	s.guaranteedJobs = s.jobsWithinGuarantee()
	pullRate := s.ImagePullRate()
	for _, job := range s.RunnableJobs {
		if !job.Terminal {
			all = append(all, s.rankJob(job, pullRate))
		}
	}
	slices.SortFunc(all, func(a, b *QueuedJob) int {
		return cmp.Or(cmp.Compare(a.Due, b.Due), cmp.Compare(a.Job.Spec.ID, b.Job.Spec.ID))
	})
	s.DemoteLargestJobs(all)
	var queue []QueuedJob
	s.pendingWithoutCoresOrMemory = false
	for _, queued := range all {
		if queued.Job.PendingTasks > 0 {
			queue = append(queue, *queued)
			if cluster.RequiresNoCoresOrMemory(&queued.Job.Spec) {
				s.pendingWithoutCoresOrMemory = true
			}
		}
	}
	slices.SortFunc(queue, func(a, b QueuedJob) int {
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.LatestStart, b.LatestStart),
			cmp.Compare(a.Job.Spec.ID, b.Job.Spec.ID))
	})
	return queue
}

// rankJob determines a job's rank and latest start. A job that has waited too long gets a better rank,
// and is sorted by EligibleAt within that rank.
func (s *Scheduler) rankJob(job *cluster.Job, pullRate cluster.ImagePullRate) *QueuedJob {
	now := s.Clock.Now()
	queued := &QueuedJob{Job: job, Rank: min(job.EffectiveRank(), RankOnTime), Due: s.Due(job),
		RemainingCoreSeconds: s.RemainingCoreSeconds(job, pullRate)}
	queued.LatestStart = queued.Due - s.ExpectedTaskDuration(job)
	if queued.Rank == RankOnTime && job.PendingTasks > 0 && queued.LatestStart < now {
		queued.Rank = RankLate
	}
	switch age := now - job.EligibleAt; {
	case age > cluster.OverdueAfter && !job.HasStarted():
		queued.Rank, queued.LatestStart, queued.mayReserve = rankOverdue, job.EligibleAt, true
	// A job that has waited longer than MaxStartDelay is promoted. The exception is a started job of a
	// team that already uses more than its guarantee.
	case age > cluster.MaxStartDelay && queued.Rank > rankLatencySensitive &&
		!(job.HasStarted() && s.teamExceedsGuarantee(job)):
		queued.Rank, queued.LatestStart, queued.mayReserve = rankLatencySensitive, job.EligibleAt, true
	}
	guaranteedStart := job.EligibleAt + s.GuaranteedStartWithin
	if s.GuaranteedStartWithin > 0 && guaranteedStart > now && s.guaranteedJobs[job] {
		// A job within its team's guarantee must also start within GuaranteedStartWithin.
		queued.LatestStart = min(queued.LatestStart, guaranteedStart)
	}
	return queued
}

// DemoteLargestJobs gives jobs RankLate until the current machines can complete all others by their
// due times. It uses the Moore-Hodgson algorithm, which minimizes the number of late jobs: going
// through the jobs, which are sorted by due time, it demotes the largest job so far whenever the next
// job would be late. The largest jobs are demoted because objectives count jobs regardless of size.
func (s *Scheduler) DemoteLargestJobs(all []*QueuedJob) {
	cores := s.RetainedCores()
	if cores == 0 {
		return
	}
	totalWork := 0.0
	largest := &workHeap{}
	for order, queued := range all {
		if queued.Rank != RankOnTime && queued.Job.EffectiveRank() > rankLatencySensitive {
			continue
		}
		totalWork += queued.RemainingCoreSeconds
		if queued.Rank == RankOnTime && queued.Job.PendingTasks > 0 {
			heap.Push(largest, workHeapItem{queued: queued, dueOrder: order})
		}
		for totalWork/(cores*PackingEfficiency) > (queued.Due-s.Clock.Now()).Seconds() && largest.Len() > 0 {
			demoted := heap.Pop(largest).(workHeapItem).queued
			totalWork -= demoted.RemainingCoreSeconds
			demoted.Rank = RankLate
		}
	}
}

// workHeap is a max-heap of jobs by remaining work. Scanning all jobs for each demotion would take
// quadratic time in a burst of small jobs.
type workHeap []workHeapItem

// workHeapItem is a job with its position in the order of due times, which breaks ties.
type workHeapItem struct {
	queued   *QueuedJob
	dueOrder int
}

// Len, Swap, Push, Less and Pop implement heap.Interface.
func (h workHeap) Len() int { return len(h) }

func (h workHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *workHeap) Push(x any) { *h = append(*h, x.(workHeapItem)) }

func (h workHeap) Less(i, j int) bool {
	return cmp.Or(
		cmp.Compare(h[j].queued.RemainingCoreSeconds, h[i].queued.RemainingCoreSeconds),
		cmp.Compare(h[i].dueOrder, h[j].dueOrder),
	) < 0
}

// Pop removes the last element, as container/heap requires.
func (h *workHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// PackingEfficiency is the share of the machines' core time that tasks use under full load.
const PackingEfficiency = 0.9
