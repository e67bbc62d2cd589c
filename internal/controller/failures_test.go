package controller

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"
	"time"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/cluster"
	"hitchdoor/internal/config"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/scheduler"
	"hitchdoor/internal/storage"
)

// Controllers that restart within a fraction of a second during an election must neither cause two
// leaders nor prevent the election.
func TestQuickRestartsDuringElection(t *testing.T) {
	sim := newSimulation(t, 3)
	firstLeader := sim.waitForLeader()
	sim.crashNode(firstLeader.name)
	for i := range 6 {
		sim.advance(700 * time.Millisecond)
		name := sim.names[i%3]
		sim.crashNode(name)
		sim.advance(100 * time.Millisecond)
		sim.restartNode(name)
	}
	sim.waitForLeader()
}

// A machine that hangs for less than its worker lease resumes its tasks. None of them counts as lost
// or starts twice.
func TestHungMachineResumes(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.taskDuration = func(string, int) time.Duration { return 20 * time.Second }
	leaderNode := sim.waitForLeader()
	sim.submitAndStart(leaderNode.name, jobSpec("j-1", 2), 2)
	for _, worker := range sim.workers {
		worker.hung = true
	}
	sim.advance(5 * time.Second)
	for _, worker := range sim.workers {
		worker.hung = false
	}
	sim.waitForJobState("j-1", protocol.JobDone, 60*time.Second)
	if sim.startCounts["j-1/0"] != 1 || sim.startCounts["j-1/1"] != 1 {
		t.Fatalf("starts by task: %v, want one of j-1/0 and one of j-1/1", sim.startCounts)
	}
}

// Users' estimates may all be too low or too high. The completed tasks of a class correct the
// expected duration of its later tasks.
func TestEstimatesAreCorrected(t *testing.T) {
	for _, factor := range []float64{0.4, 3} {
		sim := newSimulation(t, 1)
		sim.taskDuration = func(string, int) time.Duration { return config.Seconds(10 * factor) }
		leaderNode := sim.waitForLeader()
		job := jobSpec("j-1", 24)
		job.EstimatedSeconds = 10
		sim.submit(leaderNode.name, job)
		sim.waitForJobState("j-1", protocol.JobDone, 10*time.Minute)
		next := jobSpec("j-2", 1)
		next.EstimatedSeconds = 10
		sim.submit(leaderNode.name, next)
		got := leaderNode.leader.ExpectedTaskDuration(leaderNode.leader.Jobs["j-2"]).Seconds()
		if math.Abs(math.Log(got/(10*factor))) > 0.35 {
			t.Errorf("durations of %v times the estimates: expected duration %.1f s for an estimate of 10 s, want about %v s",
				factor, got, 10*factor)
		}
	}
}

// In a burst not all jobs of a class can meet their objectives. The largest jobs are demoted first, to
// RankLate, because objectives count jobs and not tasks. Latency-sensitive work is ahead of all others.
func TestBurstDemotesLargestFirst(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.taskDuration = func(string, int) time.Duration { return 10 * time.Second }
	leaderNode := sim.waitForLeader()
	sim.startMachines(2) // 8 cores
	deadlineSeconds := 40.0
	for i, tasks := range []int{8, 60, 8} {
		job := jobSpec(fmt.Sprintf("j-%d", i), tasks)
		job.EstimatedSeconds, job.DeadlineSeconds = 10, &deadlineSeconds
		sim.submit(leaderNode.name, job)
	}
	urgent := jobSpec("j-9", 2)
	urgent.Priority = "urgent"
	sim.submit(leaderNode.name, urgent)
	order := leaderNode.leader.BuildQueue()
	if order[0].Job.Spec.ID != "j-9" {
		t.Errorf("%s is first in the queue, want the latency-sensitive j-9", order[0].Job.Spec.ID)
	}
	for _, queued := range order {
		want := map[string]int{"j-0": scheduler.RankOnTime, "j-1": scheduler.RankLate,
			"j-2": scheduler.RankOnTime, "j-9": 1}[queued.Job.Spec.ID]
		if queued.Rank != want {
			t.Errorf("%s has rank %d, want %d", queued.Job.Spec.ID, queued.Rank, want)
		}
	}
}

// Work within the guarantee of its team, which is a number of cores, is queued by the objective for its
// start, and so ahead of a job with a later deadline. Work beyond the guarantee is not.
func TestGuaranteedWorkGoesFirst(t *testing.T) {
	sim := newSimulation(t, 0)
	sim.names = []string{"n0"}
	sim.cfg.ControllerCount = 1
	sim.cfg.Teams = []config.Team{{Name: "team", GuaranteedCPUs: 4}, {Name: "free"}}
	sim.cfg.Objectives = []config.Objective{{Kind: "guarantee", WithinS: 20, MinShare: 0.9}}
	sim.startNode("n0")
	leaderNode := sim.waitForLeader()
	sim.cloud.unavailable = true
	withDeadline, withinGuarantee, beyondGuarantee := jobSpec("j-1", 2), jobSpec("j-2", 4), jobSpec("j-3", 4)
	deadlineSeconds := 30.0
	withDeadline.DeadlineSeconds = &deadlineSeconds
	withinGuarantee.Team, beyondGuarantee.Team = "team", "team"
	for _, job := range []protocol.Job{withDeadline, withinGuarantee, beyondGuarantee} {
		sim.submit(leaderNode.name, job)
	}
	order := leaderNode.leader.BuildQueue()
	if len(order) != 3 || order[0].Job.Spec.ID != "j-2" || order[2].Job.Spec.ID != "j-3" {
		for _, queued := range order {
			t.Errorf("%s has to start by %v; want the order j-2, j-1, j-3", queued.Job.Spec.ID, queued.LatestStart)
		}
	}
}

// A task is placed on the machine that has its image rather than on one without it that has as much
// free capacity.
func TestMachineWithImageIsPreferred(t *testing.T) {
	sim := newSimulation(t, 1)
	leaderNode := sim.waitForLeader()
	sim.startMachines(3)
	machineWithImage := leaderNode.leader.Machines["m-000002"]
	machineWithImage.TouchImage("special", 2)
	job := jobSpec("j-1", 1)
	job.Image, job.ImageGB = "special", 2
	sim.submit(leaderNode.name, job)
	if !sim.advanceUntil(10*time.Second, func() bool { return sim.activeTaskCount("j-1") == 1 }) {
		t.Fatal("the task did not start within 10 s")
	}
	if worker := sim.workers["m-000002"]; len(worker.tasks) != 1 {
		t.Fatal("the task does not run on m-000002, which has its image")
	}
}

// Spot machines are preempted in bulk without notice. Their tasks start elsewhere, but only once the
// machines are known to be gone, so that no task runs twice.
func TestBulkPreemptionWithoutNotice(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.taskDuration = func(string, int) time.Duration { return 15 * time.Second }
	sim.waitForLeader()
	sim.startMachines(4)
	sim.submitAndStart("n0", jobSpec("j-1", 16), 12)
	for _, name := range []string{"m-000001", "m-000002"} {
		delete(sim.workers, name)
		delete(sim.cloud.hosts, name)
	}
	sim.waitForJobState("j-1", protocol.JobDone, 2*time.Minute)
}

// No worker reaches the leader, but the followers do. They relay the heartbeats, so that worker leases
// are renewed, the leader remains, and no task starts twice.
func TestLeaderUnreachableForWorkers(t *testing.T) {
	sim, leaderNode := newRunningSimulation(t, 3, 60*time.Second, 2, 4)
	sim.unreachableNodes[leaderNode.name] = true
	sim.advance(40 * time.Second)
	if sim.leaderName() != leaderNode.name {
		t.Fatalf("%q leads after 40 s, want %s", sim.leaderName(), leaderNode.name)
	}
	sim.submit(sim.followers()[0], jobSpec("j-2", 2))
	sim.waitForJobState("j-1", protocol.JobDone, 60*time.Second)
	sim.waitForJobState("j-2", protocol.JobDone, 2*time.Minute)
	for task, n := range sim.startCounts {
		if n != 1 {
			t.Errorf("task %s started %d times, want once", task, n)
		}
	}
}

// A large job yields to small and latency-sensitive work that keeps arriving, but must not starve: it
// starts within four minutes and completes in the end.
func TestLargeJobStartsDuringLongBurst(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.taskDuration = func(string, int) time.Duration { return 10 * time.Second }
	leaderNode := sim.waitForLeader()
	sim.startMachines(2) // 8 cores
	sim.cloud.capacity = 2
	deadlineSeconds := 60.0
	large := jobSpec("j-large", 40)
	large.EstimatedSeconds, large.DeadlineSeconds = 10, &deadlineSeconds
	sim.submit(leaderNode.name, large)
	startedAt := clock.Instant(0)
	for i := 0; sim.now < 12*time.Minute; i++ {
		// Every 10 s small and urgent work arrives that would use 10 cores for 10 s; there are 8 cores.
		for index, priority := range []protocol.Priority{"standard", "urgent"} {
			job := jobSpec(fmt.Sprintf("j-%d-%d", i, index), 5)
			job.Priority, job.EstimatedSeconds, job.DeadlineSeconds = priority, 10, &deadlineSeconds
			sim.submit(leaderNode.name, job)
		}
		for end := sim.now + 10*time.Second; sim.now < end; {
			if sim.advance(time.Second); startedAt == 0 && sim.activeTaskCount("j-large") > 0 {
				startedAt = sim.now
			}
		}
	}
	if startedAt == 0 || startedAt > cluster.MaxStartDelay {
		t.Fatalf("the large job started after %v (0s: never), want at most %v", startedAt, cluster.MaxStartDelay)
	}
	if code, status := sim.queryJob(leaderNode.name, "j-large"); code != 200 || status.State != protocol.JobDone {
		t.Fatalf("after %v the large job is %q with %d tasks done, want %q", sim.now, status.State, *status.DoneTasks,
			protocol.JobDone)
	}
}

// A task that takes far longer than the other tasks of its job is moved once, because its machine may
// be slow. Then it runs to completion: if it were moved repeatedly, it would never complete.
func TestLongTaskIsMovedOnce(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.taskDuration = func(task string, _ int) time.Duration {
		if task == "j-1/7" || task == "j-1/6" {
			return 60 * time.Second
		}
		return 5 * time.Second
	}
	leaderNode := sim.waitForLeader()
	sim.startMachines(2)
	sim.submit(leaderNode.name, jobSpec("j-1", 8))
	sim.waitForJobState("j-1", protocol.JobDone, 4*time.Minute)
	if n := sim.startCounts["j-1/7"]; n > 2 {
		t.Fatalf("task j-1/7 started %d times, want at most 2", n)
	}
}

// Work that has to start within seconds waits for a machine that has its image, for as long as the
// objective allows: on a machine without the image, the pull alone would miss the objective.
func TestTaskWaitsForMachineWithImage(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.taskDuration = func(string, int) time.Duration { return time.Hour }
	sim.cloud.machineTypes = []protocol.MachineType{{Name: "c4", Cores: 4, MemoryGB: 16, ImageCacheGB: 40,
		PullGBPerSecond: 0.2, OnDemandPrice: 0.3, SpotPrice: 0.1, BootSeconds: 5, Zones: []string{"a"}}}
	sim.cfg.Objectives = []config.Objective{{Kind: "wait", Class: "c", WithinS: 5, MinShare: 0.8}}
	sim.startNode("n0")
	leaderNode := sim.waitForLeader()
	sim.advance(2 * time.Second)
	sim.startMachines(2)
	leader := leaderNode.leader
	withImage, withoutImage := leader.Machines["m-000001"], leader.Machines["m-000002"]
	withImage.TouchImage("i", 2)
	job := leader.jobRecords.Add(storage.JobRecord{Spec: jobSpec("j-1", 1),
		AcceptedAtMillis: leaderNode.nowUnixMilli()}, 1)
	job.Spec.ImageGB = 2 // a pull takes 10 s
	fits := func(machine *cluster.Machine) bool {
		return leader.FindCandidates(job, []*cluster.Machine{machine}, true).BestMachine("") == machine
	}
	if fits(withoutImage) {
		t.Error("the task is placed on m-000002, where the pull misses the objective, although m-000001 has the image")
	}
	if !fits(withImage) {
		t.Error("the task is not placed on m-000001, which has the image")
	}
	job.EligibleAt -= 4 * time.Second
	if !fits(withoutImage) {
		t.Error("the task still waits for its image when the objective leaves no more time to wait")
	}
	job.EligibleAt += 4 * time.Second
	withImage.Images, job.ImageCheckedAt = nil, clock.Never // the next scheduling pass checks the images again
	if !fits(withoutImage) {
		t.Error("the task waits for an image that no machine has")
	}
}

// A failed task is scheduled again when its back-off ends, even if nothing else changes that would cause
// a scheduling pass.
func TestBackoffExpiryTriggersScheduling(t *testing.T) {
	sim := newSimulation(t, 1)
	leaderNode := sim.waitForLeader()
	sim.startMachines(1)
	leader := leaderNode.leader
	sim.submit(leaderNode.name, jobSpec("j-1", 1))
	job := leader.Jobs["j-1"]
	job.FailureHistories[0] = &cluster.FailureHistory{RetryAfter: leaderNode.now + 10*time.Second}
	for _, attempt := range job.Attempts {
		leader.ReleaseAttempt(attempt)
	}
	sim.advance(9 * time.Second)
	if sim.startCounts["j-1/0"] > 0 {
		t.Fatal("task j-1/0 started within 9 s, before its back-off of 10 s had ended")
	}
	sim.cloud.unavailable = true // so that the fleet does not change either
	leader.SchedulingNeeded = false
	if !sim.advanceUntil(5*time.Second, func() bool { return sim.startCounts["j-1/0"] == 1 }) {
		t.Fatalf("task j-1/0 started %d times after its back-off, want once", sim.startCounts["j-1/0"])
	}
}

// A job that was started only to limit its wait, and can still meet its objective, is planned for
// that objective. When it ranked as late, the plan spread it over four task durations, and the rest
// of its tasks started too late for the objective.
func TestStartedJobIsPlannedForItsObjective(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.cfg.Objectives = []config.Objective{{Kind: "wait", Class: "c", WithinS: 200, MinShare: 0.9}}
	sim.startNode("n0")
	leader := sim.waitForLeader().leader
	sim.startMachines(1)
	spec := jobSpec("j-1", 100)
	spec.EstimatedSeconds = 50
	job := leader.jobRecords.Add(storage.JobRecord{Spec: spec, AcceptedAtMillis: leader.node.nowUnixMilli()}, 1)
	job.EligibleAt -= 150 * time.Second // the plan's reserve is used up: all tasks must start within 50 s
	coresBeforeStart := requiredCores(leader, 1000)
	job.FirstStartAt = leader.node.now
	secondsLeft := 100.0 // until its last task has to be complete
	if cores := requiredCores(leader, 1000); cores < 100*50/secondsLeft || cores > coresBeforeStart {
		t.Errorf("%v cores are planned for j-1, want at least %v and at most the %v planned before its start", cores,
			100*50/secondsLeft, coresBeforeStart)
	}
}

// If objectives allow almost no late jobs, as a MinShare of 0.99 does, the plan counts on less of the
// machines' time and so needs 20 to 40 % more cores. A MinShare of 0.8 or 0.9 needs no such margin.
func TestStrictObjectivesAddCapacityMargin(t *testing.T) {
	plannedCores := func(share float64) float64 {
		sim := newSimulation(t, 1)
		sim.cfg.Objectives = []config.Objective{{Kind: "finished", Class: "c", WithinS: 100, MinShare: share}}
		sim.startNode("n0")
		leader := sim.waitForLeader().leader
		spec := jobSpec("j-1", 200)
		spec.EstimatedSeconds = 20
		leader.jobRecords.Add(storage.JobRecord{Spec: spec, AcceptedAtMillis: leader.node.nowUnixMilli()}, 1)
		return requiredCores(leader, 1000)
	}
	loose, usual, strict := plannedCores(0.8), plannedCores(0.9), plannedCores(0.99)
	if loose != usual || strict < usual*1.2 || strict > usual*1.4 {
		t.Errorf("planned cores: %v for a MinShare of 0.8, %v for 0.9, %v for 0.99; want x, x and 1.2x to 1.4x",
			loose, usual, strict)
	}
}

// Large parts of the fleet fail at once: a third of the machines is preempted without notice or
// crashes, others hang for less than their lease, the leader crashes, and a zone is isolated with its
// machines and a controller. Hung machines must not be returned to the cloud in bulk, no task runs twice,
// no quota is exceeded, replacements are rented at once, and every task completes in the end.
func TestSimultaneousFleetFailures(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.taskDuration = func(string, int) time.Duration { return 25 * time.Second }
	sim.cfg.Cloud.RequestsPerS, sim.cfg.Store.WritesPerS, sim.cfg.Store.RequestsPerS = 6, 250, 600
	for _, name := range sim.names {
		sim.startNode(name)
	}
	leaderNode := sim.waitForLeader()
	const machines = 120
	for i := range machines {
		sim.cloud.rentMachine("c4", []string{"a", "b"}[i%2], true)
	}
	sim.advanceUntil(30*time.Second, func() bool { return len(sim.workers) >= machines })
	for i := range 8 {
		job := jobSpec(fmt.Sprintf("j-%d", i), 90)
		if i%4 == 0 {
			job.Team = "team" // its quota is 16 cores
			job.TaskCount = 20
		}
		sim.submit(leaderNode.name, job)
	}
	if !sim.advanceUntil(30*time.Second, func() bool { return len(sim.startCounts) > 440 }) {
		t.Fatalf("%d tasks have started after 30 s, want more than 440", len(sim.startCounts))
	}
	names := slices.Sorted(maps.Keys(sim.workers))
	hung := names[60:90]
	for _, name := range names[:40] { // preempted or crashed
		delete(sim.workers, name)
		delete(sim.cloud.hosts, name)
	}
	for _, name := range hung {
		sim.workers[name].hung = true
	}
	isolatedNode := sim.followers()[0]
	sim.workerReaches = func(worker *fakeWorker, node string) bool {
		return (worker.name >= names[90] && worker.name < names[110]) == (node == isolatedNode)
	}
	sim.store.requestsDropped[isolatedNode] = true
	sim.isolateNode(isolatedNode)
	sim.crashNode(leaderNode.name)
	sim.advance(5 * time.Second)
	sim.restartNode(leaderNode.name)
	for _, name := range hung {
		sim.workers[name].hung = false
	}
	sim.advance(2 * time.Second)
	for _, name := range hung {
		if sim.workers[name] == nil {
			t.Errorf("%s was returned although it hung for less than its lease", name)
		}
	}
	rentedBefore := sim.cloud.lastMachineNumber
	sim.advance(25 * time.Second)
	if sim.cloud.lastMachineNumber < rentedBefore+10 {
		t.Errorf("%d machines were rented within 25 s to replace the 40 that are gone, want at least 10",
			sim.cloud.lastMachineNumber-rentedBefore)
	}
	sim.workerReaches = nil
	delete(sim.store.requestsDropped, isolatedNode)
	sim.healCuts()
	for i := range 8 {
		sim.waitForJobState(fmt.Sprintf("j-%d", i), protocol.JobDone, 4*time.Minute)
	}
}
