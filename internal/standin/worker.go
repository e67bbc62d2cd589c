package standin

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/segmentio/encoding/json"

	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// worker is the fake worker of one machine. Its fields are guarded by the mutex of its fleet.
type worker struct {
	f            *Fleet
	name         string // of the machine
	node         string // the controller that gets the next heartbeat
	session, seq uint64
	token        uint64 // the highest fencing token received
	tasks        []*task
	renewed      time.Time // when the last answered heartbeat was sent
	rented       time.Time
	silent       bool          // cut off from all controllers
	changed      bool          // since the last heartbeat
	gone         chan struct{} // closed when the machine is removed
	rng          *rand.Rand
}

// task is a task on a machine, with the state that heartbeats report.
type task struct {
	protocol.TaskReport
	began, ends time.Time
}

// minHeartbeatDelay is the minimum time between two heartbeats, whatever changes.
const leastPause = 500 * time.Millisecond

// killTasks kills all tasks. The fleet must be locked.
func (m *worker) kill() {
	for _, t := range m.tasks {
		if t.State != protocol.TaskExited {
			m.f.tally.LostByLease++
			m.exit(t, protocol.WhyHalted)
		}
	}
	m.tasks = nil
}

// exitTask marks a task as exited and updates the fleet's totals.
func (m *worker) exit(t *task, why string) {
	if t.State == protocol.TaskExited {
		return
	}
	t.State, t.Why = protocol.TaskExited, why
	m.f.onMachines--
	if m.f.running[t.Task]--; m.f.running[t.Task] == 0 {
		delete(m.f.running, t.Task)
	}
	m.changed = true
	if why == protocol.WhyDone {
		m.f.tally.Finished++
		m.f.finished[t.Task] = true
		return
	}
	m.f.tally.LostRun += time.Since(t.began)
}

// addTask adds a task to the machine.
func (m *worker) begin(report protocol.TaskReport, runs time.Duration) {
	f := m.f
	f.onMachines++
	if f.running[report.Task]++; f.running[report.Task] > 1 {
		f.twice = append(f.twice, report.Task)
	}
	now := time.Now()
	m.tasks = append(m.tasks, &task{report, now, now.Add(runs)})
	m.changed = true
}

// catchUp applies what has happened by now: the expiry of the lease and the ends of tasks.
func (m *worker) advance() {
	now := time.Now()
	if !m.renewed.IsZero() && now.Sub(m.renewed) > m.f.settings.Lease {
		m.session++
		m.kill()
		m.renewed = now
	}
	for _, t := range m.tasks {
		if t.State == protocol.TaskRunning && now.After(t.ends) {
			m.exit(t, protocol.WhyDone)
		}
	}
}

// heartbeatLoop sends heartbeats and executes the commands of the responses until the machine is
// removed or the fleet is closed.
func (m *worker) run() {
	client := &http.Client{Timeout: protocol.ReportTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	if !m.pause(m.f.settings.Boot) {
		return
	}
	m.f.mu.Lock()
	m.renewed = time.Now()
	m.f.mu.Unlock()
	for {
		began := time.Now()
		status, answer := 0, []byte(nil)
		if report := m.report(); report != nil {
			status, answer = m.post(client, report)
		}
		if !m.pause(m.next(m.take(status, answer, began))) {
			return
		}
	}
}

// heartbeatDelay returns the time to wait before the next heartbeat.
func (m *worker) next(answered bool) time.Duration {
	m.f.mu.Lock()
	defer m.f.mu.Unlock()
	pause := time.Duration((0.75 + m.rng.Float64()/2) * float64(m.f.settings.Report))
	if !answered {
		return min(pause, protocol.NextNodePause)
	}
	if m.changed {
		return min(pause, leastPause)
	}
	for _, t := range m.tasks {
		if left := time.Until(t.ends); t.State == protocol.TaskRunning && left < pause {
			pause = max(left, leastPause)
		}
	}
	return pause
}

// sleep waits. It returns false at once if the machine is removed or the fleet is closed.
func (m *worker) pause(d time.Duration) bool {
	select {
	case <-m.f.over:
		return false
	case <-m.gone:
		return false
	case <-time.After(d):
		return true
	}
}

// nextHeartbeat encodes the next heartbeat; nil while the machine is partitioned.
func (m *worker) report() []byte {
	f := m.f
	f.mu.Lock()
	defer f.mu.Unlock()
	m.advance()
	if m.silent {
		return nil
	}
	m.seq++
	m.changed = false
	r := protocol.Report{Machine: m.name, Address: m.name + ":1", Type: machineType, Zone: machineZone,
		Spot: true, Session: m.session, Seq: m.seq, FencingToken: m.token}
	for _, t := range m.tasks {
		r.Tasks = append(r.Tasks, t.TaskReport)
	}
	return storage.Encode(r)
}

// sendHeartbeat posts a heartbeat to the worker's controller. It returns status 0 without a response.
func (m *worker) post(client *http.Client, body []byte) (int, []byte) {
	m.f.mu.Lock()
	nodes := m.f.settings.Nodes
	if _, known := nodes[m.node]; !known {
		m.node = m.nextNode()
	}
	address := nodes[m.node]
	m.f.mu.Unlock()
	resp, err := client.Post("http://"+address+"/v1/report", "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, raw
}

// nextNode returns the controller that follows the worker's current one in order of name; a random
// one if it has none yet.
func (m *worker) nextNode() string {
	names := make([]string, 0, len(m.f.settings.Nodes))
	for name := range m.f.settings.Nodes {
		names = append(names, name)
	}
	slices.Sort(names)
	at := slices.Index(names, m.node)
	if at < 0 {
		return names[m.rng.IntN(len(names))]
	}
	return names[(at+1)%len(names)]
}

// handleResponse executes the commands of a response, or switches to another controller. It returns
// false if the heartbeat was not delivered. Responses that are late or carry an older fencing token
// are dropped, as the protocol demands.
func (m *worker) take(status int, body []byte, began time.Time) bool {
	f := m.f
	arrived := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	switch status {
	case 200:
		var a protocol.ReportAnswer
		if m.silent || json.Unmarshal(body, &a) != nil || a.FencingToken < m.token ||
			time.Since(began) > protocol.ReportTimeout {
			return true
		}
		m.changed = m.changed || a.FencingToken > m.token
		m.token, m.renewed = a.FencingToken, began
		for _, c := range a.Commands {
			m.execute(c, arrived)
		}
		return true
	case 421:
		var to protocol.Redirect
		if json.Unmarshal(body, &to) == nil && to.ReportTo != "" && to.ReportTo != m.node {
			m.node, m.changed = to.ReportTo, true
			return true
		}
	}
	m.node = m.nextNode()
	return false
}

// executeCommand executes a command unless it has been executed before.
func (m *worker) execute(c protocol.Command, arrived time.Time) {
	at := slices.IndexFunc(m.tasks, func(t *task) bool { return t.Task == c.Task && t.Attempt == c.Attempt })
	switch {
	case c.Op == protocol.OpStart && at < 0:
		m.start(c, arrived)
	case c.Op == protocol.OpStop && at >= 0:
		m.stop(m.tasks[at], arrived)
	case c.Op == protocol.OpForget && at >= 0:
		m.tasks = slices.Delete(m.tasks, at, at+1)
	}
}

// startTask starts the attempt that a command names.
func (m *worker) start(c protocol.Command, arrived time.Time) {
	f := m.f
	f.orders.add(arrived, OrderStart, 1, false)
	f.starts[c.Task]++
	f.tally.Started++
	runs := f.runTime(c.Task)
	if f.finished[c.Task] {
		runs = 0 // the result of an earlier attempt is reused
	}
	m.begin(protocol.TaskReport{Task: c.Task, Attempt: c.Attempt, State: protocol.TaskRunning},
		runs)
}

// stopTask stops a task, and records whether there was a reason for that.
func (m *worker) stop(t *task, arrived time.Time) {
	f := m.f
	cancelled := f.cancelled[jobOf(t.Task)]
	_, uploaded := f.jobs[jobOf(t.Task)]
	f.orders.add(arrived, OrderStop, 1, cancelled)
	if t.State == protocol.TaskRunning && uploaded && !cancelled && f.running[t.Task] == 1 {
		f.wrongly = append(f.wrongly, t.Task)
	}
	f.tally.Stopped++
	m.exit(t, protocol.WhyHalted)
}
