package controller

import (
	"fmt"
	"testing"
	"time"

	"hitchdoor/internal/cluster"
	"hitchdoor/internal/protocol"
)

// A machine whose reports arrive but which hears no answer gets no more work, and
// what waited for it runs elsewhere. Its fresh reports once kept tasks waiting on
// it for ever.
func TestMachineWithoutResponsesGetsNoWork(t *testing.T) {
	w := newSimulation(t, 1)
	l := w.waitForLeader()
	w.startMachines(2)
	w.taskDuration = func(string, int) time.Duration { return time.Hour }
	w.workers["m-000001"].dropResponses = true
	j := jobSpec("j-1", 60)
	j.EstimatedSeconds = 3600
	w.submit(l.name, j)
	w.advance(25 * time.Second)
	if got := w.activeTaskCount("j-1"); got != 60 {
		t.Fatalf("%d of 60 tasks run beside a deaf machine", got)
	}
	next := jobSpec("j-2", 4)
	next.EstimatedSeconds = 3600
	w.submit(l.name, next)
	if !w.advanceUntil(12*time.Second, func() bool { return w.activeTaskCount("j-2") == 4 }) {
		t.Fatalf("%d of 4 tasks run beside a deaf machine", w.activeTaskCount("j-2"))
	}
	if !w.advanceUntil(20*time.Second, func() bool { return w.cloud.hosts["m-000001"] == nil }) {
		t.Fatal("a deaf machine is kept")
	}
}

// What a deaf machine runs is free again once its lease is surely over, though it
// goes on reporting: answers that don't arrive renew nothing. Several at once.
func TestMachinesWithoutResponsesLoseTheirTasks(t *testing.T) {
	w, _ := newRunningSimulation(t, 3, 25*time.Second, 4, 12)
	w.cloud.rejectReturns = true
	for _, name := range []string{"m-000001", "m-000002"} {
		w.workers[name].dropResponses = true
	}
	w.waitForJobState("j-1", protocol.JobDone, 2*time.Minute)
}

// After a takeover a deaf machine must not hold up the older jobs: it never shows
// the new token, and each answer to it once put off the end of accounting.
func TestDeafMachineAcrossTakeover(t *testing.T) {
	w := newSimulation(t, 3)
	w.taskDuration = func(task string, _ int) time.Duration {
		if jobIDOf(task) == "j-1" {
			return 20 * time.Second
		}
		return 3 * time.Second
	}
	l := w.waitForLeader()
	w.submitAndStart(l.name, jobSpec("j-1", 6), 6)
	for _, x := range w.workers {
		x.dropResponses = true
		break
	}
	w.submit(l.name, jobSpec("j-2", 30))
	w.crashNode(l.name)
	w.advance(time.Second)
	next := w.waitForLeader()
	// Its reports all arrive at the new leader, as often as may be.
	for _, x := range w.workers {
		if x.dropResponses {
			x.node = next.name
			w.onHeartbeat = func(y *fakeWorker, _ *protocol.WorkerHeartbeat) {
				if y == x {
					x.node = next.name
				}
			}
		}
	}
	w.waitForJobState("j-2", protocol.JobDone, 50*time.Second)
	w.waitForJobState("j-1", protocol.JobDone, time.Minute)
}

// A machine that hears again after it was taken for deaf is safe: nothing of it
// runs twice, whether it has been returned or not.
func TestMachineReceivesResponsesAgain(t *testing.T) {
	w := newSimulation(t, 1)
	w.taskDuration = func(string, int) time.Duration { return 12 * time.Second }
	l := w.waitForLeader()
	w.submitAndStart(l.name, jobSpec("j-1", 4), 4)
	w.cloud.rejectReturns = true
	for _, x := range w.workers {
		x.dropResponses = true
	}
	w.advance(22 * time.Second)
	for _, x := range w.workers {
		x.dropResponses = false
	}
	w.cloud.rejectReturns = false
	w.waitForJobState("j-1", protocol.JobDone, 2*time.Minute)
}

// Late copies of reports arrive from seconds to well over a lease late: after
// newer ones, after the machine was returned, after a takeover by a leader that
// remembers nothing of it. None brings back a machine, a task or a quota.
func TestLateCopiesReviveNothing(t *testing.T) {
	w := newSimulation(t, 3)
	w.taskDuration = func(task string, _ int) time.Duration {
		if jobIDOf(task) == "j-2" {
			return time.Hour
		}
		return 15 * time.Second
	}
	w.waitForLeader()
	var seen []*protocol.WorkerHeartbeat
	w.onHeartbeat = func(_ *fakeWorker, rep *protocol.WorkerHeartbeat) {
		copied := *rep
		copied.Tasks = append([]protocol.TaskStatus(nil), rep.Tasks...)
		seen = append(seen, &copied)
	}
	j := jobSpec("j-1", 16)
	j.Team = "team" // its limit is 16 cores
	w.startMachines(5)
	w.submitAndStart(w.leaderName(), j, 16)
	w.waitForJobState("j-1", protocol.JobDone, time.Minute)
	// All machines are returned, and their records dropped.
	if !w.advanceUntil(5*time.Minute, func() bool { return len(w.workers) == 0 && len(w.nodes[w.leaderName()].leader.Machines) == 0 }) {
		t.Fatalf("machines are kept: %d", len(w.workers))
	}
	old := seen
	w.onHeartbeat = nil
	replay := func() {
		for i := range old {
			rep := *old[i]
			for _, name := range w.names {
				w.sendRequest(name, Request{Kind: protocol.RequestHeartbeat, Heartbeat: &rep}, func(Reply) {})
			}
		}
		w.advance(time.Second)
	}
	look := func(when string) {
		t.Helper()
		l := w.nodes[w.leaderName()].leader
		if c := l.CurrentMachineTotals(); c.Slots != 0 || c.UnknownUsage.Cores != 0 || !c.AllReconciled {
			t.Fatalf("%s: late copies count: %+v", when, c)
		}
		if u := l.TeamUsage["team"]; u.Cores != 0 {
			t.Fatalf("%s: late copies use %v cores of a quota", when, u.Cores)
		}
		for name, m := range l.Machines {
			if m.Schedulable() {
				t.Fatalf("%s: late copies make %s ready", when, name)
			}
		}
	}
	replay()
	look("same leader")
	w.crashNode(w.leaderName())
	w.advance(time.Second)
	w.waitForLeader()
	replay()
	look("after a takeover")
	// A job of the full quota starts as if nothing had come.
	j = jobSpec("j-2", 16)
	j.EstimatedSeconds = 3600
	j.Team = "team"
	w.submit(w.leaderName(), j)
	for i := range 30 {
		w.advance(time.Second)
		replay()
		if w.activeTaskCount("j-2") == 16 {
			return
		}
		if i == 29 {
			t.Fatalf("%d of 16 tasks started among late copies", w.activeTaskCount("j-2"))
		}
	}
}

// Copies that come while the machine lives, in any order and long after, neither
// bring back a task that has finished or moved, nor free one that runs.
func TestLateCopiesOfLivingMachines(t *testing.T) {
	w := newSimulation(t, 1)
	w.taskDuration = func(string, int) time.Duration { return 4 * time.Second }
	l := w.waitForLeader()
	count := 0
	w.onHeartbeat = func(x *fakeWorker, rep *protocol.WorkerHeartbeat) {
		count++
		copied := *rep
		copied.Tasks = append([]protocol.TaskStatus(nil), rep.Tasks...)
		for _, late := range []time.Duration{300 * time.Millisecond, 2 * time.Second, 9 * time.Second, 25 * time.Second} {
			w.schedule(late, func() {
				w.sendRequest(l.name, Request{Kind: protocol.RequestHeartbeat, Heartbeat: &copied}, func(r Reply) {
					if r.Status == 200 && (copied.Epoch < x.epoch || copied.Sequence < x.sequence-1) {
						t.Errorf("a copy %v late is answered 200", late)
					}
				})
			})
		}
	}
	for i := range 6 {
		w.submit(l.name, jobSpec(fmt.Sprintf("j-%d", i), 10))
		w.advance(5 * time.Second)
		if i == 2 {
			w.cancelJob(l.name, "j-2")
		}
	}
	w.advance(40 * time.Second)
	for i := range 6 {
		want := protocol.JobDone
		if i == 2 {
			want = protocol.JobCancelled
		}
		w.waitForJobState(fmt.Sprintf("j-%d", i), want, time.Minute)
	}
	w.checkStartedOnce()
	if count == 0 {
		t.Fatal("no copies were sent")
	}
}

// A machine that is back at once after an end, in a new session, loses what it ran and
// gets it again; it is not taken for one that hears nothing.
func TestMachineBackAtOnce(t *testing.T) {
	w := newSimulation(t, 1)
	w.taskDuration = func(string, int) time.Duration { return 20 * time.Second }
	l := w.waitForLeader()
	w.startMachines(1)
	w.cloud.capacity = 1
	w.submitAndStart(l.name, jobSpec("j-1", 4), 4)
	w.advance(10 * time.Second)
	x := w.workers["m-000001"]
	x.restartMachine()
	if !w.advanceUntil(3*time.Second, func() bool { return w.activeTaskCount("j-1") == 4 }) {
		t.Fatalf("%d of 4 tasks run again", w.activeTaskCount("j-1"))
	}
	w.waitForJobState("j-1", protocol.JobDone, 30*time.Second)
	if m := l.leader.Machines["m-000001"]; m == nil || m.DrainReason == cluster.CommandsUndelivered {
		t.Fatal("the machine is taken for deaf")
	}
}

// Machines that a leader loses sight of together are not returned one after the other
// before it shows how many they are, nor once they have spoken again.
func TestMachinesCutOffTogetherAreKept(t *testing.T) {
	w, l := newRunningSimulation(t, 3, time.Hour, 9, 36)
	held := len(w.cloud.hosts)
	cut := func(n int, apart time.Duration) {
		for i := range n {
			w.workers[fmt.Sprintf("m-%06d", i+1)].unreachable = true
			w.advance(apart)
		}
	}
	back := func() {
		for _, x := range w.workers {
			x.unreachable = false
		}
	}
	// Six of nine, not all at the same moment: fewer than half when the first are due.
	cut(6, 500*time.Millisecond)
	w.advance(8 * time.Second)
	back()
	w.advance(5 * time.Second)
	if len(w.cloud.hosts) < held {
		t.Fatalf("%d of %d machines are left after a cut of six", len(w.cloud.hosts), held)
	}
	// Three of nine, while the cloud is down.
	w.cloud.unavailable = true
	cut(3, 0)
	w.advance(10 * time.Second)
	if m := l.leader.Machines["m-000001"]; m.DrainReason != cluster.HeartbeatMissed {
		t.Fatalf("a silent machine is not to be returned (%q)", m.DrainReason)
	}
	l.leader.Machines["m-000003"].Unhealthy = true
	back()
	w.advance(4 * time.Second)
	if m := l.leader.Machines["m-000003"]; m.DrainReason != cluster.Unhealthy {
		t.Errorf("a sick machine that was silent is kept (%q)", m.DrainReason)
	}
	w.cloud.unavailable = false
	w.advance(10 * time.Second)
	if len(w.cloud.hosts) < held {
		t.Errorf("%d of %d machines are left after an outage of the cloud", len(w.cloud.hosts), held)
	}
	w.checkStartedOnce()
}

// A copy that was kept for the next leader, and reaches it before anything newer does,
// shows a task where it ran before it moved. The task goes on where it is: the copy once
// had it ended there.
func TestCopyKeptForTheNextLeader(t *testing.T) {
	for nodes := 1; nodes <= 7; nodes += 2 {
		for offset := range 12 {
			t.Run(fmt.Sprintf("%d nodes, offset %d", nodes, offset), func(t *testing.T) {
				t.Parallel()
				w := newSimulation(t, nodes)
				w.taskDuration = func(string, int) time.Duration { return 80 * time.Second }
				l := w.waitForLeader()
				w.startMachines(1)
				j := jobSpec("j-1", 4)
				j.EstimatedSeconds = 80
				w.submitAndStart(l.name, j, 4)
				kept := map[string]*protocol.WorkerHeartbeat{}
				w.onHeartbeat = func(x *fakeWorker, rep *protocol.WorkerHeartbeat) {
					if len(rep.Tasks) > 0 {
						copied := *rep
						kept[x.name] = &copied
					}
				}
				w.advance(4 * time.Second)
				// The cloud says that it takes the machines, so that their tasks move, but
				// neither takes them nor lets them be returned.
				w.cloud.rejectReturns = true
				soon := 30.0
				var old []*fakeWorker
				for _, x := range w.sortedWorkers() {
					x.preemptionNotice = &soon
					old = append(old, x)
				}
				w.onHeartbeat = nil
				if !w.advanceUntil(time.Minute, func() bool { return w.activeTaskCount("j-1") == 4 && len(old[0].tasks)+len(old[len(old)-1].tasks) == 0 }) {
					t.Fatal("the tasks don't run elsewhere")
				}
				w.advance(5 * time.Second)
				before, total := len(w.startCounts), w.totalStarts()
				w.restartAfter(w.leaderName(), 300*time.Millisecond)
				send := func() {
					for _, rep := range kept {
						for _, name := range w.names {
							again := *rep
							w.sendRequest(name, Request{Kind: protocol.RequestHeartbeat, Heartbeat: &again}, func(Reply) {})
						}
					}
				}
				w.advanceUntil(30*time.Second, func() bool { return w.leaderName() != "" })
				for i := range 8 {
					w.schedule(time.Duration(offset*i)*10*time.Millisecond, send)
				}
				w.advance(20 * time.Second)
				if now := w.totalStarts(); len(w.startCounts) != before || now != total || w.activeTaskCount("j-1") != 4 {
					t.Errorf("%d of 4 tasks run, %d starts after %d", w.activeTaskCount("j-1"), now, total)
				}
				w.cloud.rejectReturns = false
				w.waitForJobState("j-1", protocol.JobDone, 2*time.Minute)
			})
		}
	}
}
