package daemon

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"hitchdoor/internal/config"
	"hitchdoor/internal/storage"
	"hitchdoor/internal/toolbox"
)

// The links of three controllers over real connections are blocked in one direction only, in turn
// and flapping, while jobs are submitted: no task runs on two machines at once, all jobs finish, and
// the operators' command reports the half-open link while it lasts.
func TestOneWayCutsOverLoopback(t *testing.T) {
	l := newLoopback(t, 3, 200, config.Defaults())
	l.ready()
	leader := l.leader()
	var others []string
	for _, name := range l.names {
		if name != leader {
			others = append(others, name)
		}
	}
	jobs := 0
	more := func(d time.Duration) {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
			l.submit(l.names[jobs%len(l.names)],
				smallJob(fmt.Sprintf("j-%d", jobs), "a", "c", "standard"))
			jobs++
		}
	}
	more(2 * time.Second)
	toAll := func(there, back bool) {
		for _, other := range others {
			l.stopLink(leader, other, there, back)
		}
	}
	for _, cut := range []struct {
		name string
		stop func(on bool)
	}{
		{"the leader's heartbeats", func(on bool) { toAll(on, false) }},
		{"workers' reports to the leader", func(on bool) { l.stopLink(workers, leader, on, false) }},
		{"the leader's answers to workers", func(on bool) { l.stopLink(workers, leader, false, on) }},
		{"the state service's answers", func(on bool) { l.stopLink(leader, stateService, false, on) }},
		{"one node's heartbeats to the leader", func(on bool) { l.stopLink(others[0], leader, on, false) }},
	} {
		cut.stop(true)
		more(2 * time.Second)
		cut.stop(false)
		for range 3 { // and flapping
			more(300 * time.Millisecond)
			cut.stop(true)
			more(300 * time.Millisecond)
			cut.stop(false)
		}
	}
	l.stopLink(others[0], others[1], true, false)
	report := &bytes.Buffer{}
	l.eventually(10*time.Second, "the tool names the cut", func() bool {
		report.Reset()
		err := toolbox.Links(report, l.tools())
		return err != nil && strings.Contains(err.Error(), "half-open")
	})
	l.heal()
	l.eventually(20*time.Second, "the tool finds nothing cut", func() bool {
		report.Reset()
		return toolbox.Links(report, l.tools()) == nil
	})
	accepted := l.state.Count(storage.JobPrefix) + l.state.Count(storage.FinalPrefix)
	l.eventually(60*time.Second, "the end of all jobs",
		func() bool { return l.state.Count(storage.JobPrefix) == 0 })
	if over := l.state.Count(storage.FinalPrefix); over < accepted || accepted == 0 {
		t.Errorf("%d of %d accepted jobs are over", over, accepted)
	}
	if twice := l.fleet.Twice(); len(twice) > 0 {
		t.Errorf("on two machines at once: %v", twice)
	}
}

// leader returns the leader that the first node names.
func (l *loopback) leader() string {
	var status struct {
		Leader string `json:"leader"`
	}
	l.get(l.names[0], "/status", &status)
	return status.Leader
}
