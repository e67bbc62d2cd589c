package daemon

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"hitchdoor/internal/adminclient"
	"hitchdoor/internal/config"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
	"hitchdoor/internal/tracing"
)

// verdictKey identifies an admission verdict. All controllers must give the same verdict on a job in
// an epoch of the admission policy.
type verdictKey struct {
	job   string
	epoch uint64
}

// jobClass is a class of jobs of one team, all with the same priority.
type jobClass struct {
	team, name string
	priority   protocol.Priority
}

// jobID returns the ID of the job of the class with a number.
func (c jobClass) jobID(number int) string { return fmt.Sprintf("j-%s-%d", c.name, number) }

// Three controllers with real connections are overloaded: each job is submitted to all of them at
// once. Guards against controllers that apply different policies in the same epoch. Their traces must
// show the same verdict for each job and epoch, each job must be accepted once, no task may start
// twice, and no class may wait for more epochs than the policy guarantees. The operators' commands
// must show the same.
func TestOneVerdictOnEveryController(t *testing.T) {
	settings := config.Defaults()
	settings.FairAdmission, settings.MaxTraceSteps = true, 50_000
	cluster := newTestCluster(t, 3, 50, settings)
	cluster.waitForLeader()
	const perClass, maxWaves = 30, 4
	classes := []jobClass{{"a", "urgent", protocol.PriorityUrgent}, {"a", "low", protocol.PriorityLow},
		{"b", "standard", protocol.PriorityStandard}}
	var users sync.WaitGroup
	var jobs []string
	// submitWave submits perClass jobs of each class at once, with numbers from first on.
	submitWave := func(first int) {
		for _, class := range classes {
			for i := range perClass {
				job := singleTaskJob(class.jobID(first+i), class.team, class.name, class.priority)
				jobs = append(jobs, job.ID)
				users.Go(func() { cluster.submitToAllNodes(job) })
			}
		}
	}
	submitWave(0)
	cluster.checkAdmissionCommandShowsPolicy(jobs[len(jobs)-1])
	users.Wait()
	// A verdict can be compared if the submissions of a job to several nodes fall into one epoch. On
	// a busy machine fewer submissions do, so further waves follow until enough verdicts can be
	// compared.
	compared := cluster.checkVerdictsAgree(jobs)
	for wave := 1; compared < perClass && wave < maxWaves; wave++ {
		submitWave(wave * perClass)
		users.Wait()
		compared = cluster.checkVerdictsAgree(jobs)
	}
	if accepted := cluster.store.CountKeys(storage.JobPrefix) +
		cluster.store.CountKeys(storage.TerminalPrefix); accepted != len(jobs) {
		t.Errorf("%d jobs were accepted, want %d", accepted, len(jobs))
	}
	if compared < perClass {
		t.Errorf("%d admission verdicts could be compared between nodes, want at least %d", compared, perClass)
	}
	for _, class := range classes {
		if epochs := cluster.longestWaitInEpochs(class, perClass); epochs > cluster.maxEpochsToAdmission()+3 {
			t.Errorf("a job of class %s waited for %d epochs, want at most %d",
				class.name, epochs, cluster.maxEpochsToAdmission()+3)
		}
	}
	cluster.checkJobsEnd(jobs)
	cluster.checkAdmissionCommandReportsStoppedNode(cluster.nodes[0])
}

// checkAdmissionCommandShowsPolicy waits for the first policy and checks that the operators'
// admission command shows it.
func (c *testCluster) checkAdmissionCommandShowsPolicy(job string) {
	c.t.Helper()
	c.eventually(20*time.Second, "an admission policy in the key-value store",
		func() bool { _, ok := c.store.Item(storage.AdmissionPolicyKey); return ok })
	report := &bytes.Buffer{}
	if err := c.printAdmission(report, job); err != nil ||
		!strings.Contains(report.String(), "ALL HAD THEIR TURN") {
		c.t.Errorf("the admission command does not show the policy: error %v, output\n%s", err, report)
	}
}

// checkVerdictsAgree checks that all controllers have given the same verdict on each job in each epoch.
// It returns the number of verdicts that more than one controller has given.
func (c *testCluster) checkVerdictsAgree(jobs []string) (compared int) {
	c.t.Helper()
	for key, byNode := range c.verdicts(jobs) {
		verdicts := map[string]bool{}
		for _, note := range byNode {
			verdicts[note] = true
		}
		if len(verdicts) > 1 {
			c.t.Errorf("verdicts on job %s in epoch %d, by node: got %v, want the same from all", key.job, key.epoch, byNode)
		}
		if len(byNode) > 1 {
			compared++
		}
	}
	c.t.Logf("%d verdicts were given by more than one controller", compared)
	return compared
}

// checkJobsEnd waits for the end of all jobs, and checks that no task was started twice and that the
// trace command shows the end of the first job.
func (c *testCluster) checkJobsEnd(jobs []string) {
	c.t.Helper()
	c.eventually(60*time.Second, "the end of all jobs",
		func() bool { return c.store.CountKeys(storage.TerminalPrefix) == len(jobs) })
	for task, starts := range c.fleet.StartCounts() {
		if starts > 1 {
			c.t.Errorf("task %s was started %d times, want once", task, starts)
		}
	}
	report := &bytes.Buffer{}
	if err := adminclient.PrintTrace(report, c.adminOptions(), jobs[0]); err != nil ||
		!strings.Contains(report.String(), "done after") {
		c.t.Errorf("the trace command does not show the end of job %s: error %v, output\n%s", jobs[0], err, report)
	}
}

// checkAdmissionCommandReportsStoppedNode stops a node and checks that the operators' admission
// command reports the node's address.
func (c *testCluster) checkAdmissionCommandReportsStoppedNode(node string) {
	c.t.Helper()
	c.stopNode[node]()
	report := &bytes.Buffer{}
	c.eventually(10*time.Second, "the admission command to report the stopped node", func() bool {
		report.Reset()
		err := c.printAdmission(report, "")
		var incomplete *adminclient.IncompleteError
		return errors.As(err, &incomplete) && strings.Contains(err.Error(), c.clientAddresses[node])
	})
}

// submitToAllNodes submits a job to all nodes at once, and retries after the longest Retry-After until
// a node accepts it.
func (c *testCluster) submitToAllNodes(job protocol.Job) {
	for deadline := time.Now().Add(protocol.SubmissionRetryWindow); time.Now().Before(deadline); {
		var submissions sync.WaitGroup
		var mu sync.Mutex
		accepted, pause := false, time.Second
		for _, name := range c.nodes {
			submissions.Go(func() {
				status, retryAfter := c.submitJob(name, job)
				mu.Lock()
				defer mu.Unlock()
				accepted = accepted || status == 200 || status == 201
				pause = max(pause, retryAfter)
				if status == 503 && retryAfter == 0 {
					c.t.Errorf("submission of job %s: got status 503 without Retry-After, want one", job.ID)
				}
			})
		}
		submissions.Wait()
		if accepted {
			return
		}
		time.Sleep(pause)
	}
	c.t.Errorf("job %s was not accepted within %v", job.ID, protocol.SubmissionRetryWindow)
}

// adminOptions returns options of the operators' commands for all nodes.
func (c *testCluster) adminOptions() adminclient.Options {
	options := adminclient.Options{Timeout: 2 * time.Second}
	for _, name := range c.nodes {
		options.Addresses = append(options.Addresses, c.clientAddresses[name])
	}
	return options
}

// printAdmission runs the operators' admission command.
func (c *testCluster) printAdmission(out *bytes.Buffer, job string) error {
	return adminclient.PrintAdmission(out, c.adminOptions(), job)
}

// traceSteps returns the trace steps of a job on all nodes.
func (c *testCluster) traceSteps(job string) []tracing.Step {
	var all []tracing.Step
	for _, name := range c.nodes {
		var steps []tracing.Step
		if !c.getJSON(name, "/trace/"+job, &steps) {
			c.t.Errorf("node %s does not return the trace of job %s", name, job)
		}
		all = append(all, steps...)
	}
	return all
}

// verdicts returns the verdicts on each job in each epoch, by node. It fails the test if a node has
// given two different verdicts on a job in the same epoch.
func (c *testCluster) verdicts(jobs []string) map[verdictKey]map[string]string {
	verdicts := map[verdictKey]map[string]string{}
	for _, job := range jobs {
		for _, step := range c.traceSteps(job) {
			if step.Name != "verdict" || step.Epoch == 0 {
				continue
			}
			key := verdictKey{job, step.Epoch}
			if verdicts[key] == nil {
				verdicts[key] = map[string]string{}
			}
			if previous, ok := verdicts[key][step.Node]; ok && previous != step.Note {
				c.t.Errorf("node %s gave two verdicts on job %s in epoch %d: %s and %s, want the same",
					step.Node, job, step.Epoch, previous, step.Note)
			}
			verdicts[key][step.Node] = step.Note
		}
	}
	return verdicts
}

// maxEpochsToAdmission returns the number of epochs within which each job must be admitted: those in
// two thirds of the time during which users retry.
func (c *testCluster) maxEpochsToAdmission() int {
	epochLength := config.Seconds(c.clusterConfig.Workers.LeaseS / 4)
	return int(protocol.SubmissionRetryWindow * 2 / 3 / epochLength)
}

// longestWaitInEpochs returns the maximum number of epochs between the first and the last verdict on
// a job of a class.
func (c *testCluster) longestWaitInEpochs(class jobClass, jobs int) int {
	longest := uint64(0)
	for i := range jobs {
		first, last := uint64(0), uint64(0)
		for _, step := range c.traceSteps(class.jobID(i)) {
			if step.Name == "verdict" && step.Epoch > 0 {
				if first == 0 {
					first = step.Epoch
				}
				first, last = min(first, step.Epoch), max(last, step.Epoch)
			}
		}
		longest = max(longest, last-first)
	}
	return int(longest)
}
