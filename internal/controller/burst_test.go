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

// One team submits hundreds of the largest jobs. Accepted jobs have to be known, but pending tasks
// must need next to no memory: at one byte per task, two thousand such jobs needed twice the memory
// of a controller, and each leader in turn would have run out of it.
func TestFloodOfLargeJobsFitsMemory(t *testing.T) {
	const jobs, perJob = 2000, 8 << 10
	sim := newSimulation(t, 1)
	leaderNode := sim.waitForLeader()
	before := heapInUse()
	for i := range jobs {
		rec := storage.JobRecord{Spec: jobSpec(fmt.Sprintf("j-%d", i), protocol.MaxTasksPerJob),
			AcceptedAtMillis: leaderNode.nowUnixMilli()}
		sim.jobSpecs[rec.Spec.ID] = rec.Spec
		leaderNode.leader.jobRecords.Add(rec, uint64(i+1))
	}
	if grown := int64(heapInUse()) - int64(before); grown > jobs*perJob {
		t.Errorf("%d jobs that wait take %d bytes each", jobs, grown/jobs)
	}
	runtime.KeepAlive(leaderNode)
}

func heapInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// Another team's job starts in time during a flood of submissions, and queries, cancellations and
// the other jobs of the flood are served.
func TestOtherTeamsAreServedDuringFlood(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.cloud.capacity = 4
	sim.taskDuration = func(string, int) time.Duration { return 10 * time.Second }
	sim.waitForLeader()
	sim.startMachines(4)
	c := newUserSimulation(sim, 1)
	for i := range 300 {
		job := jobSpec(fmt.Sprintf("j-flood-%d", i), 200)
		job.Class = "flood"
		sim.schedule(c.randomDuration(20*time.Second), func() { c.submitWithRetries(job) })
	}
	sim.advance(20 * time.Second)
	other := jobSpec("j-other", 4)
	other.Team, other.Class = "team", "other"
	c.submitWithRetries(other)
	if !sim.advanceUntil(cluster.MaxStartDelay, func() bool { return sim.firstStartAt["j-other"] != 0 }) {
		t.Fatalf("not begun after four minutes: %s", sim.explainPending("j-other"))
	}
	c.cancelWithRetries("j-flood-7")
	if !sim.advanceUntil(5*time.Second,
		func() bool { return sim.terminalStates["j-flood-7"] == protocol.JobCancelled }) {
		t.Error("a cancellation is not confirmed within 5 s")
	}
}

// DemoteLargestJobs demotes the same jobs as a direct implementation of Moore's rule.
func TestDemotionMatchesMooreHodgson(t *testing.T) {
	_, leaderNode := newRunningSimulation(t, 1, time.Hour, 2, 8)
	cores := leaderNode.leader.RetainedCores()
	if cores == 0 {
		t.Fatal("no machine stays")
	}
	rng := rand.New(rand.NewPCG(1, 2))
	for round := range 300 {
		var all, plain []*scheduler.QueuedJob
		for i := range 1 + rng.IntN(30) {
			job := &cluster.Job{Spec: jobSpec(fmt.Sprintf("j-%d", i), 1),
				TaskProgress: cluster.TaskProgress{PendingTasks: rng.IntN(3)}}
			r := scheduler.QueuedJob{Job: job,
				Rank: []int{cluster.RankLatencySensitive, scheduler.RankOnTime, scheduler.RankLate}[rng.IntN(3)],
				Due:  leaderNode.now + time.Duration(rng.IntN(200))*time.Second, RemainingCoreSeconds: float64(rng.IntN(20) * 10)}
			again := r
			all, plain = append(all, &r), append(plain, &again)
		}
		byDue := func(a, b *scheduler.QueuedJob) int { return int(a.Due - b.Due) }
		slices.SortStableFunc(all, byDue)
		slices.SortStableFunc(plain, byDue)
		leaderNode.leader.DemoteLargestJobs(all)
		referenceDemotion(plain, cores*scheduler.PackingEfficiency, leaderNode.now)
		for i := range all {
			if all[i].Rank != plain[i].Rank {
				t.Fatalf("round %d: job %d has rank %d, not %d", round, i, all[i].Rank, plain[i].Rank)
			}
		}
	}
}

// referenceDemotion is the Moore-Hodgson algorithm for the fewest late jobs, in its textbook form.
func referenceDemotion(all []*scheduler.QueuedJob, cores float64, now clock.Instant) {
	sum := 0.0
	var kept []*scheduler.QueuedJob
	for _, r := range all {
		if r.Rank != scheduler.RankOnTime && r.Job.EffectiveRank() > cluster.RankLatencySensitive {
			continue
		}
		sum += r.RemainingCoreSeconds
		kept = append(kept, r)
		for sum/cores > (r.Due - now).Seconds() {
			worst := -1
			for i, k := range kept {
				if k.Rank == scheduler.RankOnTime && k.Job.PendingTasks > 0 &&
					(worst < 0 || k.RemainingCoreSeconds > kept[worst].RemainingCoreSeconds) {
					worst = i
				}
			}
			if worst < 0 {
				break
			}
			sum -= kept[worst].RemainingCoreSeconds
			kept[worst].Rank = scheduler.RankLate
			kept = slices.Delete(kept, worst, worst+1)
		}
	}
}
