package fakes

import (
	"bytes"
	"context"
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
	fleet               *Fleet
	name                string // of the machine
	node                string // the controller that gets the next heartbeat
	epoch, heartbeatSeq uint64
	fencingToken        uint64 // the highest fencing token received
	tasks               []*task
	leaseRenewedAt      time.Time // when the last answered heartbeat was sent
	rentedAt            time.Time
	partitioned         bool          // cut off from all controllers
	stateChanged        bool          // since the last heartbeat
	removed             chan struct{} // closed when the machine is removed
	rng                 *rand.Rand
}

// task is a task on a machine, with the state that heartbeats report.
type task struct {
	protocol.TaskStatus
	startedAt, endsAt time.Time
}

// minHeartbeatDelay is the minimum time between two heartbeats, whatever changes.
const minHeartbeatDelay = 500 * time.Millisecond

// killTasks kills all tasks. The fleet must be locked.
func (m *worker) killTasks() {
	for _, running := range m.tasks {
		if running.State != protocol.TaskExited {
			m.fleet.totals.LostByLease++
			m.exitTask(running, protocol.ExitStopped)
		}
	}
	m.tasks = nil
}

// exitTask marks a task as exited and updates the fleet's totals.
func (m *worker) exitTask(exiting *task, reason protocol.ExitReason) {
	if exiting.State == protocol.TaskExited {
		return
	}
	exiting.State, exiting.ExitReason = protocol.TaskExited, reason
	m.fleet.runningTasks--
	if m.fleet.runningCopies[exiting.TaskID]--; m.fleet.runningCopies[exiting.TaskID] == 0 {
		delete(m.fleet.runningCopies, exiting.TaskID)
	}
	m.stateChanged = true
	if reason == protocol.ExitDone {
		m.fleet.totals.Finished++
		m.fleet.completedTasks[exiting.TaskID] = true
		return
	}
	m.fleet.totals.LostRunTime += time.Since(exiting.startedAt)
}

// addTask adds a task to the machine.
func (m *worker) addTask(initial protocol.TaskStatus, runTime time.Duration) {
	fleet := m.fleet
	fleet.runningTasks++
	if fleet.runningCopies[initial.TaskID]++; fleet.runningCopies[initial.TaskID] > 1 {
		fleet.duplicatedTasks = append(fleet.duplicatedTasks, initial.TaskID)
	}
	now := time.Now()
	m.tasks = append(m.tasks, &task{initial, now, now.Add(runTime)})
	m.stateChanged = true
}

// catchUp applies what has happened by now: the expiry of the lease and the ends of tasks.
func (m *worker) catchUp() {
	now := time.Now()
	if !m.leaseRenewedAt.IsZero() && now.Sub(m.leaseRenewedAt) > m.fleet.settings.LeaseDuration {
		m.epoch++
		m.killTasks()
		m.leaseRenewedAt = now
	}
	for _, running := range m.tasks {
		if running.State == protocol.TaskRunning && now.After(running.endsAt) {
			m.exitTask(running, protocol.ExitDone)
		}
	}
}

// heartbeatLoop sends heartbeats and executes the commands of the responses until the machine is
// removed or the context is cancelled.
func (m *worker) heartbeatLoop(ctx context.Context) {
	client := &http.Client{Timeout: protocol.HeartbeatTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	if !m.sleep(ctx, m.fleet.settings.BootTime) {
		return
	}
	m.fleet.mu.Lock()
	m.leaseRenewedAt = time.Now()
	m.fleet.mu.Unlock()
	for {
		sentAt := time.Now()
		status, body := 0, []byte(nil)
		if heartbeat := m.nextHeartbeat(); heartbeat != nil {
			status, body = m.sendHeartbeat(ctx, client, heartbeat)
		}
		if !m.sleep(ctx, m.heartbeatDelay(m.handleResponse(status, body, sentAt))) {
			return
		}
	}
}

// heartbeatDelay returns the time to wait before the next heartbeat.
func (m *worker) heartbeatDelay(delivered bool) time.Duration {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	delay := time.Duration((0.75 + m.rng.Float64()/2) * float64(m.fleet.settings.HeartbeatInterval))
	if !delivered {
		return min(delay, protocol.NextNodeDelay)
	}
	if m.stateChanged {
		return min(delay, minHeartbeatDelay)
	}
	for _, running := range m.tasks {
		if remaining := time.Until(running.endsAt); running.State == protocol.TaskRunning && remaining < delay {
			delay = max(remaining, minHeartbeatDelay)
		}
	}
	return delay
}

// sleep waits. It returns false at once if the machine is removed or the context is cancelled.
func (m *worker) sleep(ctx context.Context, duration time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-m.removed:
		return false
	case <-time.After(duration):
		return true
	}
}

// nextHeartbeat encodes the next heartbeat; nil while the machine is partitioned.
func (m *worker) nextHeartbeat() []byte {
	fleet := m.fleet
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	m.catchUp()
	if m.partitioned {
		return nil
	}
	m.heartbeatSeq++
	m.stateChanged = false
	heartbeat := protocol.WorkerHeartbeat{Machine: m.name, Address: m.name + ":1", Type: machineType, Zone: machineZone,
		Spot: true, Epoch: m.epoch, Sequence: m.heartbeatSeq, FencingToken: m.fencingToken}
	for _, held := range m.tasks {
		heartbeat.Tasks = append(heartbeat.Tasks, held.TaskStatus)
	}
	return storage.Encode(heartbeat)
}

// sendHeartbeat posts a heartbeat to the worker's controller. It returns status 0 without a response.
func (m *worker) sendHeartbeat(ctx context.Context, client *http.Client, body []byte) (int, []byte) {
	m.fleet.mu.Lock()
	nodes := m.fleet.settings.Nodes
	if _, known := nodes[m.node]; !known {
		m.node = m.nextNode()
	}
	address := nodes[m.node]
	m.fleet.mu.Unlock()
	url := "http://" + address + "/v1/report"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(request)
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
	names := make([]string, 0, len(m.fleet.settings.Nodes))
	for name := range m.fleet.settings.Nodes {
		names = append(names, name)
	}
	slices.Sort(names)
	current := slices.Index(names, m.node)
	if current < 0 {
		return names[m.rng.IntN(len(names))]
	}
	return names[(current+1)%len(names)]
}

// handleResponse executes the commands of a response, or switches to another controller. It returns
// false if the heartbeat was not delivered. Responses that are late or carry an older fencing token
// are dropped, as the protocol demands.
func (m *worker) handleResponse(status int, body []byte, sentAt time.Time) bool {
	fleet := m.fleet
	receivedAt := time.Now()
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	switch status {
	case 200:
		var response protocol.HeartbeatResponse
		if m.partitioned || json.Unmarshal(body, &response) != nil || response.FencingToken < m.fencingToken ||
			time.Since(sentAt) > protocol.HeartbeatTimeout {
			return true
		}
		m.stateChanged = m.stateChanged || response.FencingToken > m.fencingToken
		m.fencingToken, m.leaseRenewedAt = response.FencingToken, sentAt
		for _, command := range response.Commands {
			m.executeCommand(command, receivedAt)
		}
		return true
	case 421:
		var redirect protocol.HeartbeatRedirect
		if json.Unmarshal(body, &redirect) == nil && redirect.Node != "" && redirect.Node != m.node {
			m.node, m.stateChanged = redirect.Node, true
			return true
		}
	}
	m.node = m.nextNode()
	return false
}

// executeCommand executes a command unless it has been executed before.
func (m *worker) executeCommand(command protocol.Command, receivedAt time.Time) {
	index := slices.IndexFunc(m.tasks, func(candidate *task) bool {
		return candidate.TaskID == command.TaskID && candidate.Attempt == command.Attempt
	})
	switch {
	case command.Kind == protocol.CommandStart && index < 0:
		m.startTask(command, receivedAt)
	case command.Kind == protocol.CommandStop && index >= 0:
		m.stopTask(m.tasks[index], receivedAt)
	case command.Kind == protocol.CommandForget && index >= 0:
		m.tasks = slices.Delete(m.tasks, index, index+1)
	}
}

// startTask starts the attempt that a command names.
func (m *worker) startTask(command protocol.Command, receivedAt time.Time) {
	fleet := m.fleet
	fleet.operations.record(receivedAt, OperationStartTask, 1, false)
	fleet.startCounts[command.TaskID]++
	fleet.totals.Started++
	runTime := fleet.taskRunTime(command.TaskID)
	if fleet.completedTasks[command.TaskID] {
		runTime = 0 // the result of an earlier attempt is reused
	}
	m.addTask(protocol.TaskStatus{TaskID: command.TaskID, Attempt: command.Attempt, State: protocol.TaskRunning},
		runTime)
}

// stopTask stops a task, and records whether there was a reason for that.
func (m *worker) stopTask(stopping *task, receivedAt time.Time) {
	fleet := m.fleet
	cancelled := fleet.cancelRequested[jobOfTask(stopping.TaskID)]
	_, uploaded := fleet.uploadedJobs[jobOfTask(stopping.TaskID)]
	fleet.operations.record(receivedAt, OperationStopTask, 1, cancelled)
	if stopping.State == protocol.TaskRunning && uploaded && !cancelled && fleet.runningCopies[stopping.TaskID] == 1 {
		fleet.wronglyStopped = append(fleet.wronglyStopped, stopping.TaskID)
	}
	fleet.totals.Stopped++
	m.exitTask(stopping, protocol.ExitStopped)
}
