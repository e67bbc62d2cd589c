package fakes

import (
	"bytes"
	"context"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"hitchdoor/internal/history"
	"hitchdoor/internal/json"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// worker is a machine of the fleet with the fake worker that runs on it. Its fields are guarded by
// the mutex of its fleet.
type worker struct {
	fleet               *Fleet
	name                string // name of the machine
	node                string // name of the controller that gets the next heartbeat
	epoch, heartbeatSeq uint64 // epoch rises each time the lease expires; heartbeatSeq counts heartbeats
	fencingToken        uint64 // the highest fencing token received
	tasks               []*task
	leaseRenewedAt      time.Time // when the last answered heartbeat was sent
	rentedAt            time.Time
	partitioned         bool          // cut off from all controllers
	stateChanged        bool          // whether to send the next heartbeat early because of a change
	removed             chan struct{} // closed when the machine is removed
	rng                 *rand.Rand
}

// task is an attempt of a task on a machine, with the state that heartbeats report.
type task struct {
	protocol.TaskStatus
	startedAt, endsAt time.Time
}

// minHeartbeatDelay is the minimum delay of a heartbeat that is sent early because of a change.
const minHeartbeatDelay = 500 * time.Millisecond

// killTasks removes all tasks, which were killed at the given time. The caller must hold the fleet's mutex.
func (w *worker) killTasks(at time.Time) {
	for _, machineTask := range w.tasks {
		if machineTask.State != protocol.TaskExited {
			w.fleet.totals.LostByLease++
			w.exitTask(machineTask, protocol.ExitStopped, at)
		}
	}
	w.tasks = nil
}

// exitTask marks a task as exited at the given time, unless it has exited before, and updates the fleet's
// counts.
func (w *worker) exitTask(exiting *task, reason protocol.ExitReason, at time.Time) {
	if exiting.State == protocol.TaskExited {
		return
	}
	exiting.State, exiting.ExitReason = protocol.TaskExited, reason
	w.fleet.settings.History.RecordAt(history.Event{Kind: history.TaskEnded, Task: exiting.TaskID,
		Attempt: exiting.Attempt, Machine: w.name, Completed: reason == protocol.ExitDone}, at)
	w.fleet.runningTasks--
	if w.fleet.runningCopies[exiting.TaskID]--; w.fleet.runningCopies[exiting.TaskID] == 0 {
		delete(w.fleet.runningCopies, exiting.TaskID)
	}
	w.stateChanged = true
	if reason == protocol.ExitDone {
		w.fleet.totals.Finished++
		w.fleet.completedTasks[exiting.TaskID] = true
		return
	}
	w.fleet.totals.LostRunTime += time.Since(exiting.startedAt)
}

// addTask adds a running task to the machine. It records the task as duplicated if another copy runs.
func (w *worker) addTask(initial protocol.TaskStatus, runTime time.Duration) {
	fleet := w.fleet
	fleet.runningTasks++
	if fleet.runningCopies[initial.TaskID]++; fleet.runningCopies[initial.TaskID] > 1 {
		fleet.duplicatedTasks = append(fleet.duplicatedTasks, initial.TaskID)
	}
	now := time.Now()
	w.tasks = append(w.tasks, &task{initial, now, now.Add(runTime)})
	w.stateChanged = true
}

// advanceToNow applies the events that are due: the expiry of the worker lease, which kills all
// tasks, and the completion of tasks.
func (w *worker) advanceToNow() {
	now := time.Now()
	leaseEnd := w.leaseRenewedAt.Add(w.fleet.settings.LeaseDuration)
	if !w.leaseRenewedAt.IsZero() && now.After(leaseEnd) {
		w.epoch++
		w.killTasks(leaseEnd)
		w.leaseRenewedAt = now
	}
	for _, machineTask := range w.tasks {
		if machineTask.State == protocol.TaskRunning && now.After(machineTask.endsAt) {
			w.exitTask(machineTask, protocol.ExitDone, machineTask.endsAt)
		}
	}
}

// heartbeatLoop sends heartbeats and executes the commands of the responses until the machine is
// removed or the context is cancelled.
func (w *worker) heartbeatLoop(ctx context.Context) {
	client := &http.Client{Timeout: protocol.HeartbeatTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	if !w.sleep(ctx, w.fleet.settings.BootTime) {
		return
	}
	w.fleet.mu.Lock()
	w.leaseRenewedAt = time.Now()
	w.fleet.mu.Unlock()
	for {
		sentAt := time.Now()
		status, body := 0, []byte(nil)
		if heartbeat := w.nextHeartbeat(); heartbeat != nil {
			w.repeatLate(ctx, heartbeat)
			status, body = w.sendHeartbeat(ctx, client, heartbeat)
		}
		if !w.sleep(ctx, w.heartbeatDelay(w.handleResponse(status, body, sentAt))) {
			return
		}
	}
}

// heartbeatDelay returns the time to wait before the next heartbeat. It is shorter than usual if the
// last heartbeat was not delivered, if a task, the controller or the fencing token has changed, or if
// a task will complete before the usual time.
func (w *worker) heartbeatDelay(delivered bool) time.Duration {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	delay := time.Duration((0.75 + w.rng.Float64()/2) * float64(w.fleet.settings.HeartbeatInterval))
	if !delivered {
		return min(delay, protocol.NextNodeDelay)
	}
	if w.stateChanged {
		return min(delay, minHeartbeatDelay)
	}
	for _, machineTask := range w.tasks {
		if remaining := time.Until(machineTask.endsAt); machineTask.State == protocol.TaskRunning && remaining < delay {
			delay = max(remaining, minHeartbeatDelay)
		}
	}
	return delay
}

// sleep waits for the duration and returns true. It returns false as soon as the machine is removed or
// the context is cancelled.
func (w *worker) sleep(ctx context.Context, duration time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-w.removed:
		return false
	case <-time.After(duration):
		return true
	}
}

// nextHeartbeat returns the next heartbeat in JSON, or nil while the machine is partitioned.
func (w *worker) nextHeartbeat() []byte {
	fleet := w.fleet
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	w.advanceToNow()
	if w.partitioned {
		return nil
	}
	w.heartbeatSeq++
	w.stateChanged = false
	heartbeat := protocol.WorkerHeartbeat{Machine: w.name, Address: w.name + ":1", Type: machineType, Zone: machineZone,
		Spot: true, Epoch: w.epoch, Sequence: w.heartbeatSeq, FencingToken: w.fencingToken}
	for _, machineTask := range w.tasks {
		heartbeat.Tasks = append(heartbeat.Tasks, machineTask.TaskStatus)
	}
	return storage.Encode(heartbeat)
}

// sendHeartbeat posts a heartbeat to the worker's controller and returns the status and the body of the
// response. The status is 0 if there is no response.
func (w *worker) sendHeartbeat(ctx context.Context, client *http.Client, body []byte) (int, []byte) {
	w.fleet.mu.Lock()
	nodes := w.fleet.settings.Nodes
	if _, known := nodes[w.node]; !known {
		w.node = w.nextNode()
	}
	address := nodes[w.node]
	blockedTo, blockedFrom := w.fleet.blockedTo[w.node], w.fleet.blockedFrom[w.node]
	w.fleet.mu.Unlock()
	status, response := 0, []byte(nil)
	if !blockedTo {
		status, response = postHeartbeat(ctx, client, address, body)
	}
	if blockedTo || blockedFrom {
		w.sleep(ctx, protocol.HeartbeatTimeout)
		return 0, nil
	}
	return status, response
}

// postHeartbeat posts a heartbeat to a controller and returns the status and the body of the response. The
// status is 0 if there is no response.
func postHeartbeat(ctx context.Context, client *http.Client, address string, body []byte) (int, []byte) {
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

// repeatLate sends a copy of some heartbeats to a random controller after up to a worker lease, as a
// network that delivers a message late does. Its response is dropped.
func (w *worker) repeatLate(ctx context.Context, heartbeat []byte) {
	fleet := w.fleet
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	if w.rng.Float64() >= fleet.settings.LateHeartbeatShare {
		return
	}
	delay := time.Duration(w.rng.Float64() * float64(fleet.settings.LeaseDuration))
	names := slices.Sorted(maps.Keys(fleet.settings.Nodes))
	address := fleet.settings.Nodes[names[w.rng.IntN(len(names))]]
	fleet.workerLoops.Go(func() {
		client := &http.Client{Timeout: protocol.HeartbeatTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
		if w.sleep(ctx, delay) {
			postHeartbeat(ctx, client, address, heartbeat)
		}
	})
}

// nextNode returns the name of the controller that follows the worker's current one in sorted order, or
// of a random one if the current one is unknown.
func (w *worker) nextNode() string {
	names := make([]string, 0, len(w.fleet.settings.Nodes))
	for name := range w.fleet.settings.Nodes {
		names = append(names, name)
	}
	slices.Sort(names)
	current := slices.Index(names, w.node)
	if current < 0 {
		return names[w.rng.IntN(len(names))]
	}
	return names[(current+1)%len(names)]
}

// handleResponse executes the commands of a response, or switches to another controller. It returns
// false if the heartbeat was not delivered. It drops responses that are late or carry an older
// fencing token, as the protocol requires, but counts their heartbeats as delivered.
func (w *worker) handleResponse(status int, body []byte, sentAt time.Time) bool {
	fleet := w.fleet
	receivedAt := time.Now()
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	if fleet.workers[w.name] != w {
		return true // the machine was removed while the response was on its way
	}
	epoch := w.epoch
	if w.advanceToNow(); w.epoch != epoch {
		status = 0 // the lease has expired meanwhile, and responses to earlier heartbeats are dropped
	}
	switch status {
	case 200:
		var response protocol.HeartbeatResponse
		if w.partitioned || json.Unmarshal(body, &response) != nil || response.FencingToken < w.fencingToken ||
			time.Since(sentAt) > protocol.HeartbeatTimeout {
			return true
		}
		w.stateChanged = w.stateChanged || response.FencingToken > w.fencingToken
		w.fencingToken, w.leaseRenewedAt = response.FencingToken, sentAt
		fleet.settings.History.Record(history.Event{Kind: history.MachineServed, Machine: w.name})
		for _, command := range response.Commands {
			w.recordCommand(command, response.FencingToken, sentAt)
			w.executeCommand(command, receivedAt, sentAt)
		}
		return true
	case 421:
		var redirect protocol.HeartbeatRedirect
		if json.Unmarshal(body, &redirect) == nil && redirect.Node != "" && redirect.Node != w.node {
			w.node, w.stateChanged = redirect.Node, true
			return true
		}
	}
	w.node = w.nextNode()
	return false
}

// executeCommand executes a command. It ignores a repeated start, and a stop or forget of an attempt
// that the worker does not know.
func (w *worker) executeCommand(command protocol.Command, receivedAt, sentAt time.Time) {
	index := slices.IndexFunc(w.tasks, func(candidate *task) bool {
		return candidate.TaskID == command.TaskID && candidate.Attempt == command.Attempt
	})
	switch {
	case command.Kind == protocol.CommandStart && index < 0:
		w.startTask(command, receivedAt, sentAt)
	case command.Kind == protocol.CommandStop && index >= 0:
		w.stopTask(w.tasks[index], receivedAt)
	case command.Kind == protocol.CommandForget && index >= 0:
		w.tasks = slices.Delete(w.tasks, index, index+1)
	}
}

// recordCommand adds a command of a response with the given token to the history.
func (w *worker) recordCommand(command protocol.Command, token uint64, sentAt time.Time) {
	recorder := w.fleet.settings.History
	recorder.Record(history.Event{Kind: history.CommandExecuted, Task: command.TaskID, Attempt: command.Attempt,
		Machine: w.name, Command: command.Kind, Token: token, HighestToken: w.fencingToken,
		SentAt: recorder.Since(sentAt)})
}

// startTask starts the attempt that a command names. sentAt is when the heartbeat was sent whose response
// contained the command.
func (w *worker) startTask(command protocol.Command, receivedAt, sentAt time.Time) {
	fleet := w.fleet
	fleet.settings.History.Record(history.Event{Kind: history.TaskStarted, Task: command.TaskID,
		Attempt: command.Attempt, Machine: w.name, SentAt: fleet.settings.History.Since(sentAt)})
	fleet.operations.record(receivedAt, OperationStartTask, 1, false)
	fleet.startCounts[command.TaskID]++
	fleet.totals.Started++
	runTime := fleet.taskRunTime(command.TaskID)
	if fleet.completedTasks[command.TaskID] {
		runTime = 0 // the result of an earlier attempt is reused
	}
	w.addTask(protocol.TaskStatus{TaskID: command.TaskID, Attempt: command.Attempt, State: protocol.TaskRunning},
		runTime)
}

// stopTask stops a task. It records a running task as wrongly stopped if its job was uploaded and not
// cancelled and no other machine runs the task.
func (w *worker) stopTask(stopping *task, receivedAt time.Time) {
	fleet := w.fleet
	cancelled := fleet.cancelRequested[jobOfTask(stopping.TaskID)]
	_, uploaded := fleet.uploadedJobs[jobOfTask(stopping.TaskID)]
	fleet.operations.record(receivedAt, OperationStopTask, 1, cancelled)
	if stopping.State == protocol.TaskRunning && uploaded && !cancelled && fleet.runningCopies[stopping.TaskID] == 1 {
		fleet.wronglyStopped = append(fleet.wronglyStopped, stopping.TaskID)
	}
	fleet.totals.Stopped++
	w.exitTask(stopping, protocol.ExitStopped, receivedAt)
}
