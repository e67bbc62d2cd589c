package daemon

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"hitchdoor/internal/config"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
	"hitchdoor/internal/toolbox"
	"hitchdoor/internal/tracing"
)

// verdictKey identifies an admission verdict: there is one per job and epoch.
type verdictOf struct {
	job   string
	epoch uint64
}

// Three controllers over real connections are overloaded with submissions, each job to all of them
// at once. Their traces show the same verdict on every controller for each job and epoch; each job
// is accepted once, no task starts twice, and no class waits for more epochs than the policy
// guarantees. The operators' commands agree with that.
func TestOneVerdictOnEveryController(t *testing.T) {
	set := config.Defaults()
	set.FairAdmission, set.TraceSteps = true, 50_000
	l := newLoopback(t, 3, 50, set)
	l.ready()
	const perClass = 30
	classes := []struct{ team, class, priority string }{{"a", "urgent", "urgent"}, {"a", "low", "low"},
		{"b", "standard", "standard"}}
	var users sync.WaitGroup
	var jobs []string
	for _, c := range classes {
		for i := range perClass {
			job := smallJob(fmt.Sprintf("j-%s-%d", c.class, i), c.team, c.class, c.priority)
			jobs = append(jobs, job.UID)
			users.Go(func() { l.submitEverywhere(job) })
		}
	}
	l.eventually(20*time.Second, "a policy",
		func() bool { _, is := l.state.Value(storage.PolicyKey); return is })
	report := &bytes.Buffer{}
	if err := l.admission(report, jobs[len(jobs)-1]); err != nil ||
		!strings.Contains(report.String(), "ALL HAD THEIR TURN") {
		t.Errorf("the tool: %v\n%s", err, report)
	}
	users.Wait()
	if accepted := l.state.Count(storage.JobPrefix) +
		l.state.Count(storage.FinalPrefix); accepted != len(jobs) {
		t.Errorf("%d of %d jobs were accepted", accepted, len(jobs))
	}
	compared := 0
	for v, byNode := range l.verdicts(jobs) {
		notes := map[string]bool{}
		for _, note := range byNode {
			notes[note] = true
		}
		if len(notes) > 1 {
			t.Errorf("%s in epoch %d: %v", v.job, v.epoch, byNode)
		}
		if len(byNode) > 1 {
			compared++
		}
	}
	t.Logf("%d verdicts of several controllers about one job in one epoch", compared)
	if compared < perClass {
		t.Errorf("%d verdicts could be compared", compared)
	}
	for _, c := range classes {
		if epochs := l.longestWait(c.class, perClass); epochs > l.epochsToTurn()+3 {
			t.Errorf("a job of class %s waited for %d epochs", c.class, epochs)
		}
	}
	l.eventually(60*time.Second, "the end of all jobs",
		func() bool { return l.state.Count(storage.FinalPrefix) == len(jobs) })
	for task, starts := range l.fleet.Starts() {
		if starts > 1 {
			t.Errorf("%s was started %d times", task, starts)
		}
	}
	if err := toolbox.Trace(report, l.tools(), jobs[0]); err != nil ||
		!strings.Contains(report.String(), "done after") {
		t.Errorf("the trace of %s: %v\n%s", jobs[0], err, report)
	}
	l.stop[l.names[0]]()
	l.eventually(10*time.Second, "the tool names the node that ends", func() bool {
		report.Reset()
		err := l.admission(report, "")
		return err != nil && strings.Contains(err.Error(), l.clients[l.names[0]])
	})
}

// submitToAllNodes submits a job to all nodes at once, and retries after the longest Retry-After,
// until it is accepted.
func (l *loopback) submitEverywhere(job protocol.Job) {
	for end := time.Now().Add(protocol.RetrySpan); time.Now().Before(end); {
		var wait sync.WaitGroup
		var mu sync.Mutex
		accepted, pause := false, time.Second
		for _, name := range l.names {
			wait.Go(func() {
				status, retryAfter := l.submit(name, job)
				mu.Lock()
				defer mu.Unlock()
				accepted = accepted || status == 200 || status == 201
				pause = max(pause, retryAfter)
				if status == 503 && retryAfter == 0 {
					l.t.Errorf("%s: refused without Retry-After", job.UID)
				}
			})
		}
		wait.Wait()
		if accepted {
			return
		}
		time.Sleep(pause)
	}
	l.t.Errorf("%s was not accepted in time", job.UID)
}

// adminOptions returns options of the operators' commands for all nodes.
func (l *loopback) tools() toolbox.Options {
	o := toolbox.Options{Timeout: 2 * time.Second}
	for _, name := range l.names {
		o.Nodes = append(o.Nodes, l.clients[name])
	}
	return o
}

// printAdmission runs the operators' admission command.
func (l *loopback) admission(out *bytes.Buffer, job string) error {
	return toolbox.Admission(out, l.tools(), job)
}

// traceSteps lists the trace steps of a job from all nodes.
func (l *loopback) steps(job string) []tracing.Step {
	var all []tracing.Step
	for _, name := range l.names {
		var steps []tracing.Step
		if !l.get(name, "/trace/"+job, &steps) {
			l.t.Errorf("%s: no trace", name)
		}
		all = append(all, steps...)
	}
	return all
}

// verdicts returns the verdicts on each job in each epoch, by node. It fails the test if a node has
// given two different ones in the same epoch.
func (l *loopback) verdicts(jobs []string) map[verdictOf]map[string]string {
	verdicts := map[verdictOf]map[string]string{}
	for _, job := range jobs {
		for _, s := range l.steps(job) {
			if s.Name != "verdict" || s.Epoch == 0 {
				continue
			}
			v := verdictOf{job, s.Epoch}
			if verdicts[v] == nil {
				verdicts[v] = map[string]string{}
			}
			if before, again := verdicts[v][s.Node]; again && before != s.Note {
				l.t.Errorf("%s judges %s in epoch %d twice: %s, %s", s.Node, job, s.Epoch, before, s.Note)
			}
			verdicts[v][s.Node] = s.Note
		}
	}
	return verdicts
}

// maxEpochsToTurn returns the number of epochs within which each job must be admitted.
func (l *loopback) epochsToTurn() int {
	epoch := config.Seconds(l.cluster.Workers.LeaseS / 4)
	return int(protocol.RetrySpan * 2 / 3 / epoch)
}

// longestWaitInEpochs returns the maximum number of epochs between the first and the last verdict on
// a job of a class.
func (l *loopback) longestWait(class string, jobs int) int {
	longest := uint64(0)
	for i := range jobs {
		first, last := uint64(0), uint64(0)
		for _, s := range l.steps(fmt.Sprintf("j-%s-%d", class, i)) {
			if s.Name == "verdict" && s.Epoch > 0 {
				if first == 0 {
					first = s.Epoch
				}
				first, last = min(first, s.Epoch), max(last, s.Epoch)
			}
		}
		longest = max(longest, last-first)
	}
	return int(longest)
}
