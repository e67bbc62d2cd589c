package controller

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"hitchdoor/internal/admission"
	"hitchdoor/internal/admissioncontrol"
	"hitchdoor/internal/json"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// newOverloadedSimulation returns a simulated cluster that can accept about three submissions per
// second. fair enables admission by policy: for each epoch, a quarter of a worker lease, the leader
// publishes a policy that determines which jobs all controllers accept.
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

// lateRetryDelay is the time by which retryLate exceeds the Retry-After of a rejection.
const lateRetryDelay = 3 * time.Second

// retryTiming returns the delay after which a user retries, given the Retry-After of a rejection.
type retryTiming func(retryAfter time.Duration) time.Duration

func retryOnTime(d time.Duration) time.Duration     { return d }
func retryEarly(d time.Duration) time.Duration      { return max(time.Second, d/2) }
func retryLate(d time.Duration) time.Duration       { return d + lateRetryDelay }
func retryAtOnce(time.Duration) time.Duration       { return time.Second }
func clampRetryDelay(d time.Duration) time.Duration { return min(30*time.Second, max(time.Second, d)) }

// submitters simulates users who submit jobs at random nodes, and records the outcome of each job.
type submitters struct {
	*userSimulation
	acceptanceDelays map[string]time.Duration // by job ID, from the submission to the reply that it is accepted
	gaveUp           map[string]bool          // by job ID: not accepted within the retry window
	createdCounts    map[string]int           // by job ID: replies with status 201
}

func newSubmitters(sim *userSimulation) *submitters {
	return &submitters{userSimulation: sim, acceptanceDelays: map[string]time.Duration{},
		gaveUp: map[string]bool{}, createdCounts: map[string]int{}}
}

// submit submits a job and retries after the delays that timing returns, until the job is accepted
// or the retry window of users has passed.
func (s *submitters) submit(job protocol.Job, timing retryTiming) {
	startedAt := s.now
	var try func()
	try = func() {
		s.sendUserRequest(Request{Kind: protocol.RequestSubmit, JobID: job.ID, Job: &job}, func(r Reply) {
			switch {
			case r.Status == 201 || r.Status == 200:
				if r.Status == 201 {
					s.createdCounts[job.ID]++
				}
				s.acceptanceDelays[job.ID] = s.now - startedAt
			case r.Status != 503 && r.Status != 0:
				s.t.Errorf("submission of %s: got status %d, want 200, 201 or 503", job.ID, r.Status)
			case s.now-startedAt > protocol.SubmissionRetryWindow:
				s.gaveUp[job.ID] = true
			default:
				s.schedule(clampRetryDelay(timing(time.Duration(r.RetryAfter)*time.Second)), try)
			}
		})
	}
	try()
}

// classJob returns a one-task job of a class and priority. i distinguishes the jobs of the class.
func (s *submitters) classJob(class, priority string, i int) protocol.Job {
	job := jobSpec(fmt.Sprintf("j-%s-%d", class, i), 1)
	job.Class, job.Priority = class, protocol.Priority(priority)
	return job
}

// longestWait returns the longest acceptance delay of a class with the given number of jobs. If a
// job was not accepted, it returns an hour, which exceeds every bound.
func (s *submitters) longestWait(class string, jobs int) time.Duration {
	longest := time.Duration(0)
	for i := range jobs {
		id := fmt.Sprintf("j-%s-%d", class, i)
		waited, accepted := s.acceptanceDelays[id]
		if !accepted {
			return time.Hour
		}
		longest = max(longest, waited)
	}
	return longest
}

// Controllers that decide on their own must not accept jobs beyond the policy when bursts of three
// classes reach three controllers within a millisecond. The invariant checker evaluates each
// accepting transaction. Urgent jobs must be accepted within 30 s and the others within the users'
// retry window, and the policy must be removed afterwards.
func TestBurstAtAllControllers(t *testing.T) {
	sim := newOverloadedSimulation(t, 3, true)
	users := newSubmitters(sim)
	for i := range 40 {
		users.submit(users.classJob("low", "low", i), retryOnTime)
		if i < 15 {
			users.submit(users.classJob("urgent", "urgent", i), retryOnTime)
		}
		if i < 25 {
			users.submit(users.classJob("standard", "standard", i), retryOnTime)
		}
	}
	if !sim.advanceUntil(20*time.Second, func() bool { return len(sim.acceptancesByEpoch) >= 2 }) {
		t.Fatalf("jobs were accepted in %d policy epochs within 20 s, want at least 2", len(sim.acceptancesByEpoch))
	}
	sim.advance(80 * time.Second)
	urgent, low := users.longestWait("urgent", 15), users.longestWait("low", 40)
	if standard := users.longestWait("standard", 25); urgent > 30*time.Second ||
		standard > protocol.SubmissionRetryWindow || low > protocol.SubmissionRetryWindow {
		t.Errorf("longest waits for acceptance: got urgent %v, standard %v, low %v, want at most 30s, %v, %v", urgent,
			standard, low, protocol.SubmissionRetryWindow, protocol.SubmissionRetryWindow)
	}
	if _, left := sim.store.keys[storage.AdmissionPolicyKey]; left {
		t.Error("admission policy is still stored, want it removed")
	}
	sim.waitForCompletion(5 * time.Minute)
}

// Admission by policy must cost nothing without overload: no policy is written, a submission needs
// no additional read, and each job is accepted within a second.
func TestNoOverloadNoPolicy(t *testing.T) {
	sim := newOverloadedSimulation(t, 3, true)
	users := newSubmitters(sim)
	for i := range 30 {
		sim.schedule(time.Duration(i)*time.Second,
			func() { users.submit(users.classJob("calm", "low", i), retryOnTime) })
	}
	sim.advance(40 * time.Second)
	for _, e := range sim.store.eventLog {
		if e.PutKey == storage.AdmissionPolicyKey {
			t.Fatal("an admission policy was published without overload")
		}
	}
	if waited := users.longestWait("calm", 30); waited > time.Second {
		t.Errorf("longest wait for acceptance without overload: got %v, want at most 1s", waited)
	}
}

// Retrying early, some seconds late or every second must bring neither an advantage nor a disadvantage
// over following Retry-After: all users must be accepted, with similar mean waits.
func TestRetryTimingGainsNothing(t *testing.T) {
	sim := newOverloadedSimulation(t, 3, true)
	users := newSubmitters(sim)
	timings := map[string]retryTiming{"in-time": retryOnTime, "early": retryEarly, "late": retryLate,
		"impatient": retryAtOnce}
	timingNames := slices.Sorted(maps.Keys(timings))
	for i := range 25 {
		for k := range timingNames {
			name := timingNames[(i+k)%len(timingNames)]
			job := users.classJob(name, "standard", i)
			job.Class = "c" // All users are in one admission group; only their job IDs differ.
			users.submit(job, timings[name])
		}
	}
	sim.advance(80 * time.Second)
	means := map[string]time.Duration{}
	for name := range timings {
		if waited := users.longestWait(name, 25); waited > protocol.SubmissionRetryWindow+5*time.Second {
			t.Errorf("retries %q: got longest wait %v, want at most %v", name, waited,
				protocol.SubmissionRetryWindow+5*time.Second)
		}
		for i := range 25 {
			means[name] += users.acceptanceDelays[fmt.Sprintf("j-%s-%d", name, i)] / 25
		}
	}
	inTime := means["in-time"]
	for name, mean := range means {
		longest := 2 * inTime
		if name == "late" {
			longest = inTime + 4*lateRetryDelay // the added delay of a few retries
		}
		if mean < inTime/2 || mean > longest {
			t.Errorf("retries %q: got mean wait %v, want %v to %v", name, mean, inTime/2, longest)
		}
	}
}

// The same job is submitted six times at once, at random controllers, and again 30 s later, while a
// policy is in force. Controllers that don't know of each other's acceptance must not accept the job
// twice, and the job must be known from then on.
func TestSameJobAtAllControllers(t *testing.T) {
	sim := newOverloadedSimulation(t, 3, true)
	users := newSubmitters(sim)
	for i := range 60 {
		users.submit(users.classJob("flood", "standard", i), retryOnTime)
	}
	sim.advance(10 * time.Second)
	if sim.nodes[sim.leaderName()].admissionPolicy.Current == nil {
		t.Fatal("the leader has no admission policy after 10 s of overload")
	}
	for i := range 12 {
		job := users.classJob("same", "standard", i)
		for range 6 {
			users.submit(job, retryOnTime)
		}
		sim.schedule(30*time.Second, func() { users.submit(job, retryOnTime) })
	}
	sim.advance(100 * time.Second)
	for id, times := range users.createdCounts {
		if times > 1 {
			t.Errorf("%s: got %d replies with status 201, want 1", id, times)
		}
	}
	if waited := users.longestWait("same", 12); waited > protocol.SubmissionRetryWindow+5*time.Second {
		t.Errorf("longest wait of a job submitted several times: got %v, want at most %v", waited,
			protocol.SubmissionRetryWindow+5*time.Second)
	}
	sim.waitForCompletion(5 * time.Minute)
}

// Faults hit an epoch of a policy at different moments: the leader crashes, pauses, is isolated or
// is refused by the store, or transactions execute late. No job is accepted against the policy in
// force, no accepted job is forgotten, and the policy is removed once the faults have ended.
func TestPolicyUnderFaults(t *testing.T) {
	faults := map[string]func(sim *userSimulation, leader string){
		"leader crashes": func(sim *userSimulation, leader string) { sim.restartAfter(leader, 200*time.Millisecond) },
		"all controllers crash": func(sim *userSimulation, _ string) {
			for _, n := range sim.names {
				sim.restartAfter(n, 3*time.Second)
			}
		},
		"leader pauses": func(sim *userSimulation, leader string) {
			sim.nodes[leader].pauseBeforeEffects = 12 * time.Second
		},
		"store refuses leader": func(sim *userSimulation, leader string) {
			sim.store.refusedNodes[leader] = true
			sim.schedule(20*time.Second, func() { delete(sim.store.refusedNodes, leader) })
		},
		"leader isolated, store requests dropped": func(sim *userSimulation, leader string) {
			sim.store.requestsDropped[leader] = true
			sim.isolateNode(leader)
			sim.schedule(20*time.Second, func() { delete(sim.store.requestsDropped, leader); sim.healCuts() })
		},
		"store outage": func(sim *userSimulation, _ string) {
			sim.store.setDown(true)
			sim.schedule(15*time.Second, func() { sim.store.setDown(false) })
		},
		"late transactions": func(sim *userSimulation, _ string) {
			sim.store.lateExecution = func() (time.Duration, bool) {
				return 2*time.Second + sim.randomDuration(10*time.Second), sim.rng.IntN(4) == 0
			}
			sim.schedule(20*time.Second, func() { sim.store.lateExecution = nil })
		},
	}
	for name, inject := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for offset := range 3 {
				sim := newOverloadedSimulation(t, 3, true)
				sim.rng.Uint64()
				users := newSubmitters(sim)
				for i := range 70 {
					sim.schedule(sim.randomDuration(5*time.Second), func() {
						users.submit(users.classJob([]string{"x", "y"}[i%2], []string{"urgent", "low"}[i%2], i),
							retryOnTime)
					})
				}
				if !sim.advanceUntil(30*time.Second, func() bool { return len(sim.acceptancesByEpoch) > 0 }) {
					t.Fatalf("offset %d: no jobs were accepted under an admission policy within 30 s", offset)
				}
				sim.advance(time.Duration(offset) * 1234 * time.Millisecond)
				inject(sim, sim.leaderName())
				sim.advance(45 * time.Second)
				sim.waitForCompletion(5 * time.Minute)
				if !sim.advanceUntil(time.Minute,
					func() bool { _, left := sim.store.keys[storage.AdmissionPolicyKey]; return !left }) {
					t.Errorf("offset %d: admission policy is still stored, want it removed", offset)
				}
			}
		})
	}
}

// An admission record that is not a valid policy must not block submissions for good. While the record
// exists, new jobs get 503 with Retry-After, and accepted jobs stay known. The record is logged once,
// and the leader removes it.
func TestInvalidPolicy(t *testing.T) {
	for _, fair := range []bool{false, true} {
		testInvalidPolicy(t, fair)
	}
}

func testInvalidPolicy(t *testing.T, fair bool) {
	t.Helper()
	sim := newOverloadedSimulation(t, 3, fair)
	sim.submitAccepted(sim.leaderName(), jobSpec("j-known", 1))
	for _, value := range []any{"no policy",
		map[string]any{"epoch": 3, "lengthMs": 5, "rest": map[string]any{"steps": []int{0}}}} {
		sim.store.putValue(storage.AdmissionPolicyKey, value)
		if r := sim.submit(sim.followers()[0], jobSpec("j-new", 1)); r.Status != 503 || r.RetryAfter == 0 {
			t.Errorf("fair admission %t, record %v, new job: got status %d, Retry-After %d, want 503 with Retry-After",
				fair, value, r.Status, r.RetryAfter)
		}
		if r := sim.submit(sim.followers()[0], jobSpec("j-known", 1)); r.Status != 200 {
			t.Errorf("fair admission %t, record %v, known job: got status %d, want 200", fair, value, r.Status)
		}
		sim.store.eventLog = nil
		sim.crashNode(sim.leaderName())
		sim.advance(10 * time.Second)
		sim.restartNode(sim.names[0])
		sim.restartNode(sim.names[1])
		sim.restartNode(sim.names[2])
		sim.waitForLeader()
		if !sim.advanceUntil(20*time.Second,
			func() bool { _, left := sim.store.keys[storage.AdmissionPolicyKey]; return !left }) {
			t.Fatalf("fair admission %t: record %v is still stored, want it removed by the leader", fair, value)
		}
	}
	if r := sim.submit(sim.leaderName(), jobSpec("j-new", 1)); r.Status != 201 {
		t.Errorf("fair admission %t: new job after the record is removed: got status %d, want 201", fair, r.Status)
	}
}

// The admission page of a job that the policy has rejected must be served while the stored policy is invalid. It
// once ended the process, because no policy was in force from which to tell when the job will be admitted.
func TestAdmissionPageWithInvalidPolicy(t *testing.T) {
	sim := newOverloadedSimulation(t, 3, true)
	node := sim.nodes[sim.followers()[0]]
	node.policyRejections.Put("j-rejected", admission.Group{Team: "free", Class: "c", PriorityRank: 2})
	node.admissionPolicy.ApplyRecord(storage.Item{Key: storage.AdmissionPolicyKey, Value: []byte(`"no policy"`),
		ModRevision: sim.store.revision})
	reply := sim.requestAndWait(node.name, Request{Kind: protocol.RequestAdmission, JobID: "j-rejected"})
	var status admission.NodeStatus
	if err := json.Unmarshal(reply.Body, &status); err != nil || reply.Status != 200 || status.Job == nil ||
		!status.Invalid || status.Job.AdmittedNow || status.Job.RejectedGroup == nil {
		t.Errorf("admission page: got status %d, %s, error %v; want the job as rejected by an invalid policy",
			reply.Status, reply.Body, err)
	}
}

// A node of an earlier version accepts jobs without regard to the policy, and the invariant checker
// does not check its transactions. So a policy must be published only while every node supports
// policies, and must be removed when a node returns to an earlier version.
func TestPolicyNeedsAllNodes(t *testing.T) {
	sim := newOverloadedSimulation(t, 3, true)
	follower := sim.followers()[0]
	flood := func(class string) {
		users := newSubmitters(sim)
		for i := range 200 {
			users.submit(users.classJob(class, "standard", i), retryOnTime)
		}
	}
	flood("first")
	if !sim.advanceUntil(20*time.Second, func() bool { return len(sim.acceptancesByEpoch) > 0 }) {
		t.Fatal("no jobs were accepted under a policy, though all nodes support it")
	}
	sim.oldVersionNodes[follower] = true
	sim.restartAfter(follower, step)
	sim.advance(2 * sim.nodes[sim.names[0]].admissionPolicy.EpochLength())
	if _, left := sim.store.keys[storage.AdmissionPolicyKey]; left {
		t.Error("policy is still stored while a node does not support it, want it removed")
	}
	clear(sim.acceptancesByEpoch)
	flood("second")
	sim.advance(20 * time.Second)
	if len(sim.acceptancesByEpoch) > 0 {
		t.Error("a policy was published while a node does not support it")
	}
	sim.waitForCompletion(5 * time.Minute)
}

// A node that is down may return with an earlier version. No policy is published until every node,
// running or not, has announced support for it.
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
	users := newSubmitters(newUserSimulation(sim, 1))
	for i := range 200 {
		users.submit(users.classJob("flood", "standard", i), retryOnTime)
	}
	sim.advance(20 * time.Second)
	if len(sim.acceptancesByEpoch) > 0 {
		t.Error("a policy was published before n2 announced support for it")
	}
}

// The first policy must be written within four epochs although submissions at all nodes exceed the write
// rate of the store many times over. The leader's transactions have more writes than those that accept
// jobs, so the store might otherwise throttle the policy for ever.
func TestFirstPolicyIsWrittenUnderOverload(t *testing.T) {
	sim := newOverloadedSimulation(t, 5, true)
	users := newSubmitters(sim)
	for i := range 600 {
		sim.schedule(time.Duration(i)*20*time.Millisecond,
			func() { users.submit(users.classJob("flood", "standard", i), retryAtOnce) })
	}
	if !sim.advanceUntil(4*sim.nodes["n0"].admissionPolicy.EpochLength(),
		func() bool { return len(sim.acceptancesByEpoch) > 0 }) {
		t.Error("no jobs were accepted under a policy within four epochs")
	}
}

// A node may evaluate submissions by an outdated policy. It must detect that by the failed condition
// of its transaction and evaluate again at once. It must ignore a policy record older than a removal
// that it knows of, and a new leader must not continue with a policy that is no longer stored.
func TestStalePolicyIsDetected(t *testing.T) {
	sim := newOverloadedSimulation(t, 3, false)
	follower := sim.nodes[sim.followers()[0]]
	acceptAll := &admission.Policy{Epoch: 5, EpochLengthMS: 3500, DefaultShare: admission.FullShare(admission.Group{})}
	raw := storage.Encode(acceptAll)
	follower.admissionPolicy.ApplyRecord(storage.Item{Key: storage.AdmissionPolicyKey, Value: raw,
		ModRevision: sim.store.revision})
	if r := sim.submit(follower.name, jobSpec("j-1", 1)); r.Status != 201 || follower.admissionPolicy.Current != nil {
		t.Errorf("submission to a node with a stale policy: got status %d, policy %+v, want 201 and no policy",
			r.Status, follower.admissionPolicy.Current)
	}
	follower.admissionPolicy.ApplyRemoval(9_001)
	follower.admissionPolicy.ApplyRecord(storage.Item{Key: storage.AdmissionPolicyKey, Value: raw, ModRevision: 9_000})
	if follower.admissionPolicy.Current != nil {
		t.Error("a policy older than its removal was applied")
	}
	for _, n := range sim.nodes {
		n.admissionPolicy.PolicyRecord = admissioncontrol.PolicyRecord{Current: acceptAll, RecordRevision: 8,
			Revision: 8}
	}
	sim.crashNode(sim.leaderName())
	if leaderNode := sim.waitForLeader(); leaderNode.admissionPolicy.Current != nil {
		t.Error("the new leader has a policy that is not stored, want none")
	}
}

// An accepted job must stay known at every node although the present policy rejects it. Loads that
// nodes measured under another policy don't count for the present one.
func TestAcceptedJobStaysKnown(t *testing.T) {
	sim := newOverloadedSimulation(t, 3, false)
	sim.submitAccepted(sim.leaderName(), jobSpec("j-1", 1))
	sim.advance(time.Second)
	rejectAll := &admission.Policy{Epoch: 5, EpochLengthMS: 3500,
		DefaultShare: admission.Share{Start: admission.Position("j-1") + 1, Steps: []uint64{1}}}
	sim.store.putValue(storage.AdmissionPolicyKey, rejectAll)
	revision := sim.store.keys[storage.AdmissionPolicyKey].ModRevision
	for _, name := range sim.names {
		n := sim.nodes[name]
		n.admissionPolicy.ApplyRecord(sim.store.keys[storage.AdmissionPolicyKey])
		if n.leader != nil {
			n.leader.admission.EpochStartedAt = n.now + time.Hour // keeps the policy unchanged
			clear(n.leader.admission.EpochLoads)
			n.leader.admission.AddNodeLoad(protocol.AdmissionLoad{PolicyRevision: revision - 1,
				Groups: []protocol.GroupLoad{{Team: "t", Class: "c", RejectedForCapacity: 9}}})
			if len(n.leader.admission.EpochLoads) > 0 {
				t.Error("the load measured under another policy was counted")
			}
		}
		if r := sim.submit(name, jobSpec("j-1", 1)); r.Status != 200 {
			t.Errorf("%s, known job: got status %d, want 200", name, r.Status)
		}
		if r := sim.submit(name, jobSpec("j-2", 1)); r.Status != 503 || r.RetryAfter < 30 {
			t.Errorf("%s, new job: got status %d, Retry-After %d, want 503 and at least 30", name, r.Status,
				r.RetryAfter)
		}
	}
}

// Nodes reject jobs for lack of memory when too many jobs are open. Before that happens, the memory
// limit must lower the capacity of an epoch, which is the number of jobs that can be accepted in it.
func TestCapacityFollowsMemory(t *testing.T) {
	sim := newSimulation(t, 1)
	l := sim.waitForLeader().leader
	withoutJobs := l.admission.EpochCapacity()
	if withoutJobs.MemoryLimited || withoutJobs.Jobs <= 0 {
		t.Errorf("capacity without open jobs: got %+v, want a positive capacity without memory limit", withoutJobs)
	}
	maxOpenJobs := int(admissioncontrol.OpenJobsMemoryShare * sim.cfg.Resources.MemoryMB * (1 << 20) /
		admissioncontrol.OpenJobBytes)
	for i := range maxOpenJobs - 20 {
		l.Jobs[fmt.Sprintf("j-%d", i)] = nil
	}
	if capacity := l.admission.EpochCapacity(); !capacity.MemoryLimited || capacity.Jobs >= withoutJobs.Jobs ||
		capacity.Jobs < 1 {
		t.Errorf("capacity with %d open jobs: got %+v, want a memory limit and at least 1, but fewer than %v jobs",
			maxOpenJobs-20, capacity, withoutJobs.Jobs)
	}
}
