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

// damage overwrites a stored value as no controller does, and returns how to undo that.
func (s *fakeState) damage(key, value string) (mend func()) {
	was, known := s.keys[key]
	set := func(value []byte) {
		s.rev++
		s.keys[key] = storage.Item{Key: key, Value: value, ModRevision: s.rev}
		s.log = append(s.log, storage.WatchEvent{PutKey: key, Value: value, ModRevision: s.rev})
		s.wake()
	}
	set([]byte(value))
	return func() {
		if known {
			set(was.Value)
			return
		}
		s.rev++
		s.drop(key)
	}
}

// keyOf finds the only key with a prefix.
func (s *fakeState) keyOf(t *testing.T, prefix string) string {
	t.Helper()
	for key := range s.keys {
		if strings.HasPrefix(key, prefix) {
			return key
		}
	}
	t.Fatalf("no key begins with %s", prefix)
	return ""
}

// endAll ends all controllers and lets them begin anew after a while.
func (w *simulation) endAll(away time.Duration) {
	for _, name := range w.names {
		w.crash(name)
	}
	w.run(away)
	for _, name := range w.names {
		w.restart(name)
	}
}

// A record that can't be read once had its job unknown to its users and its tasks started
// again, or the leader stepped down again and again as it wrote over it. It is set aside: never
// written, its job known and not started, its running tasks left alone; everything else goes on.
// Once it is mended, all is as if nothing had been.
func TestDamagedRecordIsSetAside(t *testing.T) {
	for name, x := range map[string]struct {
		key       func(w *simulation) string
		value     string
		rewritten bool // it may be written over: a forecast alone
		silent    bool // users of j-1 can only be told to come back
		frees     bool // j-1 itself is not held up by it
	}{
		"job unreadable":      {key: func(*simulation) string { return storage.JobKey("j-1") }, value: `{"spec":{"pecas":"x"}}`},
		"job of another key":  {key: func(*simulation) string { return storage.JobKey("j-1") }, value: `{"spec":{"uid":"j-7","pecas":4}}`},
		"job impossible":      {key: func(*simulation) string { return storage.JobKey("j-1") }, value: `{"spec":{"uid":"j-1","lote":"c","dono":"free","feitio":"batch","vez":"low","pecas":-4}}`},
		"job with needs":      {key: func(*simulation) string { return storage.JobKey("j-1") }, value: `{"spec":{"uid":"j-1","aguarda":7}}`, silent: true},
		"bitmap":              {key: func(*simulation) string { return storage.BitmapKey("j-1", 0) }, value: `{"b":"%%%"}`},
		"bitmap no object":    {key: func(*simulation) string { return storage.BitmapKey("j-1", 0) }, value: `[]`},
		"group":               {key: func(w *simulation) string { return w.state.keyOf(w.t, storage.MachineGroupPrefix) }, value: `"?"`, frees: true},
		"group entry":         {key: func(w *simulation) string { return w.state.keyOf(w.t, storage.MachineGroupPrefix) }, value: `{"m-000001":{"type":"c4","zone":"a","used":true},"m-000002":7}`, frees: true},
		"single machine":      {key: func(*simulation) string { return storage.SingleMachinePrefix + "m-000002" }, value: `"?"`, frees: true},
		"rental":              {key: func(*simulation) string { return storage.RentalPrefix + "r-1-99" }, value: `{"pedido":"r-1-98"}`, frees: true},
		"end of another":      {key: func(*simulation) string { return storage.TerminalKey("j-9") }, value: `{"state":"?"}`, frees: true},
		"forecast":            {key: func(*simulation) string { return storage.ArrivalForecastKey }, value: `"?"`, rewritten: true, frees: true},
		"needs of no job":     {key: func(*simulation) string { return storage.DependenciesKey("j-9", 0) }, value: `7`, frees: true},
		"a newer version's":   {key: func(*simulation) string { return storage.BitmapKey("j-1", 0) + "-x" }, value: `7`, frees: true},
		"unknown job's group": {key: func(*simulation) string { return storage.MachineGroupKey(77) }, value: `{"m-000099":{"type":"c9","zone":"a","used":true}}`, rewritten: true, frees: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newSimulation(t, 3)
			w.runTime = func(task string, _ int) time.Duration {
				if jobOf(task) == "j-1" && !strings.HasSuffix(task, "/0") {
					return 50 * time.Second
				}
				return 3 * time.Second
			}
			l := w.waitLeader()
			w.machines(2)
			j := spec("j-1", 4)
			j.EstimatedSeconds = 50
			w.submitAndStart(l.name, j, 4)
			if !w.until(20*time.Second, func() bool { return w.finished["j-1/0"] && w.state.keys[storage.BitmapKey("j-1", 0)].ModRevision > 0 }) {
				t.Fatal("no task is done")
			}
			w.run(time.Second)
			key := x.key(w)
			mend := w.state.damage(key, x.value)
			started := w.allStarts()
			w.endAll(2 * time.Second)
			l = w.waitLeader()
			w.submit(l.name, spec("j-2", 6))
			w.waitState("j-2", protocol.JobDone, 40*time.Second)
			if got := string(w.state.keys[key].Value); got != x.value && !x.rewritten {
				t.Errorf("the record is now %s", got)
			}
			for _, node := range w.names {
				status, s := w.query(node, "j-1")
				if x.silent && status != 503 || !x.silent && (status != 200 || s.State != protocol.JobQueued && s.State != protocol.JobRunning) {
					t.Errorf("%s says %d, %q of the job", node, status, s.State)
				}
				if reply := w.request(node, Request{Kind: protocol.RequestSubmit, JobID: "j-1", Job: &j}); reply.Status != 200 && !x.silent {
					t.Errorf("%s answers %d to the job's submission", node, reply.Status)
				}
			}
			if on := w.onMachines("j-1"); on != 3 || w.allStarts() != started+6 {
				t.Errorf("%d of 3 tasks go on, %d starts after %d", on, w.allStarts(), started)
			}
			w.run(30 * time.Second) // the tasks end; what they did is kept
			if !x.frees && w.final("j-1") != "" {
				t.Errorf("the job is %s by its record", w.final("j-1"))
			}
			if w.leader() != l.name {
				t.Error("the leader has changed")
			}
			mend()
			w.waitState("j-1", protocol.JobDone, 60*time.Second)
			w.startedOnce()
		})
	}
}

// A job that is open by one record, be that readable or not, and over by another is over, on every
// node, and its tasks are stopped.
func TestOpenAndOverIsOver(t *testing.T) {
	for i, state := range []protocol.JobState{protocol.JobDone, protocol.JobCancelled, protocol.JobDone, protocol.JobCancelled} {
		w, _ := running(t, 3, time.Hour, 1, 2)
		for i := range 2 {
			w.finished[cluster.TaskKey("j-1", i)] = state == protocol.JobDone
		}
		w.asked["j-1"] = true
		w.state.put(storage.TerminalKey("j-1"), storage.TerminalRecord{State: state, TaskCount: 2})
		if i >= 2 {
			w.state.damage(storage.JobKey("j-1"), `{}`)
		}
		w.endAll(2 * time.Second)
		w.waitLeader()
		w.run(10 * time.Second)
		for _, node := range w.names {
			if status, s := w.query(node, "j-1"); status != 200 || s.State != state {
				t.Errorf("%s: %d, %q, not %q", node, status, s.State, state)
			}
		}
		if on := w.onMachines("j-1"); on != 0 {
			t.Errorf("%d tasks go on of a job that is %s", on, state)
		}
		if w.state.keys[storage.JobKey("j-1")].ModRevision == 0 {
			t.Error("the open record was deleted")
		}
	}
}

// Many damaged records of each kind at once: no node ends, and nothing else is held up.
func TestManyDamagedRecords(t *testing.T) {
	w, _ := running(t, 3, 10*time.Second, 2, 4)
	for i := range 30 {
		w.state.damage(storage.JobKey(fmt.Sprintf("j-x%d", i)), `{}`)
		w.state.damage(storage.TerminalKey(fmt.Sprintf("j-y%d", i)), `[]`)
		w.state.damage(storage.MachineGroupKey(100+i), `"?"`)
		w.state.damage(storage.DependenciesKey(fmt.Sprintf("j-x%d", i), 0), `{}`)
	}
	w.endAll(time.Second)
	l := w.waitLeader()
	w.waitState("j-1", protocol.JobDone, time.Minute)
	w.submit(l.name, spec("j-2", 8))
	w.waitState("j-2", protocol.JobDone, time.Minute)
	if got := l.leader.quarantine.RecordCount(); got != 60 {
		t.Errorf("%d of 60 records are set aside", got)
	}
	for _, node := range w.names {
		if got := len(w.nodes[node].unreadableTerminalRecords); got != 30 {
			t.Errorf("%s: %d of 30 records of ends are set aside", node, got)
		}
	}
	w.startedOnce()
}
