package controller

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"hitchdoor/internal/config"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// requiredCores returns the number of cores that the autoscaler of a leader requires for its open
// jobs while the cluster has heldCores.
func requiredCores(l *leader, heldCores float64) float64 {
	demand := l.autoscaler.Demand()
	return demand.RequiredCores(heldCores)
}

// A rented machine that never boots must not be kept, or the work planned for it would never run. It
// must be returned to the cloud, and another one rented in its place.
func TestMachineThatNeverBoots(t *testing.T) {
	sim := newSimulation(t, 1)
	leaderNode := sim.waitForLeader()
	sim.cloud.bootTime = time.Hour
	sim.submit(leaderNode.name, jobSpec("j-1", 1))
	if !sim.advanceUntil(30*time.Second, func() bool { return len(sim.cloud.hosts) > 0 }) {
		t.Fatal("no machine was rented within 30 s")
	}
	sim.cloud.bootTime = 0
	sim.waitForJobState("j-1", protocol.JobDone, 3*time.Minute)
	if _, kept := sim.cloud.hosts["m-000001"]; kept {
		t.Fatal("m-000001 never booted and is still held, want it returned to the cloud")
	}
}

// A job that may wait is due late, so the plan reserves capacity for the work that usually arrives
// meanwhile and is due earlier. A new leader without the stored forecast would have to learn these
// arrivals again, and would return machines to the cloud meanwhile.
func TestForecastSurvivesLeaderChange(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.cfg.Objectives = []config.Objective{
		{Kind: "finished", Class: "quick", WithinS: 60, MinShare: 0.9},
		{Kind: "wait", Class: "patient", WithinS: 200, MinShare: 0.9},
	}
	for _, name := range sim.names {
		sim.startNode(name)
	}
	first := sim.waitForLeader()
	sim.startMachines(2)
	for i := range 60 {
		job := jobSpec(fmt.Sprintf("j-%d", i), 4)
		if job.Class = "quick"; i%10 == 0 {
			job.Class = "patient"
		}
		sim.submit(first.name, job)
		sim.advance(time.Second)
	}
	last := jobSpec("j-60", 1)
	last.Class = "patient"
	sim.submit(first.name, last)
	job := first.leader.Jobs["j-60"]
	if got, want := first.leader.Due(job)-job.EligibleAt,
		200*time.Second+first.leader.ExpectedTaskDuration(job); got != want {
		t.Errorf("time from eligible to due of j-60, which has a wait objective: got %v, want %v", got, want)
	}
	before := first.leader.autoscaler.Forecast.ExpectedWork(200)
	if before <= 0 || first.leader.autoscaler.Forecast.ExpectedWork(50) != 0 {
		t.Fatalf("expected work: got %v within 200 s, want some, and %v within 50 s, want 0", before,
			first.leader.autoscaler.Forecast.ExpectedWork(50))
	}
	sim.crashNode(first.name)
	sim.advance(time.Second)
	next := sim.waitForLeader()
	if after := next.leader.autoscaler.Forecast.ExpectedWork(200); after < before/2 || after > before*1.1 {
		t.Fatalf("expected work within 200 s after the takeover: got %v, want %v to %v", after, before/2, before*1.1)
	}
}

// Users choose the class names, and many or long ones could make the stored forecast exceed the
// value limit. The store would reject the transaction, and the leader would step down.
func TestForecastRecordFitsValueLimit(t *testing.T) {
	sim := newSimulation(t, 1)
	leaderNode := sim.waitForLeader()
	sim.startMachines(1)
	for i := range 300 {
		job := jobSpec(fmt.Sprintf("j-%d", i), 1)
		job.Class = strings.Repeat("x", 100) + fmt.Sprint(i)
		sim.submit(leaderNode.name, job)
	}
	term := leaderNode.leader.term
	sim.advance(35 * time.Second) // until the forecast is stored; the store rejects values over the limit
	if item, ok := sim.store.keys[storage.ArrivalForecastKey]; !ok || len(item.Value) < 1000 {
		t.Error("no arrival forecast of at least 1000 bytes is stored")
	}
	if leaderNode.leader == nil || leaderNode.leader.term != term {
		t.Error("the leader has stepped down, want it in the same term")
	}
}

// The sums behind the forecast decay over minutes, so machines would be kept for jobs that no longer
// arrive. The confidence is the share of the usual arrivals that is still expected. It must drop once
// more jobs in a row are missing than chance explains. A gap while the store accepts no writes, or
// within the users' retry time after that, doesn't count.
func TestForecastDropsWhenArrivalsStop(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.cloud.capacity = 1
	leaderNode := sim.waitForLeader()
	lease := leaderNode.workerLease()
	for i := range 120 { // one job a second
		sim.submit(leaderNode.name, jobSpec(fmt.Sprintf("j-%d", i), 1))
		sim.advance(time.Second - 2*step)
	}
	forecast := leaderNode.leader.autoscaler.Forecast
	forecast.Decay()
	steady, expected := forecast.UsualLoad(), forecast.ExpectedWork(100)
	if forecast.Confidence() != 1 || steady == 0 || expected == 0 {
		t.Fatalf("steady arrivals: got confidence %v, usual load %v, expected work %v, want 1 and both positive",
			forecast.Confidence(), steady, expected)
	}
	sim.store.setDown(true)
	sim.advance(2 * lease)
	if forecast.Decay(); forecast.Confidence() != 1 {
		t.Error("a store outage without arrivals lowered the confidence")
	}
	sim.store.setDown(false)
	sim.advance(lease)
	if forecast.Decay(); forecast.Confidence() != 1 {
		t.Error("a gap within the retry time of users lowered the confidence")
	}
	sim.advance(lease)
	if forecast.Decay(); forecast.Confidence() > 0.4 || forecast.ExpectedWork(100) > expected/3 {
		t.Errorf("two worker leases without a job: got confidence %v, expected work %v, want at most 0.4 and %v",
			forecast.Confidence(), forecast.ExpectedWork(100), expected/3)
	}
	sim.submit(leaderNode.name, jobSpec("j-999", 1))
	if forecast.Confidence() != 1 {
		t.Error("the next job did not restore the confidence to 1")
	}
}

// The first leader counts the jobs that it finds in the store as arrivals. Otherwise far too few
// machines are rented if hundreds of jobs are submitted before a leader is elected, some seconds
// late. A successor must not count jobs again that the stored forecast of its predecessor includes.
func TestJobsFoundAtStartCountAsArrivals(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.cloud.capacity = 1
	acceptedAt := time.Unix(1_000_000, 0).UnixMilli()
	for i := range 30 {
		job := jobSpec(fmt.Sprintf("j-%d", i), 10)
		sim.store.putValue(storage.JobKey(job.ID), storage.JobRecord{Spec: job, AcceptedAtMillis: acceptedAt})
	}
	first := sim.waitForLeader()
	if recorded := first.leader.autoscaler.Forecast.JobsSeen(); math.Abs(recorded-30) > 1 {
		t.Fatalf("arrivals counted for 30 stored jobs: got %v, want 29 to 31", recorded)
	}
	sim.advance(2*first.workerLease() + 2*time.Second) // until the forecast is stored
	if _, stored := sim.store.keys[storage.ArrivalForecastKey]; !stored {
		t.Fatal("no arrival forecast is stored after two worker leases")
	}
	recorded := first.leader.autoscaler.Forecast.JobsSeen()
	for i := range 5 {
		sim.submit(first.name, jobSpec(fmt.Sprintf("j-late%d", i), 10))
	}
	sim.crashNode(first.name)
	second := sim.waitForLeader()
	if got := second.leader.autoscaler.Forecast.JobsSeen(); got < recorded+3 || got > recorded+5 {
		t.Errorf("arrivals known to the second leader: got %v, want %v to %v", got, recorded+3, recorded+5)
	}
}

// A rental request that the cloud executes late adds a machine that no leader expects. The leader must
// use that machine or return it to the cloud, or it would be paid for without use.
func TestUnknownMachineIsUsedOrReturned(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.waitForLeader()
	worker := sim.cloud.rentMachine("c4", "a", false)
	if !sim.advanceUntil(3*time.Minute, func() bool { return sim.cloud.hosts[worker.name] == nil }) {
		t.Fatal("an idle machine of unknown origin was not returned to the cloud within 3 minutes")
	}
}

// While the cloud has no capacity, rentals are retried all the time and could use up the rate limit
// of cloud calls. Returns of machines must take precedence: until an unreachable machine is reconciled,
// here by its return to the cloud, all jobs from before the new leader's term are blocked.
func TestReturnsPrecedeRentals(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.cfg.Cloud.RequestsPerS = 0.4
	sim.taskDuration = func(string, int) time.Duration { return 8 * time.Second }
	for _, name := range sim.names {
		sim.startNode(name)
	}
	leaderNode := sim.waitForLeader()
	sim.startMachines(12)
	sim.cloud.capacity = 1
	job := jobSpec("j-1", 400)
	sim.submitAndStart(leaderNode.name, job, 48)
	sim.crashNode(leaderNode.name)
	sim.workers["m-000003"].unreachable = true
	sim.workers["m-000003"].hung = true
	next := sim.waitForLeader()
	electedAt := sim.now
	if !sim.advanceUntil(time.Minute, next.leader.AllReconciled) {
		t.Fatal("not all machines were reconciled within a minute")
	}
	if elapsed := sim.now - electedAt; elapsed > 8*time.Second {
		t.Fatalf("time until all machines were reconciled: got %v, want at most 8s", elapsed)
	}
}

// The cloud may send machine lists that are empty, repeat machines or contradict themselves. Because of
// such a list, the leader must neither return a machine that sends heartbeats nor request pages without
// end.
func TestMalformedMachineLists(t *testing.T) {
	host := func(name string, state protocol.HostState) protocol.Host {
		return protocol.Host{Name: name, Type: "c4", Zone: "a", Spot: true, State: state, RentedSeconds: 500}
	}
	for name, list := range map[string]protocol.HostPage{
		"empty":                {},
		"empty but truncated":  {Truncated: true},
		"same page repeatedly": {Machines: []protocol.Host{host("m-000001", "running")}, Truncated: true},
		"not sorted": {Machines: []protocol.Host{host("m-000009", "running"),
			host("m-000002", "running")}},
		"all failed":     {Machines: []protocol.Host{host("m-000001", "failed"), host("m-000002", "failed")}},
		"without name":   {Machines: []protocol.Host{host("", "running")}},
		"unknown states": {Machines: []protocol.Host{host("m-000001", "?"), host("m-000002", "")}},
		"extreme rental times": {Machines: []protocol.Host{{Name: "m-000001", State: "running",
			RentedSeconds: 1e300}, {Name: "m-000003", State: "running", RentedSeconds: -1e300}}},
	} {
		t.Run(name, func(t *testing.T) {
			sim, leaderNode := newRunningSimulation(t, 1, 2*time.Minute, 2, 8)
			pages := 0
			sim.interceptCall = func(call ServiceCall) (CallResult, bool) {
				if !strings.HasPrefix(call.Path, "/hosts?") {
					return CallResult{}, false
				}
				pages++
				return CallResult{Status: 200, Body: storage.Encode(list)}, true
			}
			sim.advance(90 * time.Second)
			if pages > 60 {
				t.Errorf("machine list pages requested in 90 s: got %d, want at most 60", pages)
			}
			if leaderNode.leader == nil || sim.leaderName() != leaderNode.name {
				t.Fatal("the leader has stepped down")
			}
			sim.waitForJobState("j-1", protocol.JobDone, 2*time.Minute)
			sim.checkStartedOnce()
			for name := range leaderNode.leader.Machines {
				if name == "" {
					t.Error("the leader has a machine without a name")
				}
			}
		})
	}
}

// The cloud may answer a rental with machines that are known or already returned, with none, or with
// more than requested. That must neither corrupt the leader's accounting nor block later rentals.
func TestMalformedRentalResponses(t *testing.T) {
	for name, machines := range map[string][]string{
		"known machines":           {"m-000001", "m-000002"},
		"without name":             {"", "m-000101"},
		"none":                     {},
		"far too many":             machineNames(400),
		"same machine three times": {"m-000102", "m-000102", "m-000102"},
		"returned machine":         {"m-000050"},
	} {
		t.Run(name, func(t *testing.T) {
			sim, leaderNode := newRunningSimulation(t, 1, 30*time.Second, 2, 8)
			leaderNode.leader.RemovedMachines["m-000050"] = sim.now
			sim.alterResult = func(_ string, call ServiceCall, r CallResult) CallResult {
				if call.Path == "/hosts" && r.Status == 200 {
					return CallResult{ID: r.ID, Status: 200,
						Body: storage.Encode(protocol.MachineNames{Machines: machines})}
				}
				return r
			}
			sim.submit(leaderNode.name, jobSpec("j-2", 40))
			sim.advance(30 * time.Second)
			sim.alterResult = nil
			sim.waitForJobState("j-2", protocol.JobDone, 5*time.Minute)
			sim.checkStartedOnce()
		})
	}
}
