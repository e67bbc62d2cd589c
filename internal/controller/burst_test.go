package controller

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/cluster"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/scheduler"
	"hitchdoor/internal/storage"
)

// Two thousand jobs of the largest size must fit into the memory of a controller. Accepted jobs have
// to be known, but pending tasks must need next to no memory: at one byte per task, such jobs needed
// twice the memory of a controller, and each leader in turn would run out of it.
func TestFloodOfLargeJobsFitsMemory(t *testing.T) {
	const jobs, maxBytesPerJob = 2000, 8 << 10
	sim := newSimulation(t, 1)
	leaderNode := sim.waitForLeader()
	before := heapInUse()
	for i := range jobs {
		rec := storage.JobRecord{Spec: jobSpec(fmt.Sprintf("j-%d", i), protocol.MaxTasksPerJob),
			AcceptedAtMillis: leaderNode.nowUnixMilli()}
		sim.jobSpecs[rec.Spec.ID] = rec.Spec
		leaderNode.leader.jobRecords.Add(rec, uint64(i+1))
	}
	if grown := int64(heapInUse()) - int64(before); grown > jobs*maxBytesPerJob {
		t.Errorf("heap for each of %d pending jobs: got %d bytes, want at most %d", jobs, grown/jobs, maxBytesPerJob)
	}
	runtime.KeepAlive(leaderNode)
}

// heapInUse returns the size of the live heap in bytes.
func heapInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// A flood of submissions by one team must not starve the other teams. Another team's job starts
// within the maximum start delay, and queries, cancellations and the other jobs of the flood are
// served.
func TestOtherTeamsAreServedDuringFlood(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.cloud.capacity = 4
	sim.taskDuration = func(string, int) time.Duration { return 10 * time.Second }
	sim.waitForLeader()
	sim.startMachines(4)
	users := newUserSimulation(sim, 1)
	for i := range 300 {
		job := jobSpec(fmt.Sprintf("j-flood-%d", i), 200)
		job.Class = "flood"
		sim.schedule(users.randomDuration(20*time.Second), func() { users.submitWithRetries(job) })
	}
	sim.advance(20 * time.Second)
	other := jobSpec("j-other", 4)
	other.Team, other.Class = "team", "other"
	users.submitWithRetries(other)
	if !sim.advanceUntil(cluster.MaxStartDelay, func() bool { return sim.firstStartAt["j-other"] != 0 }) {
		t.Fatalf("j-other has not started within %v: %s", cluster.MaxStartDelay, sim.explainPending("j-other"))
	}
	users.cancelWithRetries("j-flood-7")
	if !sim.advanceUntil(5*time.Second,
		func() bool { return sim.terminalStates["j-flood-7"] == protocol.JobCancelled }) {
		t.Error("j-flood-7 is not cancelled within 5 s")
	}
}

// DemoteLargestJobs must mark the same jobs as late as a direct implementation of the Moore-Hodgson
// algorithm, for 300 random queues.
func TestDemotionMatchesMooreHodgson(t *testing.T) {
	_, leaderNode := newRunningSimulation(t, 1, time.Hour, 2, 8)
	retainedCores := leaderNode.leader.RetainedCores()
	if retainedCores == 0 {
		t.Fatal("got no retained cores, want those of the two machines")
	}
	rng := rand.New(rand.NewPCG(1, 2))
	for round := range 300 {
		var queue, referenceQueue []*scheduler.QueuedJob
		for i := range 1 + rng.IntN(30) {
			job := &cluster.Job{Spec: jobSpec(fmt.Sprintf("j-%d", i), 1),
				TaskProgress: cluster.TaskProgress{PendingTasks: rng.IntN(3)}}
			queued := scheduler.QueuedJob{Job: job,
				Rank:                 []int{cluster.RankLatencySensitive, scheduler.RankOnTime, scheduler.RankLate}[rng.IntN(3)],
				Due:                  leaderNode.now + time.Duration(rng.IntN(200))*time.Second,
				RemainingCoreSeconds: float64(rng.IntN(20) * 10)}
			copied := queued
			queue, referenceQueue = append(queue, &queued), append(referenceQueue, &copied)
		}
		byDue := func(a, b *scheduler.QueuedJob) int { return int(a.Due - b.Due) }
		slices.SortStableFunc(queue, byDue)
		slices.SortStableFunc(referenceQueue, byDue)
		leaderNode.leader.DemoteLargestJobs(queue)
		referenceDemotion(referenceQueue, retainedCores*scheduler.PackingEfficiency, leaderNode.now)
		for i := range queue {
			if queue[i].Rank != referenceQueue[i].Rank {
				t.Fatalf("round %d: rank of job %d: got %d, want %d", round, i, queue[i].Rank, referenceQueue[i].Rank)
			}
		}
	}
}

// referenceDemotion marks jobs as late by the Moore-Hodgson algorithm, which minimizes the number of
// late jobs, in its textbook form.
func referenceDemotion(queue []*scheduler.QueuedJob, cores float64, now clock.Instant) {
	keptCoreSeconds := 0.0
	var kept []*scheduler.QueuedJob
	for _, queued := range queue {
		if queued.Rank != scheduler.RankOnTime && queued.Job.EffectiveRank() > cluster.RankLatencySensitive {
			continue
		}
		keptCoreSeconds += queued.RemainingCoreSeconds
		kept = append(kept, queued)
		for keptCoreSeconds/cores > (queued.Due - now).Seconds() {
			largest := -1
			for i, candidate := range kept {
				if candidate.Rank == scheduler.RankOnTime && candidate.Job.PendingTasks > 0 &&
					(largest < 0 || candidate.RemainingCoreSeconds > kept[largest].RemainingCoreSeconds) {
					largest = i
				}
			}
			if largest < 0 {
				break
			}
			keptCoreSeconds -= kept[largest].RemainingCoreSeconds
			kept[largest].Rank = scheduler.RankLate
			kept = slices.Delete(kept, largest, largest+1)
		}
	}
}
