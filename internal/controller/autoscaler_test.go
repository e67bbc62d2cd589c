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

// requiredCores returns the cores that the open jobs of a leader require, given that heldCores are
// held.
func requiredCores(l *leader, heldCores float64) float64 {
	demand := l.autoscaler.Demand()
	return demand.RequiredCores(heldCores)
}

// A machine that never boots is returned, and another one is rented in its place.
func TestMachineThatNeverBoots(t *testing.T) {
	sim := newSimulation(t, 1)
	leaderNode := sim.waitForLeader()
	sim.cloud.bootTime = time.Hour
	sim.submit(leaderNode.name, jobSpec("j-1", 1))
	if !sim.advanceUntil(30*time.Second, func() bool { return len(sim.cloud.hosts) > 0 }) {
		t.Fatal("nothing rented")
	}
	sim.cloud.bootTime = 0
	sim.waitForJobState("j-1", protocol.JobDone, 3*time.Minute)
	if _, kept := sim.cloud.hosts["m-000001"]; kept {
		t.Fatal("a machine that never came up was kept")
	}
}

// Work that may wait before it starts is due late, and the plan reserves capacity for work that
// usually arrives meanwhile and is due earlier. The forecast behind that survives a change of
// leader: without the record each new leader learnt it again, and machines were returned meanwhile.
func TestForecastSurvivesLeaderChange(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.cfg.Objectives = []config.Objective{
		{Kind: "finished", Class: "quick", WithinS: 60, MinShare: 0.9},
		{Kind: "wait", Class: "patient", WithinS: 200, MinShare: 0.9},
	}
	for _, name := range sim.names {
		sim.startNode(name)
	}
	leaderNode := sim.waitForLeader()
	sim.startMachines(2)
	for i := range 60 {
		job := jobSpec(fmt.Sprintf("j-%d", i), 4)
		if job.Class = "quick"; i%10 == 0 {
			job.Class = "patient"
		}
		sim.submit(leaderNode.name, job)
		sim.advance(time.Second)
	}
	last := jobSpec("j-60", 1)
	last.Class = "patient"
	sim.submit(leaderNode.name, last)
	job := leaderNode.leader.Jobs["j-60"]
	if got, want := leaderNode.leader.Due(job)-job.EligibleAt, 200*time.Second+leaderNode.leader.ExpectedTaskDuration(job); got != want {
		t.Errorf("due after %v, not %v", got, want)
	}
	before := leaderNode.leader.autoscaler.Forecast.ExpectedWork(200)
	if before <= 0 || leaderNode.leader.autoscaler.Forecast.ExpectedWork(50) != 0 {
		t.Fatalf("to come within 200 s: %v, within 50 s: %v", before,
			leaderNode.leader.autoscaler.Forecast.ExpectedWork(50))
	}
	sim.crashNode(leaderNode.name)
	sim.advance(time.Second)
	next := sim.waitForLeader()
	if after := next.leader.autoscaler.Forecast.ExpectedWork(200); after < before/2 || after > before*1.1 {
		t.Fatalf("to come within 200 s: %v, after the takeover %v", before, after)
	}
}

// Users choose the class names. However many and however long they are, the stored forecast stays
// within the value limit, because a transaction that the store rejects would end the leadership.
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
	sim.advance(35 * time.Second) // the store rejects values over the limit
	if it, ok := sim.store.keys[storage.ArrivalForecastKey]; !ok || len(it.Value) < 1000 {
		t.Error("nothing is stored")
	}
	if leaderNode.leader == nil || leaderNode.leader.term != term {
		t.Error("the leader has stepped down")
	}
}

// The sums behind the forecast decay over minutes. Once more jobs in a row fail to arrive than
// chance explains, no machines are kept for them. A gap in arrivals while nothing could be written,
// or within the users' retry time, is no evidence.
func TestForecastDropsWhenArrivalsStop(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.cloud.capacity = 1
	leaderNode := sim.waitForLeader()
	lease := leaderNode.workerLease()
	for i := range 120 { // one job a second
		sim.submit(leaderNode.name, jobSpec(fmt.Sprintf("j-%d", i), 1))
		sim.advance(time.Second - 2*step)
	}
	f := leaderNode.leader.autoscaler.Forecast
	f.Decay()
	steady, coming := f.UsualLoad(), f.ExpectedWork(100)
	if f.Confidence() != 1 || steady == 0 || coming == 0 {
		t.Fatalf("jobs arrive: believed %v, usual %v, coming %v", f.Confidence(), steady, coming)
	}
	sim.store.setDown(true)
	sim.advance(2 * lease)
	if f.Decay(); f.Confidence() != 1 {
		t.Error("silence in an outage counts")
	}
	sim.store.setDown(false)
	sim.advance(lease)
	if f.Decay(); f.Confidence() != 1 {
		t.Error("users have had no time to come back")
	}
	sim.advance(lease)
	if f.Decay(); f.Confidence() > 0.4 || f.ExpectedWork(100) > coming/3 {
		t.Errorf("two leases without a job: believed %v, coming %v of %v", f.Confidence(), f.ExpectedWork(100), coming)
	}
	sim.submit(leaderNode.name, jobSpec("j-999", 1))
	if f.Confidence() != 1 {
		t.Error("not believed again with the next job")
	}
}

// Jobs that the first leader finds count as arrivals. When they did not, far too few machines were
// rented on a day that began with hundreds of jobs and a leader elected some seconds late. A
// successor counts only the arrivals after its predecessor's record.
func TestJobsFoundAtStartCountAsArrivals(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.cloud.capacity = 1
	at := time.Unix(1_000_000, 0).UnixMilli()
	for i := range 30 {
		s := jobSpec(fmt.Sprintf("j-%d", i), 10)
		sim.store.putValue(storage.JobKey(s.ID), storage.JobRecord{Spec: s, AcceptedAtMillis: at})
	}
	first := sim.waitForLeader()
	if seen := first.leader.autoscaler.Forecast.JobsSeen(); math.Abs(seen-30) > 1 {
		t.Fatalf("of 30 jobs found, %v have arrived", seen)
	}
	sim.advance(2*first.workerLease() + 2*time.Second) // until the forecast is stored
	if _, stored := sim.store.keys[storage.ArrivalForecastKey]; !stored {
		t.Fatal("nothing is stored")
	}
	seen := first.leader.autoscaler.Forecast.JobsSeen()
	for i := range 5 {
		sim.submit(first.name, jobSpec(fmt.Sprintf("j-late%d", i), 10))
	}
	sim.crashNode(first.name)
	second := sim.waitForLeader()
	if got := second.leader.autoscaler.Forecast.JobsSeen(); got < seen+3 || got > seen+5 {
		t.Errorf("%v jobs seen by a leader, 5 since its record, %v by the next", seen, got)
	}
}

// Machines that nobody requested, by a rental request that was executed late, are used or returned.
func TestUnknownMachineIsUsedOrReturned(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.waitForLeader()
	worker := sim.cloud.rentMachine("c4", "a", false)
	if !sim.advanceUntil(3*time.Minute, func() bool { return sim.cloud.hosts[worker.name] == nil }) {
		t.Fatal("an unknown machine was kept")
	}
}

// Without capacity in the cloud, rentals are retried all the time. They must not use up the cloud
// calls of returns: until an unreachable machine that a new leader has to reconcile is returned,
// all older jobs are held up.
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
	led := sim.now
	if !sim.advanceUntil(time.Minute, next.leader.AllReconciled) {
		t.Fatal("not accounted for")
	}
	if took := sim.now - led; took > 8*time.Second {
		t.Fatalf("accounted for after %v, about a lease", took)
	}
}

// Machine lists that are empty, repeat machines or contradict themselves cause no return of a
// machine that reports, and listing ends.
func TestMalformedMachineLists(t *testing.T) {
	host := func(name string, state protocol.HostState) protocol.Host {
		return protocol.Host{Name: name, Type: "c4", Zone: "a", Spot: true, State: state, RentedSeconds: 500}
	}
	for name, list := range map[string]protocol.HostPage{
		"empty":                   {},
		"empty, and more to come": {Truncated: true},
		"the same page for ever":  {Machines: []protocol.Host{host("m-000001", "running")}, Truncated: true},
		"in no order": {Machines: []protocol.Host{host("m-000009", "running"),
			host("m-000002", "running")}},
		"all have failed": {Machines: []protocol.Host{host("m-000001", "failed"), host("m-000002", "failed")}},
		"nameless":        {Machines: []protocol.Host{host("", "running")}},
		"unknown states":  {Machines: []protocol.Host{host("m-000001", "?"), host("m-000002", "")}},
		"held since the beginning": {Machines: []protocol.Host{{Name: "m-000001", State: "running",
			RentedSeconds: 1e300}, {Name: "m-000003", State: "running", RentedSeconds: -1e300}}},
	} {
		t.Run(name, func(t *testing.T) {
			sim, leaderNode := newRunningSimulation(t, 1, 2*time.Minute, 2, 8)
			lists := 0
			sim.interceptCall = func(call ServiceCall) (CallResult, bool) {
				if !strings.HasPrefix(call.Path, "/hosts?") {
					return CallResult{}, false
				}
				lists++
				return CallResult{Status: 200, Body: storage.Encode(list)}, true
			}
			sim.advance(90 * time.Second)
			if lists > 60 {
				t.Errorf("%d pages were read in 90 s", lists)
			}
			if leaderNode.leader == nil || sim.leaderName() != leaderNode.name {
				t.Fatal("the leader is gone")
			}
			sim.waitForJobState("j-1", protocol.JobDone, 2*time.Minute)
			sim.checkStartedOnce()
			for name := range leaderNode.leader.Machines {
				if name == "" {
					t.Error("a machine without a name is held")
				}
			}
		})
	}
}

// Responses to rentals that name known or returned machines, none, or more than requested neither
// corrupt the accounting nor block later rentals.
func TestMalformedRentalResponses(t *testing.T) {
	for name, machines := range map[string][]string{
		"known ones":       {"m-000001", "m-000002"},
		"nameless":         {"", "m-000101"},
		"none":             {},
		"far too many":     manyNames(400),
		"the same thrice":  {"m-000102", "m-000102", "m-000102"},
		"one that is gone": {"m-000050"},
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
