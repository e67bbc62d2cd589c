package controller

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/json"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// responseFaults are faults of responses that a service, or a proxy in front of it, may cause. The
// call itself was executed. The length of a name is part of the seed of its test case.
var responseFaults = map[string]func(r CallResult) CallResult{
	"truncated":         func(r CallResult) CallResult { r.Body = r.Body[:len(r.Body)/2]; return r },
	"a proxy HTML page": func(r CallResult) CallResult { r.Body = []byte("<html>ok</html>"); return r },
	"no body":           func(r CallResult) CallResult { r.Body = nil; return r },
	"an empty object":   func(r CallResult) CallResult { r.Body = []byte("{}"); return r },
	"null":              func(r CallResult) CallResult { r.Body = []byte("null"); return r },
	"a list":            func(r CallResult) CallResult { r.Body = []byte("[1,2]"); return r },
	"wrong types":       func(r CallResult) CallResult { return numbersAsStrings(r) },
	"a redirect":        func(r CallResult) CallResult { return CallResult{ID: r.ID, Status: 302} },
	"not found": func(r CallResult) CallResult {
		return CallResult{ID: r.ID, Status: 404, Body: []byte("<html>404</html>")}
	},
	"forbidden":     func(r CallResult) CallResult { return CallResult{ID: r.ID, Status: 403} },
	"a conflict":    func(r CallResult) CallResult { return CallResult{ID: r.ID, Status: 409} },
	"an odd status": func(r CallResult) CallResult { return CallResult{ID: r.ID, Status: 207, Body: r.Body} },
	"internal error 500": func(r CallResult) CallResult {
		return CallResult{ID: r.ID, Status: 500,
			Body: []byte("oops")}
	},
	"request rate limited": func(r CallResult) CallResult {
		return CallResult{ID: r.ID, Status: 429}
	},
}

// numbersAsStrings replaces each number at the top level of a response by a string.
func numbersAsStrings(r CallResult) CallResult {
	var fields map[string]any
	if json.Unmarshal(r.Body, &fields) != nil {
		return r
	}
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		if _, number := fields[name].(float64); number {
			fields[name] = "7"
		}
	}
	r.Body = storage.Encode(fields)
	return r
}

// The key-value store or the cloud returns invalid responses for half a minute, sometimes or always,
// to the leader or to all nodes. No invariant may be violated, no user may get a false reply, no node
// may retry faster than the request rate allows, and every node recovers by itself: all jobs complete
// once the responses are valid again.
func TestInvalidServiceResponses(t *testing.T) {
	for fault, alter := range responseFaults {
		for _, target := range []Target{TargetStore, TargetCloud} {
			for i, share := range []float64{0.1, 0.3, 0.6, 1} {
				t.Run(fmt.Sprintf("%v/%s/%v", target, fault, share), func(t *testing.T) {
					t.Parallel()
					c := newUserSimulation(newSimulationWithTimings(t, 3, deployments[i]), uint64(i)+uint64(len(fault)))
					c.taskDuration = func(string, int) time.Duration { return time.Second + c.randomDuration(20*time.Second) }
					c.driftClocks()
					c.waitForLeader()
					c.startMachines(3)
					c.queryAfterEachChange()
					c.submitMoreJobs(6, 5*time.Second, nil)
					c.advance(5 * time.Second)
					onlyNode := ""
					if share == 0.6 {
						onlyNode = c.leaderName()
					}
					c.alterServiceResults(target, onlyNode, share, alter)
					c.submitMoreJobs(8, 25*time.Second, nil)
					for range 4 {
						c.schedule(c.randomDuration(25*time.Second), func() { c.cancelSomeJobs(4, time.Second) })
					}
					for range 3 {
						c.schedule(c.randomDuration(25*time.Second), c.replaceLeader)
					}
					calls := c.countStoreCalls()
					c.advance(30 * time.Second)
					if limit := int(30 * c.cfg.Store.RequestsPerS); calls() > limit {
						t.Errorf("%d calls to the store in 30 s, want at most %d (%v per second)", calls(), limit,
							c.cfg.Store.RequestsPerS)
					}
					c.alterResult = nil
					c.waitForCompletion(5 * time.Minute)
				})
			}
		}
	}
}

// alterServiceResults alters a random share of the responses of a service to onlyNode, or to all nodes
// if onlyNode is empty.
func (c *userSimulation) alterServiceResults(target Target, onlyNode string, share float64,
	alter func(CallResult) CallResult) {
	c.alterResult = func(node string, call ServiceCall, r CallResult) CallResult {
		if call.Target != target || c.rng.Float64() > share || (onlyNode != "" && node != onlyNode) {
			return r
		}
		return alter(r)
	}
}

// countStoreCalls counts the calls to the key-value store that get a response from now on, and returns
// a function that returns the count. It must be called after alterServiceResults.
func (c *userSimulation) countStoreCalls() func() int {
	calls := 0
	inner := c.alterResult
	c.alterResult = func(node string, call ServiceCall, r CallResult) CallResult {
		if call.Target == TargetStore {
			calls++
		}
		return inner(node, call, r)
	}
	return func() int { return calls }
}

// A watch that always returns at once, without a new event, with 410 or with another failure, is
// repeated after a growing delay. Without the delay a leader repeated it as fast as responses arrived.
// Jobs that other nodes write must be found nevertheless.
func TestWatchReturningAtOnceIsBackedOff(t *testing.T) {
	for name, answer := range map[string]CallResult{
		"empty":      {Status: 200, Body: storage.Encode(storage.WatchResponse{Revision: 1})},
		"gone":       {Status: 410},
		"timeout":    {Status: 0},
		"unreadable": {Status: 200, Body: []byte("{")},
		"old events": {Status: 200, Body: storage.Encode(storage.WatchResponse{Revision: 1,
			Events: []storage.WatchEvent{{DeletedKey: "job/j-9", ModRevision: 1}}})},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 3)
			leaderNode := sim.waitForLeader()
			sim.startMachines(1)
			watches, listings := 0, 0
			sim.interceptCall = func(call ServiceCall) (CallResult, bool) {
				switch {
				case strings.HasPrefix(call.Path, "/follow"):
					watches++
					return answer, true
				case strings.HasPrefix(call.Path, "/store?under=job"):
					listings++
				}
				return CallResult{}, false
			}
			sim.advance(time.Minute)
			if limit := 60; watches > limit || listings > limit {
				t.Errorf("%d watches and %d listings in a minute, want at most %d of each", watches, listings, limit)
			}
			if name == "empty" || name == "old events" {
				// Such a response may mean that nothing has changed. Only by its own lease can the leader tell
				// whether the store still works, so it need not find the job.
				return
			}
			sim.submit(sim.followers()[0], jobSpec("j-1", 1))
			if !sim.advanceUntil(20*time.Second,
				func() bool { return leaderNode.leader.Jobs["j-1"] != nil || sim.terminalState("j-1") != "" }) {
				t.Error("the leader has not found j-1, which another node wrote, after 20 s")
			}
		})
	}
}

// The cloud's catalog may be wrong in every way that JSON allows: machine types that are missing or
// listed twice, prices, sizes and times that are zero, negative or absurdly large. No invariant may be
// violated, no job that fits may be rejected permanently, and all jobs complete once the catalog is
// valid again.
func TestInvalidCatalogs(t *testing.T) {
	c4 := protocol.MachineType{Name: "c4", Cores: 4, MemoryGB: 16, ImageCacheGB: 40, PullGBPerSecond: 1,
		OnDemandPrice: 0.3, SpotPrice: 0.1, BootSeconds: 5, Zones: []string{"a", "b"}}
	withChange := func(change func(*protocol.MachineType)) []protocol.MachineType {
		t := c4
		change(&t)
		return []protocol.MachineType{t}
	}
	catalogs := map[string][]protocol.MachineType{
		"a type is free":           withChange(func(t *protocol.MachineType) { t.OnDemandPrice, t.SpotPrice = 0, 0 }),
		"prices times a thousand":  withChange(func(t *protocol.MachineType) { t.OnDemandPrice, t.SpotPrice = 300, 100 }),
		"negative prices":          withChange(func(t *protocol.MachineType) { t.OnDemandPrice, t.SpotPrice = -3, -1 }),
		"zero rate of image pulls": withChange(func(t *protocol.MachineType) { t.PullGBPerSecond = 0 }),
		"no cores":                 withChange(func(t *protocol.MachineType) { t.Cores = 0 }),
		"another type only":        withChange(func(t *protocol.MachineType) { t.Name = "x9" }),
		"the same type twice":      {c4, c4},
		"boot time of 100 years":   withChange(func(t *protocol.MachineType) { t.BootSeconds = 3e9 }),
		"amounts of 1e300": withChange(func(t *protocol.MachineType) {
			t.BootSeconds, t.ImageCacheGB,
				t.OnDemandPrice = 1e300, 1e300, 1e300
		}),
	}
	for name, types := range catalogs {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newUserSimulation(newSimulation(t, 3), 3)
			c.waitForLeader()
			c.startMachines(2)
			c.submitMoreJobs(4, 5*time.Second, nil)
			c.advance(5 * time.Second)
			c.cloud.machineTypes = types
			for _, node := range c.names { // all nodes read the catalog again
				c.nodes[node].catalog.RequestedAt = clock.Never
			}
			c.submitMoreJobs(4, 5*time.Second, nil)
			c.advance(20 * time.Second)
			if r := c.submit(c.leaderName(), jobSpec("j-once", 1)); r.Status == 422 &&
				name != "another type only" && name != "no cores" {
				t.Errorf("submission of a job that fits: got status %d, want no permanent rejection (422)", r.Status)
			}
			c.cloud.machineTypes = nil
			for _, node := range c.names {
				c.nodes[node].catalog.RequestedAt = clock.Never
			}
			c.waitForCompletion(5 * time.Minute)
		})
	}
}

// machineNames returns the given number of machine names, from m-001000 on, which no other machine has.
func machineNames(count int) []string {
	var names []string
	for i := range count {
		names = append(names, fmt.Sprintf("m-%06d", 1000+i))
	}
	return names
}

// Two workers send heartbeats with one machine name. The first one keeps the name and its tasks,
// because the newer epoch of the other does not mean that these tasks have ended. Once the lease of the
// first has certainly expired, the name is free for the other.
func TestTwoWorkersUnderOneName(t *testing.T) {
	sim, leaderNode := newRunningSimulation(t, 1, 2*time.Minute, 1, 4)
	worker := sim.sortedWorkers()[0]
	sendFromOther := func(epoch, sequence uint64) int {
		heartbeat := &protocol.WorkerHeartbeat{Machine: worker.name, Address: "10.9.9.9:9000", Type: "c4",
			Zone: worker.zone, Spot: true,
			Epoch: epoch, Sequence: sequence, FencingToken: worker.fencingToken}
		return sim.requestAndWait(leaderNode.name,
			Request{Kind: protocol.RequestHeartbeat, Heartbeat: heartbeat}).Status
	}
	for i := range uint64(20) {
		if status := sendFromOther(1+i/4, 1000+i); status != 503 {
			t.Fatalf("heartbeat %d of the other worker: got status %d, want 503", i, status)
		}
		sim.advance(2 * time.Second)
	}
	sim.checkStartedOnce()
	delete(sim.workers, worker.name)
	sim.advance(leaderNode.leader.WorkerLeaseTimeout() + time.Second)
	if machine := leaderNode.leader.Machines[worker.name]; machine != nil && machine.Address != "" {
		t.Errorf("the machine name still belongs to the address %s after the worker lease", machine.Address)
	}
}

// A third of the heartbeats contain values that JSON allows but that make no sense. Tasks that nobody
// started are stopped, unknown task states change nothing, durations are bounded, and all jobs complete
// once the heartbeats are valid again. The length of a case's name is its seed.
func TestInvalidHeartbeats(t *testing.T) {
	pointerToSeconds := func(s float64) *float64 { return &s }
	for name, corrupt := range map[string]func(heartbeat *protocol.WorkerHeartbeat){
		"an unknown state": func(heartbeat *protocol.WorkerHeartbeat) {
			for i := range heartbeat.Tasks {
				heartbeat.Tasks[i].State = "sleeping"
			}
		},
		"an unknown reason": func(heartbeat *protocol.WorkerHeartbeat) {
			for i := range heartbeat.Tasks {
				if heartbeat.Tasks[i].State == protocol.TaskExited &&
					heartbeat.Tasks[i].ExitReason != protocol.ExitDone {
					heartbeat.Tasks[i].ExitReason = "bored"
				}
			}
		},
		"tasks that nobody started": func(heartbeat *protocol.WorkerHeartbeat) {
			heartbeat.Tasks = append(heartbeat.Tasks,
				protocol.TaskStatus{TaskID: "j-nobodys/0", Attempt: 1, State: protocol.TaskRunning},
				protocol.TaskStatus{TaskID: "j-1/99999", Attempt: 1, State: protocol.TaskRunning},
				protocol.TaskStatus{TaskID: "j-1/-1", Attempt: 1, State: protocol.TaskRunning},
				protocol.TaskStatus{TaskID: "", Attempt: 1, State: ""},
				protocol.TaskStatus{TaskID: "j-1/0", Attempt: 1 << 63, State: protocol.TaskExited,
					ExitReason: protocol.ExitFailed})
		},
		"each task twice": func(heartbeat *protocol.WorkerHeartbeat) {
			heartbeat.Tasks = append(heartbeat.Tasks, heartbeat.Tasks...)
		},
		"a notice long ago": func(heartbeat *protocol.WorkerHeartbeat) {
			heartbeat.PreemptionNoticeSeconds = pointerToSeconds(-1e300)
		},
		"a notice of years": func(heartbeat *protocol.WorkerHeartbeat) {
			heartbeat.PreemptionNoticeSeconds = pointerToSeconds(1e300)
		},
		"another type": func(heartbeat *protocol.WorkerHeartbeat) {
			heartbeat.Type, heartbeat.Zone = "x9", "nowhere"
		},
		"no type": func(heartbeat *protocol.WorkerHeartbeat) {
			heartbeat.Type, heartbeat.Zone, heartbeat.Address = "", "", ""
		},
		"a higher sequence": func(heartbeat *protocol.WorkerHeartbeat) { heartbeat.Sequence += 1 << 62 },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newUserSimulation(newSimulation(t, 3), uint64(len(name)))
			c.taskDuration = func(string, int) time.Duration { return time.Second + c.randomDuration(15*time.Second) }
			c.waitForLeader()
			c.startMachines(3)
			faultsActive := true
			c.onHeartbeat = func(_ *fakeWorker, heartbeat *protocol.WorkerHeartbeat) {
				if faultsActive && c.rng.IntN(3) == 0 {
					corrupt(heartbeat)
				}
			}
			c.submitMoreJobs(8, 15*time.Second, nil)
			c.schedule(c.randomDuration(15*time.Second), c.replaceLeader)
			c.advance(30 * time.Second)
			faultsActive = false
			c.waitForCompletion(5 * time.Minute)
		})
	}
}

// The wall clocks of the nodes differ by up to twelve minutes. No decision may depend on which one is ahead:
// the invariants hold when the leader changes in either direction, and every job starts in time and
// completes.
func TestWallClocksMinutesApart(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			c := newUserSimulation(newSimulationWithTimings(t, 3, deployments[seed]), seed)
			c.wallClockOffsets = map[string]time.Duration{"n0": 5 * time.Minute, "n2": -7 * time.Minute}
			for _, name := range c.names {
				c.startNode(name)
			}
			c.taskDuration = func(string, int) time.Duration { return time.Second + c.randomDuration(20*time.Second) }
			c.waitForLeader()
			c.startMachines(4)
			c.queryAfterEachChange()
			c.submitMoreJobs(20, 60*time.Second, nil)
			for i := range 4 {
				c.schedule(time.Duration(i)*15*time.Second+c.randomDuration(10*time.Second), c.replaceLeader)
				c.schedule(time.Duration(i)*15*time.Second+c.randomDuration(10*time.Second),
					func() { c.cancelSomeJobs(5, time.Second) })
			}
			c.advance(70 * time.Second)
			c.waitForCompletion(5 * time.Minute)
		})
	}
}

// While no zone has capacity, rentals are retried at a bounded rate and work continues on the machines
// that are up. The other jobs run once there is capacity.
func TestNoCapacityAnywhere(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.taskDuration = func(string, int) time.Duration { return 20 * time.Second }
	sim.waitForLeader()
	sim.startMachines(2)
	sim.cloud.capacity = 2
	c := newUserSimulation(sim, 1)
	c.submitMoreJobs(10, 5*time.Second, func(_ int, job *protocol.Job) { job.TaskCount, job.Team = 8, "free" })
	sim.advance(10 * time.Second)
	rentalRequests := 0
	sim.alterResult = func(_ string, call ServiceCall, r CallResult) CallResult {
		if call.Path == "/hosts" {
			rentalRequests++
		}
		return r
	}
	sim.advance(time.Minute)
	if limit := int(60 * sim.cfg.Cloud.RequestsPerS / 4); rentalRequests > limit {
		t.Errorf("%d rental requests in a minute, want at most %d", rentalRequests, limit)
	}
	sim.cloud.capacity = 0
	sim.cloud.bootTime = 5 * time.Second
	c.waitForCompletion(5 * time.Minute)
}
