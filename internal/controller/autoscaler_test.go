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

// A machine that never comes up is given back, and another takes its place.
func TestMachineThatNeverBoots(t *testing.T) {
	w := newSimulation(t, 1)
	l := w.waitForLeader()
	w.cloud.bootTime = time.Hour
	w.submit(l.name, jobSpec("j-1", 1))
	if !w.advanceUntil(30*time.Second, func() bool { return len(w.cloud.hosts) > 0 }) {
		t.Fatal("nothing rented")
	}
	w.cloud.bootTime = 0
	w.waitForJobState("j-1", protocol.JobDone, 3*time.Minute)
	if _, kept := w.cloud.hosts["m-000001"]; kept {
		t.Fatal("a machine that never came up was kept")
	}
}

// Work that may wait to start is due late, and the plan leaves room for the work that
// usually comes and is due before it. What is known of that outlives the leader: it
// was once learnt anew after each takeover, while machines were let go.
func TestForecastSurvivesLeaderChange(t *testing.T) {
	w := newSimulation(t, 3)
	w.cfg.Objectives = []config.Objective{
		{Kind: "finished", Class: "quick", WithinS: 60, MinShare: 0.9},
		{Kind: "wait", Class: "patient", WithinS: 200, MinShare: 0.9},
	}
	for _, name := range w.names {
		w.startNode(name)
	}
	l := w.waitForLeader()
	w.startMachines(2)
	for i := range 60 {
		j := jobSpec(fmt.Sprintf("j-%d", i), 4)
		if j.Class = "quick"; i%10 == 0 {
			j.Class = "patient"
		}
		w.submit(l.name, j)
		w.advance(time.Second)
	}
	last := jobSpec("j-60", 1)
	last.Class = "patient"
	w.submit(l.name, last)
	j := l.leader.Jobs["j-60"]
	if got, want := l.leader.Due(j)-j.EligibleAt, 200*time.Second+l.leader.ExpectedTaskDuration(j); got != want {
		t.Errorf("due after %v, not %v", got, want)
	}
	before := l.leader.autoscaler.Forecast.ExpectedWork(200)
	if before <= 0 || l.leader.autoscaler.Forecast.ExpectedWork(50) != 0 {
		t.Fatalf("to come within 200 s: %v, within 50 s: %v", before, l.leader.autoscaler.Forecast.ExpectedWork(50))
	}
	w.crashNode(l.name)
	w.advance(time.Second)
	next := w.waitForLeader()
	if after := next.leader.autoscaler.Forecast.ExpectedWork(200); after < before/2 || after > before*1.1 {
		t.Fatalf("to come within 200 s: %v, after the takeover %v", before, after)
	}
}

// Users name the classes; however many and long their names, what is stored of the
// arrivals fits a value, as a refused transaction would end the leadership.
func TestManyClassesFitTheRecord(t *testing.T) {
	w := newSimulation(t, 1)
	l := w.waitForLeader()
	w.startMachines(1)
	for i := range 300 {
		j := jobSpec(fmt.Sprintf("j-%d", i), 1)
		j.Class = strings.Repeat("x", 100) + fmt.Sprint(i)
		w.submit(l.name, j)
	}
	term := l.leader.term
	w.advance(35 * time.Second) // the state service refuses values over the limit
	if it, ok := w.store.keys[storage.ArrivalForecastKey]; !ok || len(it.Value) < 1000 {
		t.Error("nothing is stored")
	}
	if l.leader == nil || l.leader.term != term {
		t.Error("the leader has stepped down")
	}
}

// The sums behind the forecast decay over minutes. Once far more jobs in a row stay away
// than luck explains, no machines are held for them; but silence while nothing could be
// written, or for the time that users need to come back, says nothing.
func TestForecastDropsWhenJobsStayAway(t *testing.T) {
	w := newSimulation(t, 3)
	w.cloud.capacity = 1
	l := w.waitForLeader()
	lease := l.workerLease()
	for i := range 120 { // one a second
		w.submit(l.name, jobSpec(fmt.Sprintf("j-%d", i), 1))
		w.advance(time.Second - 2*step)
	}
	f := l.leader.autoscaler.Forecast
	f.Decay()
	steady, coming := f.UsualLoad(), f.ExpectedWork(100)
	if f.Confidence() != 1 || steady == 0 || coming == 0 {
		t.Fatalf("jobs arrive: believed %v, usual %v, coming %v", f.Confidence(), steady, coming)
	}
	w.store.setDown(true)
	w.advance(2 * lease)
	if f.Decay(); f.Confidence() != 1 {
		t.Error("silence in an outage counts")
	}
	w.store.setDown(false)
	w.advance(lease)
	if f.Decay(); f.Confidence() != 1 {
		t.Error("users have had no time to come back")
	}
	w.advance(lease)
	if f.Decay(); f.Confidence() > 0.4 || f.ExpectedWork(100) > coming/3 {
		t.Errorf("two leases without a job: believed %v, coming %v of %v", f.Confidence(), f.ExpectedWork(100), coming)
	}
	w.submit(l.name, jobSpec("j-999", 1))
	if f.Confidence() != 1 {
		t.Error("not believed again with the next job")
	}
}

// What the first leader finds has arrived: on a day that begins with hundreds of jobs,
// machines were rented for far less when it came some seconds late. A successor counts
// only what came since its predecessor's record.
func TestJobsFoundHaveArrived(t *testing.T) {
	w := newSimulation(t, 3)
	w.cloud.capacity = 1
	at := time.Unix(1_000_000, 0).UnixMilli()
	for i := range 30 {
		s := jobSpec(fmt.Sprintf("j-%d", i), 10)
		w.store.putValue(storage.JobKey(s.ID), storage.JobRecord{Spec: s, AcceptedAtMillis: at})
	}
	first := w.waitForLeader()
	if seen := first.leader.autoscaler.Forecast.JobsSeen(); math.Abs(seen-30) > 1 {
		t.Fatalf("of 30 jobs found, %v have arrived", seen)
	}
	w.advance(2*first.workerLease() + 2*time.Second) // until that is stored
	if _, stored := w.store.keys[storage.ArrivalForecastKey]; !stored {
		t.Fatal("nothing is stored")
	}
	seen := first.leader.autoscaler.Forecast.JobsSeen()
	for i := range 5 {
		w.submit(first.name, jobSpec(fmt.Sprintf("j-late%d", i), 10))
	}
	w.crashNode(first.name)
	second := w.waitForLeader()
	if got := second.leader.autoscaler.Forecast.JobsSeen(); got < seen+3 || got > seen+5 {
		t.Errorf("%v jobs seen by a leader, 5 since its record, %v by the next", seen, got)
	}
}

// Machines that nobody asked for, after a late rental request, are returned.
func TestUnknownMachineIsUsedOrReturned(t *testing.T) {
	w := newSimulation(t, 3)
	w.waitForLeader()
	x := w.cloud.rentMachine("c4", "a", false)
	if !w.advanceUntil(3*time.Minute, func() bool { return w.cloud.hosts[x.name] == nil }) {
		t.Fatal("an unknown machine was kept")
	}
}

// Where there is no capacity, rentals are asked for all the time. They must not take
// the cloud calls from returns: a quiet machine that a takeover waits for holds up
// all older jobs until it is returned.
func TestReturnsGoBeforeRentals(t *testing.T) {
	w := newSimulation(t, 3)
	w.cfg.Cloud.RequestsPerS = 0.4
	w.taskDuration = func(string, int) time.Duration { return 8 * time.Second }
	for _, name := range w.names {
		w.startNode(name)
	}
	l := w.waitForLeader()
	w.startMachines(12)
	w.cloud.capacity = 1
	j := jobSpec("j-1", 400)
	w.submitAndStart(l.name, j, 48)
	w.crashNode(l.name)
	w.workers["m-000003"].unreachable = true
	w.workers["m-000003"].hung = true
	next := w.waitForLeader()
	led := w.now
	if !w.advanceUntil(time.Minute, next.leader.AllReconciled) {
		t.Fatal("not accounted for")
	}
	if took := w.now - led; took > 8*time.Second {
		t.Fatalf("accounted for after %v, about a lease", took)
	}
}

// Machine lists that are empty, that repeat or contradict themselves return no machine that
// reports, and are not read without end.
func TestOddMachineLists(t *testing.T) {
	host := func(name string, state protocol.HostState) protocol.Host {
		return protocol.Host{Name: name, Type: "c4", Zone: "a", Spot: true, State: state, RentedSeconds: 500}
	}
	for name, list := range map[string]protocol.HostPage{
		"empty":                    {},
		"empty, and more to come":  {Truncated: true},
		"the same page for ever":   {Machines: []protocol.Host{host("m-000001", "running")}, Truncated: true},
		"in no order":              {Machines: []protocol.Host{host("m-000009", "running"), host("m-000002", "running")}},
		"all have failed":          {Machines: []protocol.Host{host("m-000001", "failed"), host("m-000002", "failed")}},
		"nameless":                 {Machines: []protocol.Host{host("", "running")}},
		"unknown states":           {Machines: []protocol.Host{host("m-000001", "?"), host("m-000002", "")}},
		"held since the beginning": {Machines: []protocol.Host{{Name: "m-000001", State: "running", RentedSeconds: 1e300}, {Name: "m-000003", State: "running", RentedSeconds: -1e300}}},
	} {
		t.Run(name, func(t *testing.T) {
			w, l := newRunningSimulation(t, 1, 2*time.Minute, 2, 8)
			lists := 0
			w.interceptCall = func(call ServiceCall) (CallResult, bool) {
				if !strings.HasPrefix(call.Path, "/hosts?") {
					return CallResult{}, false
				}
				lists++
				return CallResult{Status: 200, Body: storage.Encode(list)}, true
			}
			w.advance(90 * time.Second)
			if lists > 60 {
				t.Errorf("%d pages were read in 90 s", lists)
			}
			if l.leader == nil || w.leaderName() != l.name {
				t.Fatal("the leader is gone")
			}
			w.waitForJobState("j-1", protocol.JobDone, 2*time.Minute)
			w.checkStartedOnce()
			for name := range l.leader.Machines {
				if name == "" {
					t.Error("a machine without a name is held")
				}
			}
		})
	}
}

// Rentals that are answered with machines known already, returned already, without names or
// with more than was asked for neither confuse the books nor stop the next ones.
func TestOddRentals(t *testing.T) {
	for name, machines := range map[string][]string{
		"known ones":       {"m-000001", "m-000002"},
		"nameless":         {"", "m-000101"},
		"none":             {},
		"far too many":     manyNames(400),
		"the same thrice":  {"m-000102", "m-000102", "m-000102"},
		"one that is gone": {"m-000050"},
	} {
		t.Run(name, func(t *testing.T) {
			w, l := newRunningSimulation(t, 1, 30*time.Second, 2, 8)
			l.leader.RemovedMachines["m-000050"] = w.now
			w.alterResult = func(_ string, call ServiceCall, r CallResult) CallResult {
				if call.Path == "/hosts" && r.Status == 200 {
					return CallResult{ID: r.ID, Status: 200, Body: storage.Encode(protocol.MachineNames{Machines: machines})}
				}
				return r
			}
			w.submit(l.name, jobSpec("j-2", 40))
			w.advance(30 * time.Second)
			w.alterResult = nil
			w.waitForJobState("j-2", protocol.JobDone, 5*time.Minute)
			w.checkStartedOnce()
		})
	}
}
