package controller

import (
	"encoding/base64"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/segmentio/encoding/json"

	"hitchdoor/internal/cluster"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// announceUpcomingLimits starts all nodes anew with settings that announce lower limits of the
// key-value store.
func (sim *simulation) announceUpcomingLimits(valueKB float64, ops int, rps float64) {
	next := &sim.cfg.Store.Upcoming
	next.ValueKB, next.TxnOps, next.WritesPerS = &valueKB, &ops, &rps
	for _, name := range sim.names {
		sim.startNode(name)
	}
}

// The records and messages as the version in production writes them.
const (
	productionJob = `{"spec":{"uid":"j-p","lote":"c","dono":"free","feitio":"batch","vez":"standard","pecas":3,"cores":1,
	 "accelerators":0,"ramGb":1,"molde":"i","pullGb":0,"portes":null,"praca":"","samePlace":false,"apart":false,"avulsas":true,
	 "previstoS":5,"marcoS":0,"guardaS":0,"prazoS":null},"at":1000000000}`
	productionTerminal  = `{"state":"done","tasks":2,"done":2}`
	productionBitmap    = `{"b":"Ag=="}` // of three tasks, the second is done
	productionGroup     = `{"m-000001":{"type":"c4","zone":"a","spot":true,"at":1000000000,"used":true}}`
	productionTerm      = `{"term":4,"node":"n1"}`
	productionHeartbeat = `{"type":"beat","term":4,"lead":true,"sent":12,"up":12,"run":5,"heard":7}`
)

func (sim *simulation) putRaw(key, value string) { sim.store.putValue(key, json.RawMessage(value)) }

// Records of production are read, continued and rewritten; a job may depend on one that production
// ended.
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
		t.Errorf("term %d", leaderNode.leader.term)
	}
	machine := leaderNode.leader.Machines["m-000001"]
	if machine == nil || !machine.UseDurable {
		t.Fatalf("the machine is read as %+v", machine)
	}
	job := dependentSpec("j-n", 1, "j-q", "j-p")
	sim.submitAccepted(leaderNode.name, job)
	sim.waitForJobState("j-n", protocol.JobDone, time.Minute)
	if sim.startCounts["j-p/1"] != 0 || sim.startCounts["j-p/0"] != 1 {
		t.Errorf("starts of a task that was done: %d, of another: %d", sim.startCounts["j-p/1"],
			sim.startCounts["j-p/0"])
	}
	if _, left := sim.store.keys[storage.BitmapPrefix+"j-p/000"]; left {
		t.Error("the bitmap of a job that is over is kept")
	}
}

// A message of production carries no version, and is understood.
func TestMessagesOfVersionInProduction(t *testing.T) {
	sim := newSimulation(t, 3)
	m, err := protocol.DecodePeerMessage([]byte(productionHeartbeat))
	if err != nil {
		t.Fatal(err)
	}
	n := sim.nodes["n0"]
	n.Step(time.Second, []Command{InboundMessage{From: "n1", Message: m}})
	if p := n.leaderPeer(); p == nil || p.Name != "n1" || p.protocolLevel != 0 {
		t.Errorf("taken as %+v", p)
	}
	// Production ignores the fields that this version adds; no field of production is changed.
	var beat map[string]any
	line, err := protocol.EncodePeerMessage(protocol.PeerHeartbeat{Term: 4, IsLeader: true, SentAt: 12,
		Uptime: 12, ProcessID: 5, ReceiverProcessID: 7, VersionLevel: protocolLevel, WritesThrottled: true})
	if err != nil {
		t.Fatal(err)
	}
	json.Unmarshal(line, &beat)
	var old map[string]any
	json.Unmarshal([]byte(productionHeartbeat), &old)
	for k, v := range old {
		if beat[k] != v {
			t.Errorf("%s is %v, not %v", k, beat[k], v)
		}
	}
}

// Groups that production wrote larger than the present value limit are split before they are
// written again. Each machine stays recorded by name at every moment, also across changes of
// leader.
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
		recorded := func() map[string]bool { // by name: whether it has had tasks
			all := map[string]bool{}
			for key, it := range sim.store.keys {
				var rec storage.MachineGroupRecord
				if strings.HasPrefix(key, storage.MachineGroupPrefix) && json.Unmarshal(it.Value, &rec) == nil {
					for name, r := range rec {
						all[name] = all[name] || r.Used
					}
				}
			}
			return all
		}
		leaderNode := sim.waitForLeader()
		if crashAt > 0 {
			sim.advance(crashAt)
			sim.crashNode(leaderNode.name)
			sim.waitForLeader()
		}
		for end := sim.now + 4*time.Second; sim.now < end; {
			got := recorded()
			for name, r := range large {
				if used, ok := got[name]; !ok || used != r.Used {
					t.Fatalf("crash after %v: %s is recorded: %v, used: %v", crashAt, name, ok, used)
				}
			}
			sim.advance(step)
		}
		if _, left := sim.store.keys[storage.MachineGroupKey(0)]; left {
			t.Errorf("crash after %v: the large group is kept", crashAt)
		}
		if n := len(sim.store.oversizedKeys); n > 0 {
			t.Errorf("crash after %v: %d transactions were too large: %v", crashAt, n, sim.store.oversizedKeys)
		}
	}
}

// A machine in two groups, because a leader crashed while it split one, counts as used if either
// group says so: it may have tasks.
func TestMachineInTwoGroups(t *testing.T) {
	for _, first := range []bool{false, true} {
		sim := newSimulation(t, 1)
		for i, used := range []bool{first, !first} {
			sim.store.putValue(storage.MachineGroupKey(i),
				storage.MachineGroupRecord{"m-000900": {Type: "c4", Zone: "a", Spot: true,
					RentedAtMillis: 1_000_000_000, Used: used}})
		}
		leaderNode := sim.waitForLeader()
		if machine := leaderNode.leader.Machines["m-000900"]; machine == nil || !machine.UseDurable ||
			machine.Reconciled {
			t.Errorf("first used: %v: read as %+v", first, machine)
		}
		sim.advance(500 * time.Millisecond)
		if _, left := sim.store.keys[storage.MachineGroupKey(0)]; left {
			t.Error("it is kept in both")
		}
		var rec storage.MachineGroupRecord
		if it, ok := sim.store.keys[storage.MachineGroupKey(1)]; ok &&
			(json.Unmarshal(it.Value, &rec) != nil || !rec["m-000900"].Used) {
			t.Errorf("first used: %v: what is left says %+v", first, rec)
		}
	}
}

// Bitmaps of the largest jobs change their layout only once no node of the previous version can
// lead: it takes a part for another one by its number, and would report tasks as done that never
// ran.
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
		t.Errorf("with an old node there are %d numbered parts, %d by task", numbered, byTask)
	}
	sim.upgradeNode("n2")
	sim.advance(2 * time.Second)
	sim.waitForNewVersion()
	sim.advance(2 * time.Second)
	sim.store.enforceUpcomingLimits = true
	done := sim.nodes[sim.leaderName()].leader.Jobs["j-l"].DoneTasks
	sim.crashNode(sim.leaderName())
	leaderNode = sim.waitForLeader()
	sim.advance(time.Second)
	if numbered, byTask := count(); numbered != 0 || byTask < 2 {
		t.Errorf("with new nodes there are %d numbered parts, %d by task", numbered, byTask)
	}
	job := leaderNode.leader.Jobs["j-l"]
	if job.DoneTasks < done || job.TaskState(doneTask) != cluster.TaskDone {
		t.Errorf("%d tasks are done, %d were; the first: %v", job.DoneTasks, done, job.TaskState(doneTask))
	}
	sim.advance(5 * time.Second)
	if len(sim.store.oversizedKeys) > 0 {
		t.Errorf("too large: %v", sim.store.oversizedKeys)
	}
}

// While some node may run the previous version, which would start such a job at once, a job with
// dependencies is not accepted; a job that such a node has written is continued.
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
		// Each node crashes once more after its turn and once before the next one's, so that old
		// nodes follow and succeed new ones.
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
					t.Errorf("%d of 3 are new: answered %d, Retry-After %d", i+1, r.Status, r.RetryAfter)
				}
			}
		}
	}
	sim.waitForNewVersion()
	sim.submitAccepted("n1", dependentSpec("j-b", 1, "j-a"))
	sim.waitForJobState("j-b", protocol.JobDone, 2*time.Minute)
	sim.checkStartedOnce()
	// A late message of an earlier process is ignored.
	sim.nodes["n0"].inbox = append(sim.nodes["n0"].inbox,
		InboundMessage{From: "n1", Message: protocol.PeerHeartbeat{Uptime: 1}})
	sim.submitAccepted("n0", dependentSpec("j-c", 1, "j-b"))
}

// The store lowers its limits without notice: no value that is sent is too large, writes are paced
// at the lower rate after the first refusal, and critical records are written first.
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
		t.Errorf("too large: %v", sim.store.oversizedKeys)
	}
	if sim.store.throttledTransactions > 12 {
		t.Errorf("%d changes came too fast", sim.store.throttledTransactions)
	}
	for _, name := range sim.names {
		if !sim.nodes[name].writesThrottled {
			t.Errorf("%s does not pace its changes", name)
		}
	}
	if sim.leaderName() != leaderNode.name {
		t.Error("the leader gave up for it")
	}
}

// A transaction that the store rejects permanently, as its limits are lower than configured, is
// split again and never repeated unchanged; the leader stays.
func TestPermanentlyRejectedTransactionIsSplit(t *testing.T) {
	sim := newSimulation(t, 1)
	leaderNode := sim.waitForLeader()
	sim.startMachines(2)
	seen := map[string]bool{}
	sim.store.rejectTransaction = func(txn storage.Txn) bool {
		if len(txn.Writes) <= 2 {
			return false
		}
		key := string(storage.Encode(txn.Writes))
		if seen[key] {
			t.Fatalf("sent again as it was: %s", key)
		}
		seen[key] = true
		return true
	}
	for i := range 12 {
		sim.submitAccepted(leaderNode.name, jobSpec(fmt.Sprintf("j-%d", i), 2))
	}
	for i := range 12 {
		sim.waitForJobState(fmt.Sprintf("j-%d", i), protocol.JobDone, time.Minute)
	}
	if len(seen) == 0 || leaderNode.leader == nil {
		t.Errorf("%d were refused; it leads: %v", len(seen), leaderNode.leader != nil)
	}
}

// A submission that is too large for the limits is rejected at once, but never one that was
// accepted under the wider limits.
func TestSubmissionOverUpcomingLimits(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.announceUpcomingLimits(1, 4, 40)
	sim.waitForLeader()
	sim.waitForNewVersion()
	job := jobSpec("j-w", 1)
	job.Image = strings.Repeat("i", 1500)
	if r := sim.submit("n0", job); r.Status != 400 {
		t.Errorf("answered %d", r.Status)
	}
	sim.store.putValue(storage.JobKey("j-w"), storage.JobRecord{Spec: job, AcceptedAtMillis: 1_000_000_000})
	sim.advance(time.Second)
	if r := sim.submit("n0", job); r.Status != 200 {
		t.Errorf("a repeat is answered %d", r.Status)
	}
}

// A leader that is drained hands over at once, and the tasks on its machines continue.
func TestDrainedLeaderHandsOver(t *testing.T) {
	sim, leaderNode := newRunningSimulation(t, 3, 40*time.Second, 2, 6)
	leaderNode.inbox = append(leaderNode.inbox, Drain{})
	at := sim.now
	if !sim.advanceUntil(3*time.Second,
		func() bool { return sim.leaderName() != "" && sim.leaderName() != leaderNode.name }) {
		t.Fatal("nobody else leads")
	}
	if r := sim.requestAndWait(leaderNode.name, Request{Kind: protocol.RequestHealth}); r.Status != 503 {
		t.Errorf("its health is %d", r.Status)
	}
	if code, s := sim.queryJob(leaderNode.name, "j-1"); code != 200 || s.State == "" {
		t.Errorf("a question is answered %d", code)
	}
	sim.advance(leaderNode.DrainDuration() - (sim.now - at))
	sim.crashNode(leaderNode.name)
	sim.waitForJobState("j-1", protocol.JobDone, time.Minute)
	sim.checkStartedOnce()
}
