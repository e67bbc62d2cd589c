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

// overloaded is a cluster that takes some three submissions a second, with admission by
// policy, or without.
func overloaded(t *testing.T, nodes int, fair bool) *userSimulation {
	t.Helper()
	w := newSimulation(t, nodes)
	w.fair = fair
	w.cfg.Store.WritesPerS = 12
	w.state.limited = true
	w.runTime = func(string, int) time.Duration { return time.Second }
	for _, name := range w.names {
		w.start(name)
	}
	w.waitLeader()
	w.machines(4)
	w.allNew()
	return newUserSimulation(w, 1)
}

// lateBy is by how much some users come late.
const lateBy = 3 * time.Second

// manners are how a user comes back after a refusal.
type manners func(retryAfter time.Duration) time.Duration

func inTime(d time.Duration) time.Duration   { return d }
func early(d time.Duration) time.Duration    { return max(time.Second, d/2) }
func late(d time.Duration) time.Duration     { return d + lateBy }
func impatient(time.Duration) time.Duration  { return time.Second }
func userRule(d time.Duration) time.Duration { return min(30*time.Second, max(time.Second, d)) }

// applicants are users who submit at any node, and what became of them.
type applicants struct {
	*userSimulation
	waited  map[string]time.Duration // until they were told that their job is accepted
	gaveUp  map[string]bool
	created map[string]int // 201s, by job
}

func newApplicants(c *userSimulation) *applicants {
	return &applicants{userSimulation: c, waited: map[string]time.Duration{}, gaveUp: map[string]bool{}, created: map[string]int{}}
}

// submit lets a user submit a job for as long as users do.
func (a *applicants) submit(j protocol.Job, back manners) {
	began := a.now
	var try func()
	try = func() {
		a.user(Request{Kind: protocol.RequestSubmit, JobID: j.ID, Job: &j}, func(r Reply) {
			switch {
			case r.Status == 201 || r.Status == 200:
				if r.Status == 201 {
					a.created[j.ID]++
				}
				a.waited[j.ID] = a.now - began
			case r.Status != 503 && r.Status != 0:
				a.t.Errorf("%s: %d", j.ID, r.Status)
			case a.now-began > protocol.SubmissionRetryWindow:
				a.gaveUp[j.ID] = true
			default:
				a.after(userRule(back(time.Duration(r.RetryAfter)*time.Second)), try)
			}
		})
	}
	try()
}

// job is a job of a class, as urgent as it says.
func (a *applicants) job(class, priority string, i int) protocol.Job {
	j := spec(fmt.Sprintf("j-%s-%d", class, i), 1)
	j.Class, j.Priority = class, protocol.Priority(priority)
	return j
}

// longest is how long a user of a class waited at most; those who gave up count as never.
func (a *applicants) longest(class string, jobs int) time.Duration {
	longest := time.Duration(0)
	for i := range jobs {
		id := fmt.Sprintf("j-%s-%d", class, i)
		waited, accepted := a.waited[id]
		if !accepted {
			return time.Hour
		}
		longest = max(longest, waited)
	}
	return longest
}

// Bursts of three classes reach three controllers within a millisecond. No controller accepts
// what the policy does not admit (the invariant checker looks at each acceptance); the urgent
// class waits least, each class waits less than users do, and the policy ends afterwards.
func TestBurstAtAllControllers(t *testing.T) {
	c := overloaded(t, 3, true)
	a := newApplicants(c)
	for i := range 40 {
		a.submit(a.job("low", "low", i), inTime)
		if i < 15 {
			a.submit(a.job("urgent", "urgent", i), inTime)
		}
		if i < 25 {
			a.submit(a.job("standard", "standard", i), inTime)
		}
	}
	if !c.until(20*time.Second, func() bool { return len(c.judged) >= 2 }) {
		t.Fatal("no admission by policy")
	}
	c.run(80 * time.Second)
	urgent, low := a.longest("urgent", 15), a.longest("low", 40)
	if standard := a.longest("standard", 25); urgent > 30*time.Second || standard > protocol.SubmissionRetryWindow || low > protocol.SubmissionRetryWindow {
		t.Errorf("urgent work waited for %v, standard for %v, low for %v", urgent, standard, low)
	}
	if _, left := c.state.keys[storage.AdmissionPolicyKey]; left {
		t.Error("the policy did not end")
	}
	c.settle(5 * time.Minute)
}

// Without overload nothing is written, and no submission is read for.
func TestNoOverloadNoPolicy(t *testing.T) {
	c := overloaded(t, 3, true)
	a := newApplicants(c)
	for i := range 30 {
		c.after(time.Duration(i)*time.Second, func() { a.submit(a.job("calm", "low", i), inTime) })
	}
	c.run(40 * time.Second)
	for _, e := range c.state.log {
		if e.PutKey == storage.AdmissionPolicyKey {
			t.Fatal("a policy was published")
		}
	}
	if w := a.longest("calm", 30); w > time.Second {
		t.Errorf("a user waited for %v", w)
	}
}

// Users who come early, late by some seconds, or again and again get their turn all the same,
// and none of them goes first for it.
func TestMannersGainNothing(t *testing.T) {
	c := overloaded(t, 3, true)
	a := newApplicants(c)
	backs := map[string]manners{"in-time": inTime, "early": early, "late": late, "impatient": impatient}
	order := slices.Sorted(maps.Keys(backs))
	for i := range 25 {
		for k := range order {
			class := order[(i+k)%len(order)]
			j := a.job(class, "standard", i)
			j.Class = "c" // one group: the name only tells the users apart
			a.submit(j, backs[class])
		}
	}
	c.run(80 * time.Second)
	means := map[string]time.Duration{}
	for class := range backs {
		if w := a.longest(class, 25); w > protocol.SubmissionRetryWindow+5*time.Second {
			t.Errorf("a user of %q waited for %v", class, w)
		}
		for i := range 25 {
			means[class] += a.waited[fmt.Sprintf("j-%s-%d", class, i)] / 25
		}
	}
	inTime := means["in-time"]
	for class, mean := range means {
		longest := 2 * inTime
		if class == "late" {
			longest = inTime + 4*lateBy // by as much as it comes late itself, a few times
		}
		if mean < inTime/2 || mean > longest {
			t.Errorf("mean waits: %q %v, in time %v", class, mean, inTime)
		}
	}
}

// One id is submitted at all controllers at once, and again later, while a policy holds: it
// is accepted once, and from then on known.
func TestSameJobAtAllControllers(t *testing.T) {
	c := overloaded(t, 3, true)
	a := newApplicants(c)
	for i := range 60 {
		a.submit(a.job("flood", "standard", i), inTime)
	}
	c.run(10 * time.Second)
	if c.nodes[c.leader()].admissionPolicy.Current == nil {
		t.Fatal("no policy holds")
	}
	for i := range 12 {
		j := a.job("same", "standard", i)
		for range 6 {
			a.submit(j, inTime)
		}
		c.after(30*time.Second, func() { a.submit(j, inTime) })
	}
	c.run(100 * time.Second)
	for id, times := range a.created {
		if times > 1 {
			t.Errorf("%s was accepted %d times", id, times)
		}
	}
	if w := a.longest("same", 12); w > protocol.SubmissionRetryWindow+5*time.Second {
		t.Errorf("waited for %v", w)
	}
	c.settle(5 * time.Minute)
}

// The leader ends, stands still, is cut off or refused, or its transactions come late, at any
// moment of an epoch: nothing is accepted against the policy in force, nothing accepted is
// forgotten, and once the troubles are over the policy ends.
func TestPolicyMeetsTroubles(t *testing.T) {
	troubles := map[string]func(c *userSimulation, leader string){
		"ends": func(c *userSimulation, leader string) { c.back(leader, 200*time.Millisecond) },
		"all end": func(c *userSimulation, _ string) {
			for _, n := range c.names {
				c.back(n, 3*time.Second)
			}
		},
		"stands still": func(c *userSimulation, leader string) { c.nodes[leader].stall = 12 * time.Second },
		"refused": func(c *userSimulation, leader string) {
			c.state.refuse[leader] = true
			c.after(20*time.Second, func() { delete(c.state.refuse, leader) })
		},
		"half cut": func(c *userSimulation, leader string) {
			c.state.lost[leader] = true
			c.cutOff(leader)
			c.after(20*time.Second, func() { delete(c.state.lost, leader); c.mend() })
		},
		"outage": func(c *userSimulation, _ string) {
			c.state.setDown(true)
			c.after(15*time.Second, func() { c.state.setDown(false) })
		},
		"late": func(c *userSimulation, _ string) {
			c.state.late = func() (time.Duration, bool) { return 2*time.Second + c.within(10*time.Second), c.rng.IntN(4) == 0 }
			c.after(20*time.Second, func() { c.state.late = nil })
		},
	}
	for name, trouble := range troubles {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for offset := range 3 {
				c := overloaded(t, 3, true)
				c.rng.Uint64()
				a := newApplicants(c)
				for i := range 70 {
					c.after(c.within(5*time.Second), func() {
						a.submit(a.job([]string{"x", "y"}[i%2], []string{"urgent", "low"}[i%2], i), inTime)
					})
				}
				if !c.until(30*time.Second, func() bool { return len(c.judged) > 0 }) {
					t.Fatal("no admission by policy")
				}
				c.run(time.Duration(offset) * 1234 * time.Millisecond)
				trouble(c, c.leader())
				c.run(45 * time.Second)
				c.settle(5 * time.Minute)
				if !c.until(time.Minute, func() bool { _, left := c.state.keys[storage.AdmissionPolicyKey]; return !left }) {
					t.Error("the policy did not end")
				}
			}
		})
	}
}

// A record that is no policy is named once, submissions get an honest 503 while it stands,
// what was accepted is known, and the leader removes it.
func TestInvalidPolicy(t *testing.T) {
	for _, fair := range []bool{false, true} {
		testInvalidPolicy(t, fair)
	}
}

func testInvalidPolicy(t *testing.T, fair bool) {
	t.Helper()
	c := overloaded(t, 3, fair)
	c.accept(c.leader(), spec("j-known", 1))
	for _, value := range []any{"no policy", map[string]any{"epoch": 3, "lengthMs": 5, "rest": map[string]any{"steps": []int{0}}}} {
		c.state.put(storage.AdmissionPolicyKey, value)
		if r := c.submit(c.followers()[0], spec("j-new", 1)); r.Status != 503 || r.RetryAfter == 0 {
			t.Errorf("%v: %d, Retry-After %d", value, r.Status, r.RetryAfter)
		}
		if r := c.submit(c.followers()[0], spec("j-known", 1)); r.Status != 200 {
			t.Errorf("%v: a known job gets %d", value, r.Status)
		}
		c.state.log = nil
		c.crash(c.leader())
		c.run(10 * time.Second)
		c.restart(c.names[0])
		c.restart(c.names[1])
		c.restart(c.names[2])
		c.waitLeader()
		if !c.until(20*time.Second, func() bool { _, left := c.state.keys[storage.AdmissionPolicyKey]; return !left }) {
			t.Fatalf("%v: it is left", value)
		}
	}
	if r := c.submit(c.leader(), spec("j-new", 1)); r.Status != 201 {
		t.Errorf("afterwards: %d", r.Status)
	}
}

// No policy is published until every node understands it, and one that has gone back to an
// earlier version ends it: its acceptances break no rule, they only obey no policy.
func TestPolicyNeedsAllNodes(t *testing.T) {
	c := overloaded(t, 3, true)
	follower := c.followers()[0]
	flood := func(class string) {
		a := newApplicants(c)
		for i := range 200 {
			a.submit(a.job(class, "standard", i), inTime)
		}
	}
	flood("first")
	if !c.until(20*time.Second, func() bool { return len(c.judged) > 0 }) {
		t.Fatal("no policy, though all understand it")
	}
	c.old[follower] = true
	c.back(follower, step)
	c.run(2 * c.nodes[c.names[0]].admissionPolicy.EpochLength())
	if _, left := c.state.keys[storage.AdmissionPolicyKey]; left {
		t.Error("the policy stands beside a node that does not know it")
	}
	clear(c.judged)
	flood("second")
	c.run(20 * time.Second)
	if len(c.judged) > 0 {
		t.Error("a policy is published beside a node that does not know it")
	}
	c.settle(5 * time.Minute)
}

// A policy waits for nodes that have never said that they understand it, also while they are
// down.
func TestPolicyWaitsForSilentNodes(t *testing.T) {
	w := newSimulation(t, 3)
	w.fair = true
	w.cfg.Store.WritesPerS = 12
	w.state.limited = true
	w.old["n2"] = true
	for _, name := range w.names {
		w.start(name)
	}
	w.crash("n2")
	w.waitLeader()
	a := newApplicants(newUserSimulation(w, 1))
	for i := range 200 {
		a.submit(a.job("flood", "standard", i), inTime)
	}
	w.run(20 * time.Second)
	if len(w.judged) > 0 {
		t.Error("a policy is published that a node may not know")
	}
}

// A flood at all nodes, many times what the state service takes: the leader's transactions are
// larger than those that accept jobs, and the first policy gets through between them.
func TestFirstPolicyGetsThrough(t *testing.T) {
	c := overloaded(t, 5, true)
	a := newApplicants(c)
	for i := range 600 {
		c.after(time.Duration(i)*20*time.Millisecond, func() { a.submit(a.job("flood", "standard", i), impatient) })
	}
	if !c.until(4*c.nodes["n0"].admissionPolicy.EpochLength(), func() bool { return len(c.judged) > 0 }) {
		t.Error("no policy in four epochs")
	}
}

// A node that judges by a policy that has moved on finds out by its transaction, and judges
// anew at once; what it learns out of order changes nothing.
func TestStalePolicyIsFoundOut(t *testing.T) {
	c := overloaded(t, 3, false)
	f := c.nodes[c.followers()[0]]
	all := &admission.Policy{Epoch: 5, EpochLengthMS: 3500, DefaultShare: admission.FullShare(admission.Group{})}
	raw := storage.Encode(all)
	f.admissionPolicy.ApplyRecord(storage.Item{Key: storage.AdmissionPolicyKey, Value: raw, ModRevision: c.state.rev})
	if r := c.submit(f.name, spec("j-1", 1)); r.Status != 201 || f.admissionPolicy.Current != nil {
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
	c.crash(c.leader())
	if l := c.waitLeader(); l.admissionPolicy.Current != nil {
		t.Error("a new leader goes on from a policy that has ended")
	}
}

// What was accepted is known at every node, though a policy would refuse it now; loads that
// were judged by another policy say nothing of this one.
func TestAcceptedStaysAccepted(t *testing.T) {
	c := overloaded(t, 3, false)
	c.accept(c.leader(), spec("j-1", 1))
	c.run(time.Second)
	none := &admission.Policy{Epoch: 5, EpochLengthMS: 3500, DefaultShare: admission.Share{Tail: admission.Position("j-1") + 1, Steps: []uint64{1}}}
	c.state.put(storage.AdmissionPolicyKey, none)
	version := c.state.keys[storage.AdmissionPolicyKey].ModRevision
	for _, name := range c.names {
		n := c.nodes[name]
		n.admissionPolicy.ApplyRecord(c.state.keys[storage.AdmissionPolicyKey])
		if n.leader != nil {
			n.leader.admission.EpochStartedAt = n.now + time.Hour // it leaves the policy alone
			clear(n.leader.admission.EpochLoads)
			n.leader.admission.AddNodeLoad(protocol.AdmissionLoad{PolicyRevision: version - 1, Groups: []protocol.GroupLoad{{Team: "t", Class: "c", RejectedForCapacity: 9}}})
			if len(n.leader.admission.EpochLoads) > 0 {
				t.Error("loads of another policy count")
			}
		}
		if r := c.submit(name, spec("j-1", 1)); r.Status != 200 {
			t.Errorf("%s: a known job gets %d", name, r.Status)
		}
		if r := c.submit(name, spec("j-2", 1)); r.Status != 503 || r.RetryAfter < 30 {
			t.Errorf("%s: an unknown one gets %d, Retry-After %d", name, r.Status, r.RetryAfter)
		}
	}
}

// With many jobs open, the memory limits what an epoch takes before any node turns a job away.
func TestCapacityFollowsMemory(t *testing.T) {
	w := newSimulation(t, 1)
	l := w.waitLeader().leader
	free := l.admission.EpochCapacity()
	if free.MemoryLimited || free.Jobs <= 0 {
		t.Errorf("without jobs: %+v", free)
	}
	most := int(admissioncontrol.OpenJobsMemoryShare * w.cfg.Resources.MemoryMB * (1 << 20) / admissioncontrol.OpenJobBytes)
	for i := range most - 20 {
		l.Jobs[fmt.Sprintf("j-%d", i)] = nil
	}
	if c := l.admission.EpochCapacity(); !c.MemoryLimited || c.Jobs >= free.Jobs || c.Jobs < 1 {
		t.Errorf("with %d jobs: %+v", most-20, c)
	}
}
