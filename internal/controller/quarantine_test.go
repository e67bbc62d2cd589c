package controller

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"hitchdoor/internal/cluster"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// overwriteValue replaces a stored value by one that no controller writes, and returns a function
// that restores the previous value, or deletes the key if there was none.
func (s *fakeStore) overwriteValue(key, value string) (restore func()) {
	previous, known := s.keys[key]
	set := func(value []byte) {
		s.revision++
		s.keys[key] = storage.Item{Key: key, Value: value, ModRevision: s.revision}
		s.eventLog = append(s.eventLog, storage.WatchEvent{PutKey: key, Value: value, ModRevision: s.revision})
		s.notifyWatchers()
	}
	set([]byte(value))
	return func() {
		if known {
			set(previous.Value)
			return
		}
		s.revision++
		s.deleteKey(key)
	}
}

// onlyKeyWithPrefix returns the key that begins with a prefix. Callers make sure that there is exactly
// one; several are not detected.
func (s *fakeStore) onlyKeyWithPrefix(t *testing.T, prefix string) string {
	t.Helper()
	for key := range s.keys {
		if strings.HasPrefix(key, prefix) {
			return key
		}
	}
	t.Fatalf("no key begins with %s", prefix)
	return ""
}

// restartAllNodes crashes all nodes and restarts them after downtime.
func (sim *simulation) restartAllNodes(downtime time.Duration) {
	for _, name := range sim.names {
		sim.crashNode(name)
	}
	sim.advance(downtime)
	for _, name := range sim.names {
		sim.restartNode(name)
	}
}

// A record that could not be read once made its job unknown to users and its tasks start again, or
// made the leader step down repeatedly when it overwrote the record. Such a record is quarantined: it
// is never written, its job stays accepted but no more of its tasks start, the running ones continue,
// and so does all other work. Once the record is repaired, its job completes normally. In the values,
// "pecas" is the number of tasks, "aguarda" the list of dependencies and "pedido" the id of a rental.
func TestDamagedRecordIsQuarantined(t *testing.T) {
	for name, testCase := range map[string]struct {
		key           func(sim *simulation) string
		value         string
		rewritten     bool // the leader may overwrite the record, which is a forecast or a readable group
		unavailable   bool // queries of j-1 get 503
		jobUnaffected bool // j-1 may complete before the record is repaired
	}{
		"job with a task count of a wrong type": {key: func(*simulation) string { return storage.JobKey("j-1") },
			value: `{"spec":{"pecas":"x"}}`},
		"job of another key": {key: func(*simulation) string { return storage.JobKey("j-1") },
			value: `{"spec":{"uid":"j-7","pecas":4}}`},
		"job with a negative task count": {key: func(*simulation) string { return storage.JobKey("j-1") },
			value: `{"spec":{"uid":"j-1","lote":"c","dono":"free","feitio":"batch","vez":"low","pecas":-4}}`},
		"job with invalid dependencies": {key: func(*simulation) string { return storage.JobKey("j-1") },
			value: `{"spec":{"uid":"j-1","aguarda":7}}`, unavailable: true},
		"bitmap not base64": {key: func(*simulation) string { return storage.BitmapKey("j-1", 0) },
			value: `{"b":"%%%"}`},
		"bitmap not an object": {key: func(*simulation) string { return storage.BitmapKey("j-1", 0) }, value: `[]`},
		"machine group": {key: func(sim *simulation) string {
			return sim.store.onlyKeyWithPrefix(sim.t, storage.MachineGroupPrefix)
		}, value: `"?"`, jobUnaffected: true},
		"machine group entry": {key: func(sim *simulation) string {
			return sim.store.onlyKeyWithPrefix(sim.t, storage.MachineGroupPrefix)
		}, value: `{"m-000001":{"type":"c4","zone":"a","used":true},"m-000002":7}`, jobUnaffected: true},
		"single machine": {key: func(*simulation) string { return storage.SingleMachinePrefix + "m-000002" },
			value: `"?"`, jobUnaffected: true},
		"rental of another key": {key: func(*simulation) string { return storage.RentalPrefix + "r-1-99" },
			value: `{"pedido":"r-1-98"}`, jobUnaffected: true},
		"terminal record of another job": {key: func(*simulation) string { return storage.TerminalKey("j-9") },
			value: `{"state":"?"}`, jobUnaffected: true},
		"forecast": {key: func(*simulation) string { return storage.ArrivalForecastKey },
			value: `"?"`, rewritten: true, jobUnaffected: true},
		"dependencies of an unknown job": {key: func(*simulation) string { return storage.DependenciesKey("j-9", 0) },
			value: `7`, jobUnaffected: true},
		"key of a newer version": {key: func(*simulation) string { return storage.BitmapKey("j-1", 0) + "-x" },
			value: `7`, jobUnaffected: true},
		"group of an unknown machine": {key: func(*simulation) string { return storage.MachineGroupKey(77) },
			value: `{"m-000099":{"type":"c9","zone":"a","used":true}}`, rewritten: true, jobUnaffected: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sim := newSimulation(t, 3)
			sim.taskDuration = func(task string, _ int) time.Duration {
				if jobIDOf(task) == "j-1" && !strings.HasSuffix(task, "/0") {
					return 50 * time.Second
				}
				return 3 * time.Second
			}
			leaderNode := sim.waitForLeader()
			sim.startMachines(2)
			job := jobSpec("j-1", 4)
			job.EstimatedSeconds = 50
			sim.submitAndStart(leaderNode.name, job, 4)
			if !sim.advanceUntil(20*time.Second, func() bool {
				return sim.completedTasks["j-1/0"] && sim.store.keys[storage.BitmapKey("j-1", 0)].ModRevision > 0
			}) {
				t.Fatal("task j-1/0 is not done, or its bit not written, after 20 s")
			}
			sim.advance(time.Second)
			key := testCase.key(sim)
			restore := sim.store.overwriteValue(key, testCase.value)
			started := sim.totalStarts()
			sim.restartAllNodes(2 * time.Second)
			leaderNode = sim.waitForLeader()
			sim.submit(leaderNode.name, jobSpec("j-2", 6))
			sim.waitForJobState("j-2", protocol.JobDone, 40*time.Second)
			if got := string(sim.store.keys[key].Value); got != testCase.value && !testCase.rewritten {
				t.Errorf("the quarantined record %s was overwritten with %s, want %s", key, got, testCase.value)
			}
			for _, node := range sim.names {
				status, jobStatus := sim.queryJob(node, "j-1")
				if testCase.unavailable && status != 503 ||
					!testCase.unavailable && (status != 200 ||
						jobStatus.State != protocol.JobQueued && jobStatus.State != protocol.JobRunning) {
					t.Errorf("query of j-1 at %s: got status %d, state %q; want 503 if %v, else 200, queued or running",
						node, status, jobStatus.State, testCase.unavailable)
				}
				if reply := sim.requestAndWait(node,
					Request{Kind: protocol.RequestSubmit, JobID: "j-1",
						Job: &job}); reply.Status != 200 && !testCase.unavailable {
					t.Errorf("repeated submission of j-1 at %s: got status %d, want 200", node, reply.Status)
				}
			}
			if running := sim.activeTaskCount("j-1"); running != 3 || sim.totalStarts() != started+6 {
				t.Errorf("%d tasks of j-1 run, want 3; %d task starts, want %d with those of j-2", running,
					sim.totalStarts(), started+6)
			}
			sim.advance(30 * time.Second) // the tasks complete, and the workers keep their results
			if !testCase.jobUnaffected && sim.terminalState("j-1") != "" {
				t.Errorf("j-1 has a terminal record with state %q before its record was repaired, want none",
					sim.terminalState("j-1"))
			}
			if sim.leaderName() != leaderNode.name {
				t.Errorf("%q leads before the record was repaired, want still %s", sim.leaderName(), leaderNode.name)
			}
			restore()
			sim.waitForJobState("j-1", protocol.JobDone, 60*time.Second)
			sim.checkStartedOnce()
		})
	}
}

// A job with both an open record, readable or not, and a terminal record is terminal on every node.
// Its tasks are stopped, and the open record is kept.
func TestOpenAndTerminalRecordIsTerminal(t *testing.T) {
	for i, state := range []protocol.JobState{protocol.JobDone, protocol.JobCancelled, protocol.JobDone,
		protocol.JobCancelled} {
		sim, _ := newRunningSimulation(t, 3, time.Hour, 1, 2)
		for i := range 2 {
			sim.completedTasks[cluster.TaskKey("j-1", i)] = state == protocol.JobDone
		}
		sim.cancelRequested["j-1"] = true
		sim.store.putValue(storage.TerminalKey("j-1"), storage.TerminalRecord{State: state, TaskCount: 2})
		if i >= 2 {
			sim.store.overwriteValue(storage.JobKey("j-1"), `{}`)
		}
		sim.restartAllNodes(2 * time.Second)
		sim.waitForLeader()
		sim.advance(10 * time.Second)
		for _, node := range sim.names {
			if status, jobStatus := sim.queryJob(node, "j-1"); status != 200 || jobStatus.State != state {
				t.Errorf("query of j-1 at %s: got status %d, state %q; want 200, %q", node, status, jobStatus.State,
					state)
			}
		}
		if running := sim.activeTaskCount("j-1"); running != 0 {
			t.Errorf("%d tasks of j-1 run although the job is %s, want none", running, state)
		}
		if sim.store.keys[storage.JobKey("j-1")].ModRevision == 0 {
			t.Error("the open record of j-1 was deleted, want it kept")
		}
	}
}

// Many damaged records of each kind at once must neither crash a node nor hold up other jobs.
func TestManyDamagedRecords(t *testing.T) {
	sim, _ := newRunningSimulation(t, 3, 10*time.Second, 2, 4)
	for i := range 30 {
		sim.store.overwriteValue(storage.JobKey(fmt.Sprintf("j-x%d", i)), `{}`)
		sim.store.overwriteValue(storage.TerminalKey(fmt.Sprintf("j-y%d", i)), `[]`)
		sim.store.overwriteValue(storage.MachineGroupKey(100+i), `"?"`)
		sim.store.overwriteValue(storage.DependenciesKey(fmt.Sprintf("j-x%d", i), 0), `{}`)
	}
	sim.restartAllNodes(time.Second)
	leaderNode := sim.waitForLeader()
	sim.waitForJobState("j-1", protocol.JobDone, time.Minute)
	sim.submit(leaderNode.name, jobSpec("j-2", 8))
	sim.waitForJobState("j-2", protocol.JobDone, time.Minute)
	if got := leaderNode.leader.quarantine.RecordCount(); got != 60 {
		t.Errorf("the leader has quarantined %d records, want 60", got)
	}
	for _, node := range sim.names {
		if got := len(sim.nodes[node].unreadableTerminalRecords); got != 30 {
			t.Errorf("%s has quarantined %d terminal records, want 30", node, got)
		}
	}
	sim.checkStartedOnce()
}
