package controller

import (
	"encoding/base64"
	"fmt"
	"strings"
	"testing"
	"time"

	"hitchdoor/internal/cluster"
	"hitchdoor/internal/json"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// announceUpcomingLimits restarts all nodes with settings that announce lower limits of the key-value
// store: on the size of a value, the writes in a transaction and the writes per second.
func (sim *simulation) announceUpcomingLimits(valueKB float64, ops int, rps float64) {
	next := &sim.cfg.Store.Upcoming
	next.ValueKB, next.TxnOps, next.WritesPerS = &valueKB, &ops, &rps
	for _, name := range sim.names {
		sim.startNode(name)
	}
}

// These are records and a message as the version in production, which has protocol level 0, writes them.
const (
	productionJob = `{"spec":{"uid":"j-p","lote":"c","dono":"free","feitio":"batch","vez":"standard","pecas":3,"cores":1,
	 "accelerators":0,"ramGb":1,"molde":"i","pullGb":0,"portes":null,"praca":"","samePlace":false,"apart":false,"avulsas":true,
	 "previstoS":5,"marcoS":0,"guardaS":0,"prazoS":null},"at":1000000000}`
	productionTerminal  = `{"state":"done","tasks":2,"done":2}`
	productionBitmap    = `{"b":"Ag=="}` // the second of three tasks is done
	productionGroup     = `{"m-000001":{"type":"c4","zone":"a","spot":true,"at":1000000000,"used":true}}`
	productionTerm      = `{"term":4,"node":"n1"}`
	productionHeartbeat = `{"type":"beat","term":4,"lead":true,"sent":12,"up":12,"run":5,"heard":7}`
)

// putRaw stores a JSON value under a key directly, without a node.
func (sim *simulation) putRaw(key, value string) { sim.store.putValue(key, json.RawMessage(value)) }

// After an upgrade, nodes must read, continue and rewrite the records that the version in production
// wrote, and accept a job that depends on a job which became terminal before the upgrade.
func TestRecordsOfVersionInProduction(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.putRaw(storage.TermKey, productionTerm)
	sim.putRaw(storage.JobKey("j-p"), productionJob)
	sim.putRaw(storage.TerminalKey("j-q"), productionTerminal)
	sim.putRaw(storage.BitmapPrefix+"j-p/000", productionBitmap)
	sim.putRaw(storage.MachineGroupPrefix+"000", productionGroup)
	sim.jobSpecs["j-p"] = jobSpec("j-p", 3)
	sim.cloud.rentMachine("c4", "a", true)
	leaderNode := sim.waitForLeader()
	sim.waitForNewVersion()
	if leaderNode.leader.term != 5 {
		t.Errorf("term: got %d, want 5, the one after the stored term", leaderNode.leader.term)
	}
	machine := leaderNode.leader.Machines["m-000001"]
	if machine == nil || !machine.UseDurable {
		t.Fatalf("m-000001 in the leader: got %+v, want a machine with UseDurable true", machine)
	}
	job := dependentSpec("j-n", 1, "j-q", "j-p")
	sim.submitAccepted(leaderNode.name, job)
	sim.waitForJobState("j-n", protocol.JobDone, time.Minute)
	if sim.startCounts["j-p/1"] != 0 || sim.startCounts["j-p/0"] != 1 {
		t.Errorf("starts: got %d of the completed task, %d of another, want 0 and 1", sim.startCounts["j-p/1"],
			sim.startCounts["j-p/0"])
	}
	if _, left := sim.store.keys[storage.BitmapPrefix+"j-p/000"]; left {
		t.Error("the bitmap of the terminal job j-p is still stored")
	}
}

// During an upgrade, nodes exchange messages with nodes of the version in production. Its heartbeats
// carry no protocol level and must be understood, and the fields that it reads must not change.
func TestMessagesOfVersionInProduction(t *testing.T) {
	sim := newSimulation(t, 3)
	message, err := protocol.DecodePeerMessage([]byte(productionHeartbeat))
	if err != nil {
		t.Fatal(err)
	}
	node := sim.nodes["n0"]
	node.Step(time.Second, []Command{InboundMessage{From: "n1", Message: message}})
	if peer := node.leaderPeer(); peer == nil || peer.Name != "n1" || peer.protocolLevel != 0 {
		t.Errorf("leader after the heartbeat: got %+v, want n1 at protocol level 0", peer)
	}
	// The version in production ignores the fields that this version adds.
	var current map[string]any
	encoded, err := protocol.EncodePeerMessage(protocol.PeerHeartbeat{Term: 4, IsLeader: true, SentAt: 12,
		Uptime: 12, ProcessID: 5, ReceiverProcessID: 7, ProtocolLevel: protocolLevel, WritesThrottled: true})
	if err != nil {
		t.Fatal(err)
	}
	json.Unmarshal(encoded, &current)
	var production map[string]any
	json.Unmarshal([]byte(productionHeartbeat), &production)
	for field, want := range production {
		if current[field] != want {
			t.Errorf("heartbeat field %s: got %v, want %v", field, current[field], want)
		}
	}
}

// Machine groups (records of several machines each) that the version in production wrote may exceed a
// lowered value limit. They are split before they are written again. A machine that is missing in
// between would be lost with a crash of the leader, so each machine must stay recorded at every moment,
// also if the leader changes.
func TestLargeGroupsAreSplit(t *testing.T) {
	for _, crashAt := range []time.Duration{0, 5 * time.Millisecond, 30 * time.Millisecond,
		60 * time.Millisecond, 120 * time.Millisecond} {
		sim := newSimulation(t, 3)
		sim.announceUpcomingLimits(1, 4, 40)
		sim.store.enforceUpcomingLimits = true
		sim.cloud.bootTime = time.Hour
		large := storage.MachineGroupRecord{}
		for i := range 80 {
			worker := sim.cloud.rentMachine("c4", "a", true)
			large[worker.name] = storage.MachineRecord{Type: "c4", Zone: "a", Spot: true,
				RentedAtMillis: 1_000_000_000, Used: i%2 == 0}
		}
		sim.store.putValue(storage.MachineGroupKey(0), large)
		sim.store.putValue(storage.MachineGroupKey(2),
			storage.MachineGroupRecord{"m-000900": {Type: "c4", Zone: "b", Spot: true, RentedAtMillis: 1_000_000_000}})
		recorded := func() map[string]bool { // by name: whether the machine has had tasks
			usedByName := map[string]bool{}
			for key, item := range sim.store.keys {
				var group storage.MachineGroupRecord
				if strings.HasPrefix(key, storage.MachineGroupPrefix) && json.Unmarshal(item.Value, &group) == nil {
					for name, record := range group {
						usedByName[name] = usedByName[name] || record.Used
					}
				}
			}
			return usedByName
		}
		leaderNode := sim.waitForLeader()
		if crashAt > 0 {
			sim.advance(crashAt)
			sim.crashNode(leaderNode.name)
			sim.waitForLeader()
		}
		for end := sim.now + 4*time.Second; sim.now < end; {
			got := recorded()
			for name, record := range large {
				if gotUsed, ok := got[name]; !ok || gotUsed != record.Used {
					t.Fatalf("crash after %v: %s: got recorded %t, used %t, want recorded, used %t", crashAt, name, ok,
						gotUsed, record.Used)
				}
			}
			sim.advance(step)
		}
		if _, left := sim.store.keys[storage.MachineGroupKey(0)]; left {
			t.Errorf("crash after %v: the large group is still stored", crashAt)
		}
		if n := len(sim.store.oversizedKeys); n > 0 {
			t.Errorf("crash after %v: got %d values over the limit, want 0: %v", crashAt, n, sim.store.oversizedKeys)
		}
	}
}

// If a leader crashes while it splits a machine group, a machine may be in two groups. It must count as
// used if either group says so, because it may have tasks, and the duplicate must be removed.
func TestMachineInTwoGroups(t *testing.T) {
	for _, firstUsed := range []bool{false, true} {
		sim := newSimulation(t, 1)
		for i, used := range []bool{firstUsed, !firstUsed} {
			sim.store.putValue(storage.MachineGroupKey(i),
				storage.MachineGroupRecord{"m-000900": {Type: "c4", Zone: "a", Spot: true,
					RentedAtMillis: 1_000_000_000, Used: used}})
		}
		leaderNode := sim.waitForLeader()
		if machine := leaderNode.leader.Machines["m-000900"]; machine == nil || !machine.UseDurable ||
			machine.Reconciled {
			t.Errorf("first used %t: m-000900: got %+v, want UseDurable true, Reconciled false", firstUsed, machine)
		}
		sim.advance(500 * time.Millisecond)
		if _, left := sim.store.keys[storage.MachineGroupKey(0)]; left {
			t.Errorf("first used %t: m-000900 is in both stored groups after the takeover, want it removed from the first",
				firstUsed)
		}
		var remaining storage.MachineGroupRecord
		if item, ok := sim.store.keys[storage.MachineGroupKey(1)]; ok &&
			(json.Unmarshal(item.Value, &remaining) != nil || !remaining["m-000900"].Used) {
			t.Errorf("first used %t: got remaining group %s, want m-000900 used", firstUsed, item.Value)
		}
	}
}

// The bitmap of a large job's completed tasks is stored in parts. A leader of the previous version
// identifies the parts by number. It would mistake parts of the new layout, which are identified by
// their first task, for others, and would report tasks as done that never ran. So the layout changes
// only once no node of that version can become leader.
func TestBitmapsOfLargestJobs(t *testing.T) {
	const tasks, doneTask = 20_000, 15_000
	sim := newSimulation(t, 3)
	sim.oldVersionNodes["n2"] = true
	sim.announceUpcomingLimits(1, 4, 40)
	bits := make([]byte, (tasks+7)/8)
	bits[doneTask/8] |= 1 << (doneTask % 8)
	sim.store.putValue(storage.JobKey("j-l"),
		storage.JobRecord{Spec: jobSpec("j-l", tasks), AcceptedAtMillis: 1_000_000_000})
	sim.putRaw(storage.BitmapPrefix+"j-l/000", `{"b":"`+base64.StdEncoding.EncodeToString(bits)+`"}`)
	sim.jobSpecs["j-l"] = jobSpec("j-l", tasks)
	sim.taskDuration = func(_ string, _ int) time.Duration { return 2 * time.Second }
	leaderNode := sim.waitForLeader()
	sim.startMachines(2)
	sim.advanceUntil(20*time.Second,
		func() bool { return leaderNode.leader == nil || leaderNode.leader.Jobs["j-l"].DoneTasks > 3 })
	sim.advance(2 * time.Second)
	count := func() (numbered, byTask int) {
		for key := range sim.store.keys {
			if strings.HasPrefix(key, storage.BitmapPrefix+"j-l/from-") {
				byTask++
			} else if strings.HasPrefix(key, storage.BitmapPrefix) {
				numbered++
			}
		}
		return
	}
	if numbered, byTask := count(); numbered != 1 || byTask != 0 {
		t.Errorf("while n2 runs the previous version: got %d bitmap parts with a part number as key and %d with a first "+
			"task, want 1 and 0", numbered, byTask)
	}
	sim.upgradeNode("n2")
	sim.advance(2 * time.Second)
	sim.waitForNewVersion()
	sim.advance(2 * time.Second)
	sim.store.enforceUpcomingLimits = true
	doneBefore := sim.nodes[sim.leaderName()].leader.Jobs["j-l"].DoneTasks
	sim.crashNode(sim.leaderName())
	leaderNode = sim.waitForLeader()
	sim.advance(time.Second)
	if numbered, byTask := count(); numbered != 0 || byTask < 2 {
		t.Errorf("after the upgrade of n2: got %d bitmap parts with a part number as key and %d with a first task, "+
			"want 0 and at least 2", numbered, byTask)
	}
	job := leaderNode.leader.Jobs["j-l"]
	if job.DoneTasks < doneBefore || job.TaskState(doneTask) != cluster.TaskDone {
		t.Errorf("after the takeover: got %d done tasks, task %d in state %v, want at least %d, done", job.DoneTasks,
			doneTask, job.TaskState(doneTask), doneBefore)
	}
	sim.advance(5 * time.Second)
	if len(sim.store.oversizedKeys) > 0 {
		t.Errorf("keys with values over the limit: got %v, want none", sim.store.oversizedKeys)
	}
}

// The previous version would start a job with dependencies at once. So no such job is accepted while
// some node may run that version; the test upgrades one node after the other and crashes the leader
// after each. A job that a node of the previous version has written is continued.
func TestNoNewFormatBeforeAllSupportIt(t *testing.T) {
	sim := newSimulation(t, 3)
	for _, name := range sim.names {
		sim.oldVersionNodes[name] = true
		sim.startNode(name)
	}
	sim.waitForLeader()
	sim.startMachines(2)
	sim.taskDuration = func(string, int) time.Duration { return 25 * time.Second }
	sim.submitAccepted("n0", jobSpec("j-a", 4))
	for i, name := range sim.names {
		// The leader crashes after each upgrade, so that old nodes follow new leaders and succeed
		// them.
		sim.upgradeNode(name)
		sim.advance(4 * time.Second)
		sim.crashNode(sim.leaderName())
		for _, other := range sim.names {
			if sim.nodes[other].down {
				sim.restartNode(other)
			}
		}
		sim.waitForLeader()
		for _, node := range sim.names {
			if !sim.nodes[node].oldVersion && i+1 < len(sim.names) {
				if r := sim.submit(node, dependentSpec("j-b", 1, "j-a")); r.Status != 503 || r.RetryAfter == 0 {
					t.Errorf("%d of 3 nodes upgraded: got status %d, Retry-After %d, want 503 with Retry-After", i+1,
						r.Status, r.RetryAfter)
				}
			}
		}
	}
	sim.waitForNewVersion()
	sim.submitAccepted("n1", dependentSpec("j-b", 1, "j-a"))
	sim.waitForJobState("j-b", protocol.JobDone, 2*time.Minute)
	sim.checkStartedOnce()
	// A late heartbeat of an earlier process of n1, which has no protocol level, is ignored.
	sim.nodes["n0"].inbox = append(sim.nodes["n0"].inbox,
		InboundMessage{From: "n1", Message: protocol.PeerHeartbeat{Uptime: 1}})
	sim.submitAccepted("n0", dependentSpec("j-c", 1, "j-b"))
}

// The store enforces its announced lower limits without further notice. Nodes must send no value over
// the limit and pace their writes at the lower rate after the first refusal, with critical records
// first, so that the leader stays and all jobs complete.
func TestStoreEnforcesLowerLimits(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.announceUpcomingLimits(1, 4, 12)
	leaderNode := sim.waitForLeader()
	sim.waitForNewVersion()
	sim.startMachines(8)
	sim.taskDuration = func(string, int) time.Duration { return 2 * time.Second }
	sim.store.enforceUpcomingLimits = true
	for i := range 40 {
		sim.submitAccepted(sim.names[i%3], jobSpec(fmt.Sprintf("j-%d", i), 3))
	}
	sim.submitAccepted(leaderNode.name, dependentSpec("j-last", 1, "j-39"))
	sim.waitForJobState("j-last", protocol.JobDone, 2*time.Minute)
	if len(sim.store.oversizedKeys) > 0 {
		t.Errorf("keys with values over the limit: got %v, want none", sim.store.oversizedKeys)
	}
	if sim.store.throttledTransactions > 12 {
		t.Errorf("throttled transactions: got %d, want at most 12", sim.store.throttledTransactions)
	}
	for _, name := range sim.names {
		if !sim.nodes[name].writesThrottled {
			t.Errorf("%s does not pace its writes", name)
		}
	}
	if sim.leaderName() != leaderNode.name {
		t.Error("the leader changed because of the lower limits")
	}
}

// The store rejects transactions of more than two writes for good, because its limits are lower than
// configured. The leader must split such a transaction instead of repeating it unchanged for ever, and
// must not step down.
func TestPermanentlyRejectedTransactionIsSplit(t *testing.T) {
	sim := newSimulation(t, 1)
	leaderNode := sim.waitForLeader()
	sim.startMachines(2)
	rejected := map[string]bool{}
	sim.store.rejectTransaction = func(txn storage.Txn) bool {
		if len(txn.Writes) <= 2 {
			return false
		}
		key := string(storage.Encode(txn.Writes))
		if rejected[key] {
			t.Fatalf("a rejected transaction was repeated unchanged: %s", key)
		}
		rejected[key] = true
		return true
	}
	for i := range 12 {
		sim.submitAccepted(leaderNode.name, jobSpec(fmt.Sprintf("j-%d", i), 2))
	}
	for i := range 12 {
		sim.waitForJobState(fmt.Sprintf("j-%d", i), protocol.JobDone, time.Minute)
	}
	if len(rejected) == 0 || leaderNode.leader == nil {
		t.Errorf("got %d rejected transactions, want some; %s is still leader: got %t, want true", len(rejected),
			leaderNode.name, leaderNode.leader != nil)
	}
}

// A new job that exceeds the announced limits can't be stored and is rejected at once. A job that was
// accepted under the wider limits must never be rejected.
func TestSubmissionOverUpcomingLimits(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.announceUpcomingLimits(1, 4, 40)
	sim.waitForLeader()
	sim.waitForNewVersion()
	job := jobSpec("j-w", 1)
	job.Image = strings.Repeat("i", 1500)
	if r := sim.submit("n0", job); r.Status != 400 {
		t.Errorf("new job over the limit: got status %d, want 400", r.Status)
	}
	sim.store.putValue(storage.JobKey("j-w"), storage.JobRecord{Spec: job, AcceptedAtMillis: 1_000_000_000})
	sim.advance(time.Second)
	if r := sim.submit("n0", job); r.Status != 200 {
		t.Errorf("repeated submission of an accepted job: got status %d, want 200", r.Status)
	}
}

// A leader that is drained for a restart must hand over at once, and still answer users meanwhile. The
// tasks on its machines continue, and none starts twice.
func TestDrainedLeaderHandsOver(t *testing.T) {
	sim, leaderNode := newRunningSimulation(t, 3, 40*time.Second, 2, 6)
	leaderNode.inbox = append(leaderNode.inbox, Drain{})
	drainedAt := sim.now
	if !sim.advanceUntil(3*time.Second,
		func() bool { return sim.leaderName() != "" && sim.leaderName() != leaderNode.name }) {
		t.Fatal("no other node became leader within 3 s")
	}
	if r := sim.requestAndWait(leaderNode.name, Request{Kind: protocol.RequestHealth}); r.Status != 503 {
		t.Errorf("health check: got status %d, want 503", r.Status)
	}
	if code, s := sim.queryJob(leaderNode.name, "j-1"); code != 200 || s.State == "" {
		t.Errorf("query: got status %d, state %q, want 200 and a state", code, s.State)
	}
	sim.advance(leaderNode.DrainDuration() - (sim.now - drainedAt))
	sim.crashNode(leaderNode.name)
	sim.waitForJobState("j-1", protocol.JobDone, time.Minute)
	sim.checkStartedOnce()
}
