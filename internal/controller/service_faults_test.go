package controller

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/segmentio/encoding/json"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// responseFaults are what a service, or a proxy before it, may make of a response. The call itself
// was executed.
var responseFaults = map[string]func(r CallResult) CallResult{
	"cut short":         func(r CallResult) CallResult { r.Body = r.Body[:len(r.Body)/2]; return r },
	"a page of a proxy": func(r CallResult) CallResult { r.Body = []byte("<html>ok</html>"); return r },
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
	"an error of a node": func(r CallResult) CallResult {
		return CallResult{ID: r.ID, Status: 500,
			Body: []byte("oops")}
	},
	"refused for the rate": func(r CallResult) CallResult {
		return CallResult{ID: r.ID, Status: 429}
	},
}

// numbersAsStrings replaces each number of a response by a string.
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

// The key-value store or the cloud returns invalid responses for half a minute, to one node or to
// all, sometimes or always: no invariant is violated, no user gets a false reply, the node recovers
// by itself, and all requests are served once the responses are valid again.
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
						t.Errorf("%d calls in 30 s: %v a second are allowed", calls(), c.cfg.Store.RequestsPerS)
					}
					c.alterResult = nil
					c.waitForCompletion(5 * time.Minute)
				})
			}
		}
	}
}

// alterServiceResults alters a share of the responses of a service, for one node or for all.
func (c *userSimulation) alterServiceResults(target Target, onlyNode string, share float64,
	alter func(CallResult) CallResult) {
	c.alterResult = func(node string, call ServiceCall, r CallResult) CallResult {
		if call.Target != target || c.rng.Float64() > share || (onlyNode != "" && node != onlyNode) {
			return r
		}
		return alter(r)
	}
}

// countStoreCalls counts the calls to the key-value store that are answered from now on.
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

// A watch that always returns at once, with no event or with 410, is retried after a growing delay:
// without that, a leader repeated it as fast as responses arrived. Jobs that other nodes write are
// found nevertheless.
func TestWatchReturningAtOnceIsBackedOff(t *testing.T) {
	for name, answer := range map[string]CallResult{
		"empty":      {Status: 200, Body: storage.Encode(storage.WatchResponse{Revision: 1})},
		"gone":       {Status: 410},
		"no answer":  {Status: 0},
		"unreadable": {Status: 200, Body: []byte("{")},
		"old changes": {Status: 200, Body: storage.Encode(storage.WatchResponse{Revision: 1,
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
				t.Errorf("%d watches and %d listings in a minute", watches, listings)
			}
			if name == "empty" || name == "old changes" {
				return // it may be that nothing has changed: only its own lease tells
			}
			sim.submit(sim.followers()[0], jobSpec("j-1", 1))
			if !sim.advanceUntil(20*time.Second,
				func() bool { return leaderNode.leader.Jobs["j-1"] != nil || sim.terminalState("j-1") != "" }) {
				t.Error("a job that another node wrote is not found")
			}
		})
	}
}

// What the cloud says of machine types, machines and rentals may be wrong in every way that JSON
// allows: types that are missing once or free of charge, lists that repeat, contradict or name
// nobody, rentals answered with known machines.
func TestInvalidCatalogs(t *testing.T) {
	c4 := protocol.MachineType{Name: "c4", Cores: 4, MemoryGB: 16, ImageCacheGB: 40, PullGBPerSecond: 1,
		OnDemandPrice: 0.3, SpotPrice: 0.1, BootSeconds: 5, Zones: []string{"a", "b"}}
	withChange := func(change func(*protocol.MachineType)) []protocol.MachineType {
		t := c4
		change(&t)
		return []protocol.MachineType{t}
	}
	catalogs := map[string][]protocol.MachineType{
		"a type is given away":      withChange(func(t *protocol.MachineType) { t.OnDemandPrice, t.SpotPrice = 0, 0 }),
		"prices a thousandfold":     withChange(func(t *protocol.MachineType) { t.OnDemandPrice, t.SpotPrice = 300, 100 }),
		"prices below nothing":      withChange(func(t *protocol.MachineType) { t.OnDemandPrice, t.SpotPrice = -3, -1 }),
		"images are never fetched":  withChange(func(t *protocol.MachineType) { t.PullGBPerSecond = 0 }),
		"no cores":                  withChange(func(t *protocol.MachineType) { t.Cores = 0 }),
		"another type only":         withChange(func(t *protocol.MachineType) { t.Name = "x9" }),
		"the same type twice":       {c4, c4},
		"a boot of a hundred years": withChange(func(t *protocol.MachineType) { t.BootSeconds = 3e9 }),
		"amounts beyond all bounds": withChange(func(t *protocol.MachineType) {
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
				t.Errorf("a job that fits is answered %d", r.Status)
			}
			c.cloud.machineTypes = nil
			for _, node := range c.names {
				c.nodes[node].catalog.RequestedAt = clock.Never
			}
			c.waitForCompletion(5 * time.Minute)
		})
	}
}

func manyNames(count int) []string {
	var names []string
	for i := range count {
		names = append(names, fmt.Sprintf("m-%06d", 1000+i))
	}
	return names
}

// Two workers report under one name. The first one keeps its tasks: the newer epoch of the other is
// no proof that they have ended. Once the first has certainly ended the other may use the name.
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
			t.Fatalf("the other worker is answered %d", status)
		}
		sim.advance(2 * time.Second)
	}
	sim.checkStartedOnce()
	delete(sim.workers, worker.name)
	sim.advance(leaderNode.leader.WorkerLeaseTimeout() + time.Second)
	if machine := leaderNode.leader.Machines[worker.name]; machine != nil && machine.Address != "" {
		t.Errorf("the name still belongs to %s", machine.Address)
	}
}

// Heartbeats may hold whatever JSON allows: tasks that nobody started are stopped, unknown ones are
// left alone, and durations are bounded.
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
		"the last sequence": func(heartbeat *protocol.WorkerHeartbeat) { heartbeat.Sequence += 1 << 62 },
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

// Wall clocks that differ by minutes decide no order that matters: the invariants hold across
// changes of leader in either direction, and every job starts in time and completes.
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

// While no zone has capacity, rentals are retried at a bounded rate, work continues on the present
// machines, and the rest follows once there is capacity.
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
		t.Errorf("%d rentals were asked for in a minute", rentalRequests)
	}
	sim.cloud.capacity = 0
	sim.cloud.bootTime = 5 * time.Second
	c.waitForCompletion(5 * time.Minute)
}
