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

// announce lets the settings name lower limits of the state service.
func (w *simulation) announceUpcomingLimits(valueKB float64, ops int, rps float64) {
	next := &w.cfg.Store.Upcoming
	next.ValueKB, next.TxnOps, next.WritesPerS = &valueKB, &ops, &rps
	for _, name := range w.names {
		w.startNode(name)
	}
}

// The records as the version in production writes them.
const (
	productionJob = `{"spec":{"uid":"j-p","lote":"c","dono":"free","feitio":"batch","vez":"standard","pecas":3,"cores":1,
	 "accelerators":0,"ramGb":1,"molde":"i","pullGb":0,"portes":null,"praca":"","samePlace":false,"apart":false,"avulsas":true,
	 "previstoS":5,"marcoS":0,"guardaS":0,"prazoS":null},"at":1000000000}`
	productionFinal     = `{"state":"done","tasks":2,"done":2}`
	productionBits      = `{"b":"Ag=="}` // of three tasks, the second is done
	productionGroup     = `{"m-000001":{"type":"c4","zone":"a","spot":true,"at":1000000000,"used":true}}`
	productionTerm      = `{"term":4,"node":"n1"}`
	productionHeartbeat = `{"type":"beat","term":4,"lead":true,"sent":12,"up":12,"run":5,"heard":7}`
)

func (w *simulation) putRaw(key, value string) { w.store.putValue(key, json.RawMessage(value)) }

// What production has written is read, led and rewritten; a job may need one that
// production ended.
func TestRecordsOfProduction(t *testing.T) {
	w := newSimulation(t, 1)
	w.putRaw(storage.TermKey, productionTerm)
	w.putRaw(storage.JobKey("j-p"), productionJob)
	w.putRaw(storage.TerminalKey("j-q"), productionFinal)
	w.putRaw(storage.BitmapPrefix+"j-p/000", productionBits)
	w.putRaw(storage.MachineGroupPrefix+"000", productionGroup)
	w.jobSpecs["j-p"] = jobSpec("j-p", 3)
	w.cloud.rentMachine("c4", "a", true)
	l := w.waitForLeader()
	w.waitForNewVersion()
	if l.leader.term != 5 {
		t.Errorf("term %d", l.leader.term)
	}
	m := l.leader.Machines["m-000001"]
	if m == nil || !m.UseDurable {
		t.Fatalf("the machine is read as %+v", m)
	}
	j := dependentSpec("j-n", 1, "j-q", "j-p")
	w.submitAccepted(l.name, j)
	w.waitForJobState("j-n", protocol.JobDone, time.Minute)
	if w.startCounts["j-p/1"] != 0 || w.startCounts["j-p/0"] != 1 {
		t.Errorf("starts of a task that was done: %d, of another: %d", w.startCounts["j-p/1"], w.startCounts["j-p/0"])
	}
	if _, left := w.store.keys[storage.BitmapPrefix+"j-p/000"]; left {
		t.Error("the bitmap of a job that is over is kept")
	}
}

// A line of production says nothing of its version, and is understood.
func TestMessagesOfProduction(t *testing.T) {
	w := newSimulation(t, 3)
	m, err := protocol.DecodePeerMessage([]byte(productionHeartbeat))
	if err != nil {
		t.Fatal(err)
	}
	n := w.nodes["n0"]
	n.Step(time.Second, []Command{InboundMessage{From: "n1", Message: m}})
	if p := n.leaderPeer(); p == nil || p.Name != "n1" || p.protocolLevel != 0 {
		t.Errorf("taken as %+v", p)
	}
	// And what this version adds, production ignores: it is added, nothing is changed.
	var beat map[string]any
	line, err := protocol.EncodePeerMessage(protocol.PeerHeartbeat{Term: 4, IsLeader: true, SentAt: 12, Uptime: 12, ProcessID: 5, ReceiverProcessID: 7, VersionLevel: protocolLevel, WritesThrottled: true})
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

// Groups that production made larger than a value may be by now are split before they
// are written again: each machine stays durable by name at every moment, and so it does
// when leaders change in between.
func TestLargeGroupsAreSplit(t *testing.T) {
	for _, crashAt := range []time.Duration{0, 5 * time.Millisecond, 30 * time.Millisecond, 60 * time.Millisecond, 120 * time.Millisecond} {
		w := newSimulation(t, 3)
		w.announceUpcomingLimits(1, 4, 40)
		w.store.enforceUpcomingLimits = true
		w.cloud.bootTime = time.Hour
		large := storage.MachineGroupRecord{}
		for i := range 80 {
			x := w.cloud.rentMachine("c4", "a", true)
			large[x.name] = storage.MachineRecord{Type: "c4", Zone: "a", Spot: true, RentedAtMillis: 1_000_000_000, Used: i%2 == 0}
		}
		w.store.putValue(storage.MachineGroupKey(0), large)
		w.store.putValue(storage.MachineGroupKey(2), storage.MachineGroupRecord{"m-000900": {Type: "c4", Zone: "b", Spot: true, RentedAtMillis: 1_000_000_000}})
		recorded := func() map[string]bool { // by name: used
			all := map[string]bool{}
			for key, it := range w.store.keys {
				var rec storage.MachineGroupRecord
				if strings.HasPrefix(key, storage.MachineGroupPrefix) && json.Unmarshal(it.Value, &rec) == nil {
					for name, r := range rec {
						all[name] = all[name] || r.Used
					}
				}
			}
			return all
		}
		l := w.waitForLeader()
		if crashAt > 0 {
			w.advance(crashAt)
			w.crashNode(l.name)
			w.waitForLeader()
		}
		for end := w.now + 4*time.Second; w.now < end; {
			got := recorded()
			for name, r := range large {
				if used, ok := got[name]; !ok || used != r.Used {
					t.Fatalf("crash after %v: %s is recorded: %v, used: %v", crashAt, name, ok, used)
				}
			}
			w.advance(step)
		}
		if _, left := w.store.keys[storage.MachineGroupKey(0)]; left {
			t.Errorf("crash after %v: the large group is kept", crashAt)
		}
		if n := len(w.store.oversizedKeys); n > 0 {
			t.Errorf("crash after %v: %d transactions were too large: %v", crashAt, n, w.store.oversizedKeys)
		}
	}
}

// A machine that two groups name, as a leader died while it split one, is used if either
// says so: it may have tasks.
func TestMachineInTwoGroups(t *testing.T) {
	for _, first := range []bool{false, true} {
		w := newSimulation(t, 1)
		for i, used := range []bool{first, !first} {
			w.store.putValue(storage.MachineGroupKey(i), storage.MachineGroupRecord{"m-000900": {Type: "c4", Zone: "a", Spot: true, RentedAtMillis: 1_000_000_000, Used: used}})
		}
		l := w.waitForLeader()
		if m := l.leader.Machines["m-000900"]; m == nil || !m.UseDurable || m.Reconciled {
			t.Errorf("first used: %v: read as %+v", first, m)
		}
		w.advance(500 * time.Millisecond)
		if _, left := w.store.keys[storage.MachineGroupKey(0)]; left {
			t.Error("it is kept in both")
		}
		var rec storage.MachineGroupRecord
		if it, ok := w.store.keys[storage.MachineGroupKey(1)]; ok && (json.Unmarshal(it.Value, &rec) != nil || !rec["m-000900"].Used) {
			t.Errorf("first used: %v: what is left says %+v", first, rec)
		}
	}
}

// Bitmaps of the largest jobs change their layout only once no node of the version before
// may lead: it takes a part for another one by its number, and would call tasks done
// that never ran.
func TestBitmapsOfTheLargestJobs(t *testing.T) {
	const tasks, doneTask = 20_000, 15_000
	w := newSimulation(t, 3)
	w.oldVersionNodes["n2"] = true
	w.announceUpcomingLimits(1, 4, 40)
	bits := make([]byte, (tasks+7)/8)
	bits[doneTask/8] |= 1 << (doneTask % 8)
	w.store.putValue(storage.JobKey("j-l"), storage.JobRecord{Spec: jobSpec("j-l", tasks), AcceptedAtMillis: 1_000_000_000})
	w.putRaw(storage.BitmapPrefix+"j-l/000", `{"b":"`+base64.StdEncoding.EncodeToString(bits)+`"}`)
	w.jobSpecs["j-l"] = jobSpec("j-l", tasks)
	w.taskDuration = func(task string, _ int) time.Duration { return 2 * time.Second }
	l := w.waitForLeader()
	w.startMachines(2)
	w.advanceUntil(20*time.Second, func() bool { return l.leader == nil || l.leader.Jobs["j-l"].DoneTasks > 3 })
	w.advance(2 * time.Second)
	count := func() (numbered, byTask int) {
		for key := range w.store.keys {
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
	w.upgradeNode("n2")
	w.advance(2 * time.Second)
	w.waitForNewVersion()
	w.advance(2 * time.Second)
	w.store.enforceUpcomingLimits = true
	done := w.nodes[w.leaderName()].leader.Jobs["j-l"].DoneTasks
	w.crashNode(w.leaderName())
	l = w.waitForLeader()
	w.advance(time.Second)
	if numbered, byTask := count(); numbered != 0 || byTask < 2 {
		t.Errorf("with new nodes there are %d numbered parts, %d by task", numbered, byTask)
	}
	j := l.leader.Jobs["j-l"]
	if j.DoneTasks < done || j.TaskState(doneTask) != cluster.TaskDone {
		t.Errorf("%d tasks are done, %d were; the first: %v", j.DoneTasks, done, j.TaskState(doneTask))
	}
	w.advance(5 * time.Second)
	if len(w.store.oversizedKeys) > 0 {
		t.Errorf("too large: %v", w.store.oversizedKeys)
	}
}

// While some node may be of the version before, which would start such a job at once, a
// job that needs others is not taken; and what a node of it has written is led on.
func TestNoNewFormatBeforeAllSupportIt(t *testing.T) {
	w := newSimulation(t, 3)
	for _, name := range w.names {
		w.oldVersionNodes[name] = true
		w.startNode(name)
	}
	w.waitForLeader()
	w.startMachines(2)
	w.taskDuration = func(string, int) time.Duration { return 25 * time.Second }
	w.submitAccepted("n0", jobSpec("j-a", 4))
	for i, name := range w.names {
		// Each is killed once more after its turn and once before the next one's, so
		// that old nodes follow new ones and lead after them.
		w.upgradeNode(name)
		w.advance(4 * time.Second)
		w.crashNode(w.leaderName())
		for _, other := range w.names {
			if w.nodes[other].down {
				w.restartNode(other)
			}
		}
		w.waitForLeader()
		for _, node := range w.names {
			if !w.nodes[node].oldVersion && i+1 < len(w.names) {
				if r := w.submit(node, dependentSpec("j-b", 1, "j-a")); r.Status != 503 || r.RetryAfter == 0 {
					t.Errorf("%d of 3 are new: answered %d, Retry-After %d", i+1, r.Status, r.RetryAfter)
				}
			}
		}
	}
	w.waitForNewVersion()
	w.submitAccepted("n1", dependentSpec("j-b", 1, "j-a"))
	w.waitForJobState("j-b", protocol.JobDone, 2*time.Minute)
	w.checkStartedOnce()
	// A late message of an earlier process changes nothing.
	w.nodes["n0"].inbox = append(w.nodes["n0"].inbox, InboundMessage{From: "n1", Message: protocol.PeerHeartbeat{Uptime: 1}})
	w.submitAccepted("n0", dependentSpec("j-c", 1, "j-b"))
}

// The state service lowers its limits without notice: nothing that is sent is too
// large, changes are paced by the lower rate after the first refusal, and what matters
// is written first.
func TestLowerLimits(t *testing.T) {
	w := newSimulation(t, 3)
	w.announceUpcomingLimits(1, 4, 12)
	l := w.waitForLeader()
	w.waitForNewVersion()
	w.startMachines(8)
	w.taskDuration = func(string, int) time.Duration { return 2 * time.Second }
	w.store.enforceUpcomingLimits = true
	for i := range 40 {
		w.submitAccepted(w.names[i%3], jobSpec(fmt.Sprintf("j-%d", i), 3))
	}
	w.submitAccepted(l.name, dependentSpec("j-last", 1, "j-39"))
	w.waitForJobState("j-last", protocol.JobDone, 2*time.Minute)
	if len(w.store.oversizedKeys) > 0 {
		t.Errorf("too large: %v", w.store.oversizedKeys)
	}
	if w.store.throttledTransactions > 12 {
		t.Errorf("%d changes came too fast", w.store.throttledTransactions)
	}
	for _, name := range w.names {
		if !w.nodes[name].writesThrottled {
			t.Errorf("%s does not pace its changes", name)
		}
	}
	if w.leaderName() != l.name {
		t.Error("the leader gave up for it")
	}
}

// A transaction that the state service refuses for good, as its limits are lower than
// the settings say, is cut anew and never sent again as it was; nobody stops leading.
func TestRefusedForGood(t *testing.T) {
	w := newSimulation(t, 1)
	l := w.waitForLeader()
	w.startMachines(2)
	seen := map[string]bool{}
	w.store.rejectTransaction = func(txn storage.Txn) bool {
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
		w.submitAccepted(l.name, jobSpec(fmt.Sprintf("j-%d", i), 2))
	}
	for i := range 12 {
		w.waitForJobState(fmt.Sprintf("j-%d", i), protocol.JobDone, time.Minute)
	}
	if len(seen) == 0 || l.leader == nil {
		t.Errorf("%d were refused; it leads: %v", len(seen), l.leader != nil)
	}
}

// A submission that is too large for the limits is refused at once, but never one that
// was accepted when they were wider.
func TestTooLargeForTheNewLimits(t *testing.T) {
	w := newSimulation(t, 1)
	w.announceUpcomingLimits(1, 4, 40)
	w.waitForLeader()
	w.waitForNewVersion()
	j := jobSpec("j-w", 1)
	j.Image = strings.Repeat("i", 1500)
	if r := w.submit("n0", j); r.Status != 400 {
		t.Errorf("answered %d", r.Status)
	}
	w.store.putValue(storage.JobKey("j-w"), storage.JobRecord{Spec: j, AcceptedAtMillis: 1_000_000_000})
	w.advance(time.Second)
	if r := w.submit("n0", j); r.Status != 200 {
		t.Errorf("a repeat is answered %d", r.Status)
	}
}

// A leader that is told to end hands over at once, and its machines' tasks go on.
func TestDrainedLeaderHandsOver(t *testing.T) {
	w, l := newRunningSimulation(t, 3, 40*time.Second, 2, 6)
	l.inbox = append(l.inbox, Drain{})
	at := w.now
	if !w.advanceUntil(3*time.Second, func() bool { return w.leaderName() != "" && w.leaderName() != l.name }) {
		t.Fatal("nobody else leads")
	}
	if r := w.requestAndWait(l.name, Request{Kind: protocol.RequestHealth}); r.Status != 503 {
		t.Errorf("its health is %d", r.Status)
	}
	if code, s := w.queryJob(l.name, "j-1"); code != 200 || s.State == "" {
		t.Errorf("a question is answered %d", code)
	}
	w.advance(l.DrainDuration() - (w.now - at))
	w.crashNode(l.name)
	w.waitForJobState("j-1", protocol.JobDone, time.Minute)
	w.checkStartedOnce()
}
