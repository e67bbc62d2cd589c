package controller

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"hitchdoor/internal/admission"
	"hitchdoor/internal/admissioncontrol"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// newOverloadedSimulation returns a cluster that can accept some three submissions a second, with
// or without admission by policy.
func newOverloadedSimulation(t *testing.T, nodes int, fair bool) *userSimulation {
	t.Helper()
	sim := newSimulation(t, nodes)
	sim.fairAdmission = fair
	sim.cfg.Store.WritesPerS = 12
	sim.store.limitWriteRate = true
	sim.taskDuration = func(string, int) time.Duration { return time.Second }
	for _, name := range sim.names {
		sim.startNode(name)
	}
	sim.waitForLeader()
	sim.startMachines(4)
	sim.waitForNewVersion()
	return newUserSimulation(sim, 1)
}

// lateRetryDelay is by how much some users exceed the Retry-After they were given.
const lateRetryDelay = 3 * time.Second

// retryTiming returns after which delay a user retries, given the Retry-After of a rejection.
type retryTiming func(retryAfter time.Duration) time.Duration

func retryOnTime(d time.Duration) time.Duration     { return d }
func retryEarly(d time.Duration) time.Duration      { return max(time.Second, d/2) }
func retryLate(d time.Duration) time.Duration       { return d + lateRetryDelay }
func retryAtOnce(time.Duration) time.Duration       { return time.Second }
func clampRetryDelay(d time.Duration) time.Duration { return min(30*time.Second, max(time.Second, d)) }

// submitters are users who submit jobs at random nodes; it records the outcome of each job.
type submitters struct {
	*userSimulation
	acceptanceDelays map[string]time.Duration // until the first reply that the job is accepted, by job
	gaveUp           map[string]bool
	createdCounts    map[string]int // replies with status 201, by job
}

func newSubmitters(c *userSimulation) *submitters {
	return &submitters{userSimulation: c, acceptanceDelays: map[string]time.Duration{},
		gaveUp: map[string]bool{}, createdCounts: map[string]int{}}
}

// submit submits a job and retries, at the times that timing gives, until the job is accepted or
// the retry window of users has passed.
func (a *submitters) submit(job protocol.Job, timing retryTiming) {
	startedAt := a.now
	var try func()
	try = func() {
		a.sendUserRequest(Request{Kind: protocol.RequestSubmit, JobID: job.ID, Job: &job}, func(r Reply) {
			switch {
			case r.Status == 201 || r.Status == 200:
				if r.Status == 201 {
					a.createdCounts[job.ID]++
				}
				a.acceptanceDelays[job.ID] = a.now - startedAt
			case r.Status != 503 && r.Status != 0:
				a.t.Errorf("%s: %d", job.ID, r.Status)
			case a.now-startedAt > protocol.SubmissionRetryWindow:
				a.gaveUp[job.ID] = true
			default:
				a.schedule(clampRetryDelay(timing(time.Duration(r.RetryAfter)*time.Second)), try)
			}
		})
	}
	try()
}

// classJob returns a one-task job of a class and priority.
func (a *submitters) classJob(class, priority string, i int) protocol.Job {
	job := jobSpec(fmt.Sprintf("j-%s-%d", class, i), 1)
	job.Class, job.Priority = class, protocol.Priority(priority)
	return job
}

// longestWait returns the longest acceptance delay of a class. Users who gave up count as an hour,
// which fails every bound.
func (a *submitters) longestWait(class string, jobs int) time.Duration {
	longest := time.Duration(0)
	for i := range jobs {
		id := fmt.Sprintf("j-%s-%d", class, i)
		waited, accepted := a.acceptanceDelays[id]
		if !accepted {
			return time.Hour
		}
		longest = max(longest, waited)
	}
	return longest
}

// Bursts of three classes reach three controllers within a millisecond. No controller accepts a job
// that the policy does not admit (the invariant checker evaluates each accepting transaction). The
// urgent class has the shortest delay, each class is accepted within the users' retry window, and
// the policy ends afterwards.
func TestBurstAtAllControllers(t *testing.T) {
	c := newOverloadedSimulation(t, 3, true)
	a := newSubmitters(c)
	for i := range 40 {
		a.submit(a.classJob("low", "low", i), retryOnTime)
		if i < 15 {
			a.submit(a.classJob("urgent", "urgent", i), retryOnTime)
		}
		if i < 25 {
			a.submit(a.classJob("standard", "standard", i), retryOnTime)
		}
	}
	if !c.advanceUntil(20*time.Second, func() bool { return len(c.acceptancesByEpoch) >= 2 }) {
		t.Fatal("no admission by policy")
	}
	c.advance(80 * time.Second)
	urgent, low := a.longestWait("urgent", 15), a.longestWait("low", 40)
	if standard := a.longestWait("standard", 25); urgent > 30*time.Second ||
		standard > protocol.SubmissionRetryWindow || low > protocol.SubmissionRetryWindow {
		t.Errorf("urgent work waited for %v, standard for %v, low for %v", urgent, standard, low)
	}
	if _, left := c.store.keys[storage.AdmissionPolicyKey]; left {
		t.Error("the policy did not end")
	}
	c.waitForCompletion(5 * time.Minute)
}

// Without overload no policy is written, and a submission costs no additional read.
func TestNoOverloadNoPolicy(t *testing.T) {
	c := newOverloadedSimulation(t, 3, true)
	a := newSubmitters(c)
	for i := range 30 {
		c.schedule(time.Duration(i)*time.Second, func() { a.submit(a.classJob("calm", "low", i), retryOnTime) })
	}
	c.advance(40 * time.Second)
	for _, e := range c.store.eventLog {
		if e.PutKey == storage.AdmissionPolicyKey {
			t.Fatal("a policy was published")
		}
	}
	if waited := a.longestWait("calm", 30); waited > time.Second {
		t.Errorf("a user waited for %v", waited)
	}
}

// Users who retry early, some seconds late or repeatedly are admitted nevertheless, and none gains
// an advantage by it.
func TestRetryTimingGainsNothing(t *testing.T) {
	c := newOverloadedSimulation(t, 3, true)
	a := newSubmitters(c)
	backs := map[string]retryTiming{"in-time": retryOnTime, "early": retryEarly, "late": retryLate,
		"impatient": retryAtOnce}
	order := slices.Sorted(maps.Keys(backs))
	for i := range 25 {
		for k := range order {
			class := order[(i+k)%len(order)]
			job := a.classJob(class, "standard", i)
			job.Class = "c" // one admission group: the name only distinguishes the users
			a.submit(job, backs[class])
		}
	}
	c.advance(80 * time.Second)
	means := map[string]time.Duration{}
	for class := range backs {
		if waited := a.longestWait(class, 25); waited > protocol.SubmissionRetryWindow+5*time.Second {
			t.Errorf("a user of %q waited for %v", class, waited)
		}
		for i := range 25 {
			means[class] += a.acceptanceDelays[fmt.Sprintf("j-%s-%d", class, i)] / 25
		}
	}
	inTime := means["in-time"]
	for class, mean := range means {
		longest := 2 * inTime
		if class == "late" {
			longest = inTime + 4*lateRetryDelay // its own delay, for a few retries
		}
		if mean < inTime/2 || mean > longest {
			t.Errorf("mean waits: %q %v, in time %v", class, mean, inTime)
		}
	}
}

// One job id is submitted at all controllers at once, and again later, while a policy is in force:
// it is accepted exactly once, and known from then on.
func TestSameJobAtAllControllers(t *testing.T) {
	c := newOverloadedSimulation(t, 3, true)
	a := newSubmitters(c)
	for i := range 60 {
		a.submit(a.classJob("flood", "standard", i), retryOnTime)
	}
	c.advance(10 * time.Second)
	if c.nodes[c.leaderName()].admissionPolicy.Current == nil {
		t.Fatal("no policy holds")
	}
	for i := range 12 {
		job := a.classJob("same", "standard", i)
		for range 6 {
			a.submit(job, retryOnTime)
		}
		c.schedule(30*time.Second, func() { a.submit(job, retryOnTime) })
	}
	c.advance(100 * time.Second)
	for id, times := range a.createdCounts {
		if times > 1 {
			t.Errorf("%s was accepted %d times", id, times)
		}
	}
	if waited := a.longestWait("same", 12); waited > protocol.SubmissionRetryWindow+5*time.Second {
		t.Errorf("waited for %v", waited)
	}
	c.waitForCompletion(5 * time.Minute)
}

// The leader crashes, pauses, is isolated or refused by the store, or its transactions execute
// late, at any moment of an epoch: nothing is accepted against the policy in force, no accepted job
// is forgotten, and the policy ends once the faults have ended.
func TestPolicyUnderFaults(t *testing.T) {
	faults := map[string]func(c *userSimulation, leader string){
		"ends": func(c *userSimulation, leader string) { c.restartAfter(leader, 200*time.Millisecond) },
		"all end": func(c *userSimulation, _ string) {
			for _, n := range c.names {
				c.restartAfter(n, 3*time.Second)
			}
		},
		"stands still": func(c *userSimulation, leader string) { c.nodes[leader].pauseBeforeEffects = 12 * time.Second },
		"refused": func(c *userSimulation, leader string) {
			c.store.refusedNodes[leader] = true
			c.schedule(20*time.Second, func() { delete(c.store.refusedNodes, leader) })
		},
		"half cut": func(c *userSimulation, leader string) {
			c.store.requestsDropped[leader] = true
			c.isolateNode(leader)
			c.schedule(20*time.Second, func() { delete(c.store.requestsDropped, leader); c.healCuts() })
		},
		"outage": func(c *userSimulation, _ string) {
			c.store.setDown(true)
			c.schedule(15*time.Second, func() { c.store.setDown(false) })
		},
		"late": func(c *userSimulation, _ string) {
			c.store.lateExecution = func() (time.Duration, bool) {
				return 2*time.Second + c.randomDuration(10*time.Second), c.rng.IntN(4) == 0
			}
			c.schedule(20*time.Second, func() { c.store.lateExecution = nil })
		},
	}
	for name, inject := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for offset := range 3 {
				c := newOverloadedSimulation(t, 3, true)
				c.rng.Uint64()
				a := newSubmitters(c)
				for i := range 70 {
					c.schedule(c.randomDuration(5*time.Second), func() {
						a.submit(a.classJob([]string{"x", "y"}[i%2], []string{"urgent", "low"}[i%2], i), retryOnTime)
					})
				}
				if !c.advanceUntil(30*time.Second, func() bool { return len(c.acceptancesByEpoch) > 0 }) {
					t.Fatal("no admission by policy")
				}
				c.advance(time.Duration(offset) * 1234 * time.Millisecond)
				inject(c, c.leaderName())
				c.advance(45 * time.Second)
				c.waitForCompletion(5 * time.Minute)
				if !c.advanceUntil(time.Minute,
					func() bool { _, left := c.store.keys[storage.AdmissionPolicyKey]; return !left }) {
					t.Error("the policy did not end")
				}
			}
		})
	}
}

// An admission record that is not a valid policy is logged once. Submissions get 503 with
// Retry-After while it exists, accepted jobs stay known, and the leader removes it.
func TestInvalidPolicy(t *testing.T) {
	for _, fair := range []bool{false, true} {
		testInvalidPolicy(t, fair)
	}
}

func testInvalidPolicy(t *testing.T, fair bool) {
	t.Helper()
	c := newOverloadedSimulation(t, 3, fair)
	c.submitAccepted(c.leaderName(), jobSpec("j-known", 1))
	for _, value := range []any{"no policy",
		map[string]any{"epoch": 3, "lengthMs": 5, "rest": map[string]any{"steps": []int{0}}}} {
		c.store.putValue(storage.AdmissionPolicyKey, value)
		if r := c.submit(c.followers()[0], jobSpec("j-new", 1)); r.Status != 503 || r.RetryAfter == 0 {
			t.Errorf("%v: %d, Retry-After %d", value, r.Status, r.RetryAfter)
		}
		if r := c.submit(c.followers()[0], jobSpec("j-known", 1)); r.Status != 200 {
			t.Errorf("%v: a known job gets %d", value, r.Status)
		}
		c.store.eventLog = nil
		c.crashNode(c.leaderName())
		c.advance(10 * time.Second)
		c.restartNode(c.names[0])
		c.restartNode(c.names[1])
		c.restartNode(c.names[2])
		c.waitForLeader()
		if !c.advanceUntil(20*time.Second,
			func() bool { _, left := c.store.keys[storage.AdmissionPolicyKey]; return !left }) {
			t.Fatalf("%v: it is left", value)
		}
	}
	if r := c.submit(c.leaderName(), jobSpec("j-new", 1)); r.Status != 201 {
		t.Errorf("afterwards: %d", r.Status)
	}
}

// No policy is published until every node supports it. A node that returns to an earlier version
// ends the policy: its acceptances violate no invariant, but they follow no policy.
func TestPolicyNeedsAllNodes(t *testing.T) {
	c := newOverloadedSimulation(t, 3, true)
	follower := c.followers()[0]
	flood := func(class string) {
		a := newSubmitters(c)
		for i := range 200 {
			a.submit(a.classJob(class, "standard", i), retryOnTime)
		}
	}
	flood("first")
	if !c.advanceUntil(20*time.Second, func() bool { return len(c.acceptancesByEpoch) > 0 }) {
		t.Fatal("no policy, though all understand it")
	}
	c.oldVersionNodes[follower] = true
	c.restartAfter(follower, step)
	c.advance(2 * c.nodes[c.names[0]].admissionPolicy.EpochLength())
	if _, left := c.store.keys[storage.AdmissionPolicyKey]; left {
		t.Error("the policy stands beside a node that does not know it")
	}
	clear(c.acceptancesByEpoch)
	flood("second")
	c.advance(20 * time.Second)
	if len(c.acceptancesByEpoch) > 0 {
		t.Error("a policy is published beside a node that does not know it")
	}
	c.waitForCompletion(5 * time.Minute)
}

// A policy waits for nodes that have never announced support for it, also while they are down.
func TestPolicyWaitsForUnannouncedNodes(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.fairAdmission = true
	sim.cfg.Store.WritesPerS = 12
	sim.store.limitWriteRate = true
	sim.oldVersionNodes["n2"] = true
	for _, name := range sim.names {
		sim.startNode(name)
	}
	sim.crashNode("n2")
	sim.waitForLeader()
	a := newSubmitters(newUserSimulation(sim, 1))
	for i := range 200 {
		a.submit(a.classJob("flood", "standard", i), retryOnTime)
	}
	sim.advance(20 * time.Second)
	if len(sim.acceptancesByEpoch) > 0 {
		t.Error("a policy is published that a node may not know")
	}
}

// Submissions at all nodes exceed many times what the store accepts. The leader's transactions have
// more writes than those that accept jobs, and the first policy is still written between them.
func TestFirstPolicyIsWrittenUnderOverload(t *testing.T) {
	c := newOverloadedSimulation(t, 5, true)
	a := newSubmitters(c)
	for i := range 600 {
		c.schedule(time.Duration(i)*20*time.Millisecond,
			func() { a.submit(a.classJob("flood", "standard", i), retryAtOnce) })
	}
	if !c.advanceUntil(4*c.nodes["n0"].admissionPolicy.EpochLength(),
		func() bool { return len(c.acceptancesByEpoch) > 0 }) {
		t.Error("no policy in four epochs")
	}
}

// A node that evaluates submissions by an outdated policy detects it by the failed condition of its
// transaction and evaluates again at once. Policies that it reads out of order change nothing.
func TestStalePolicyIsDetected(t *testing.T) {
	c := newOverloadedSimulation(t, 3, false)
	f := c.nodes[c.followers()[0]]
	all := &admission.Policy{Epoch: 5, EpochLengthMS: 3500, DefaultShare: admission.FullShare(admission.Group{})}
	raw := storage.Encode(all)
	f.admissionPolicy.ApplyRecord(storage.Item{Key: storage.AdmissionPolicyKey, Value: raw,
		ModRevision: c.store.revision})
	if r := c.submit(f.name, jobSpec("j-1", 1)); r.Status != 201 || f.admissionPolicy.Current != nil {
		t.Errorf("answered %d, judges by %+v", r.Status, f.admissionPolicy.Current)
	}
	f.admissionPolicy.NoteRemoved(9_001)
	f.admissionPolicy.ApplyRecord(storage.Item{Key: storage.AdmissionPolicyKey, Value: raw, ModRevision: 9_000})
	if f.admissionPolicy.Current != nil {
		t.Error("an older answer is taken")
	}
	for _, n := range c.nodes {
		n.admissionPolicy.PolicyRecord = admissioncontrol.PolicyRecord{Current: all, Version: 8, Revision: 8}
	}
	c.crashNode(c.leaderName())
	if leaderNode := c.waitForLeader(); leaderNode.admissionPolicy.Current != nil {
		t.Error("a new leader goes on from a policy that has ended")
	}
}

// An accepted job is known at every node although the present policy would reject it, and loads
// that were measured under another policy don't count for the present one.
func TestAcceptedJobStaysKnown(t *testing.T) {
	c := newOverloadedSimulation(t, 3, false)
	c.submitAccepted(c.leaderName(), jobSpec("j-1", 1))
	c.advance(time.Second)
	none := &admission.Policy{Epoch: 5, EpochLengthMS: 3500,
		DefaultShare: admission.Share{Tail: admission.Position("j-1") + 1, Steps: []uint64{1}}}
	c.store.putValue(storage.AdmissionPolicyKey, none)
	version := c.store.keys[storage.AdmissionPolicyKey].ModRevision
	for _, name := range c.names {
		n := c.nodes[name]
		n.admissionPolicy.ApplyRecord(c.store.keys[storage.AdmissionPolicyKey])
		if n.leader != nil {
			n.leader.admission.EpochStartedAt = n.now + time.Hour // keeps the policy unchanged
			clear(n.leader.admission.EpochLoads)
			n.leader.admission.AddNodeLoad(protocol.AdmissionLoad{PolicyRevision: version - 1,
				Groups: []protocol.GroupLoad{{Team: "t", Class: "c", RejectedForCapacity: 9}}})
			if len(n.leader.admission.EpochLoads) > 0 {
				t.Error("loads of another policy count")
			}
		}
		if r := c.submit(name, jobSpec("j-1", 1)); r.Status != 200 {
			t.Errorf("%s: a known job gets %d", name, r.Status)
		}
		if r := c.submit(name, jobSpec("j-2", 1)); r.Status != 503 || r.RetryAfter < 30 {
			t.Errorf("%s: an unknown one gets %d, Retry-After %d", name, r.Status, r.RetryAfter)
		}
	}
}

// With many jobs open, the memory limit lowers the capacity of an epoch before any node rejects a
// job for lack of memory.
func TestCapacityFollowsMemory(t *testing.T) {
	sim := newSimulation(t, 1)
	l := sim.waitForLeader().leader
	free := l.admission.EpochCapacity()
	if free.MemoryLimited || free.Jobs <= 0 {
		t.Errorf("without jobs: %+v", free)
	}
	most := int(admissioncontrol.OpenJobsMemoryShare * sim.cfg.Resources.MemoryMB * (1 << 20) / admissioncontrol.OpenJobBytes)
	for i := range most - 20 {
		l.Jobs[fmt.Sprintf("j-%d", i)] = nil
	}
	if c := l.admission.EpochCapacity(); !c.MemoryLimited || c.Jobs >= free.Jobs || c.Jobs < 1 {
		t.Errorf("with %d jobs: %+v", most-20, c)
	}
}
