package controller

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/config"
	"hitchdoor/internal/json"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// fakeCloud is an in-process fake of the cloud's HTTP interface.
type fakeCloud struct {
	simulation        *simulation
	rentals           map[string][]string    // names of rented machines, by request id
	hosts             map[string]*fakeWorker // rented machines, by name
	lastMachineNumber int
	unavailable       bool                   // every call gets status 503
	noSpot            bool                   // there is no capacity for spot machines
	capacity          int                    // limit of rented machines; 0: none
	rejectReturns     bool                   // calls that return machines get status 503
	listsEmpty        bool                   // machine lists are empty
	bootTime          time.Duration          // 0: 2 s
	nextBootTime      func() time.Duration   // boot time of the next machine; nil: bootTime
	machineTypes      []protocol.MachineType // nil: c4 only
}

// serve responds to a call of a node.
func (c *fakeCloud) serve(call ServiceCall, respond func(int, any)) {
	if c.unavailable {
		respond(503, map[string]string{"error": "unavailable"})
		return
	}
	switch {
	case call.Path == "/catalog":
		types := c.machineTypes
		if types == nil {
			types = []protocol.MachineType{{Name: "c4", Cores: 4, MemoryGB: 16, ImageCacheGB: 40,
				PullGBPerSecond: 1, OnDemandPrice: 0.3, SpotPrice: 0.1, BootSeconds: 5, Zones: []string{"a", "b"}}}
		}
		respond(200, protocol.Catalog{Types: types})
	case call.Path == "/hosts":
		var request protocol.RentalRequest
		if err := json.Unmarshal(call.Body, &request); err != nil {
			c.simulation.t.Fatal(err)
		}
		// A rental must be in the key-value store before the cloud gets its first request.
		if _, stored := c.simulation.store.keys[storage.RentalPrefix+request.RequestID]; !stored &&
			c.rentals[request.RequestID] == nil {
			c.simulation.t.Fatalf("rental %s is requested from the cloud before it is in the key-value store",
				request.RequestID)
		}
		if (c.noSpot && request.Spot) || (c.capacity > 0 && len(c.hosts)+request.Count > c.capacity) {
			respond(503, map[string]string{"error": "no capacity"})
			return
		}
		names, known := c.rentals[request.RequestID]
		if !known {
			for range request.Count {
				names = append(names, c.rentMachine(request.Type, request.Zone, request.Spot).name)
			}
			c.rentals[request.RequestID] = names
		}
		respond(200, protocol.MachineNames{Machines: names})
	case call.Path == "/hosts/return" && c.rejectReturns:
		respond(503, map[string]string{"error": "unavailable"})
	case call.Path == "/hosts/return":
		var returned protocol.MachineNames
		json.Unmarshal(call.Body, &returned)
		for _, name := range returned.Machines {
			if worker := c.simulation.workers[name]; worker != nil {
				c.removeMachine(worker)
			}
			delete(c.hosts, name)
		}
		respond(200, nil)
	case strings.HasPrefix(call.Path, "/hosts?"):
		var page protocol.HostPage
		for _, worker := range c.hosts {
			if c.listsEmpty {
				break
			}
			page.Machines = append(page.Machines,
				protocol.Host{Name: worker.name, Type: worker.machineType, Zone: worker.zone,
					Spot: worker.spot, State: "running"})
		}
		sort.Slice(page.Machines, func(i, j int) bool { return page.Machines[i].Name < page.Machines[j].Name })
		respond(200, page)
	default:
		c.simulation.t.Fatalf("cloud: unexpected call of %s", call.Path)
	}
}

// removeMachine removes a machine at once, as its return or a preemption without notice does.
func (c *fakeCloud) removeMachine(worker *fakeWorker) {
	worker.disconnect()
	delete(c.simulation.workers, worker.name)
	delete(c.hosts, worker.name)
}

// rentMachine adds a machine, whose worker starts after the boot time unless the machine is removed
// before.
func (c *fakeCloud) rentMachine(machineType, zone string, spot bool) *fakeWorker {
	c.lastMachineNumber++
	worker := &fakeWorker{simulation: c.simulation, name: fmt.Sprintf("m-%06d", c.lastMachineNumber),
		machineType: machineType, zone: zone, spot: spot, epoch: 1,
		node: c.simulation.names[c.lastMachineNumber%len(c.simulation.names)]}
	c.hosts[worker.name] = worker
	bootTime := c.bootTime
	if bootTime == 0 {
		bootTime = 2 * time.Second
	}
	if c.nextBootTime != nil {
		bootTime = c.nextBootTime()
	}
	c.simulation.schedule(bootTime, func() {
		if c.hosts[worker.name] == worker {
			worker.leaseRenewedAt, worker.nextHeartbeatAt = c.simulation.now, c.simulation.now
			c.simulation.addWorker(worker)
		}
	})
	return worker
}

// fakeWorker simulates the worker of one machine: its heartbeats, its lease and its tasks.
type fakeWorker struct {
	simulation                  *simulation
	name, machineType, zone     string
	spot                        bool
	epoch, sequence             uint64 // grow with each loss of all tasks, and with each heartbeat
	fencingToken                uint64 // highest leader term that it has seen in a response
	node                        string // node that it sends heartbeats to
	connectedNode               string // node of its open connection; "": none, always so without a connectionLimit
	tasks                       []*fakeTask
	leaseRenewedAt              clock.Instant // send time of the last answered heartbeat
	nextHeartbeatAt             clock.Instant
	awaitingResponse            bool
	stateChanged                bool          // the next heartbeat is sent up to 1 s early
	preemptionNotice            *float64      // seconds until the preemption; nil: none
	unreachable                 bool          // its heartbeats and the responses to it are lost
	hung                        bool          // it sends nothing, and its tasks do not end
	faulty                      bool          // its tasks fail
	failureDelay                time.Duration // time after which tasks of a faulty machine fail; 0: at their end
	dropResponses               bool          // responses to it are lost
	responseDelay               time.Duration // delay of the responses to it
	stopGraces                  []float64     // grace periods of executed stop commands, in seconds
	forgottenTasks              []string      // tasks removed by forget commands
	responseCount, refusalCount int           // heartbeats with status 200, and those without 200 or 421
}

// fakeTask is one attempt of a task on a machine.
type fakeTask struct {
	taskKey         string
	attempt         uint64
	state           protocol.TaskState
	exitReason      protocol.ExitReason
	checkpointSaved bool
	endsAt          clock.Instant
}

// heartbeat returns the worker's next heartbeat.
func (worker *fakeWorker) heartbeat() *protocol.WorkerHeartbeat {
	worker.sequence++
	heartbeat := &protocol.WorkerHeartbeat{Machine: worker.name, Address: worker.name + ":9000",
		Type: worker.machineType, Zone: worker.zone, Spot: worker.spot, Epoch: worker.epoch, Sequence: worker.sequence,
		FencingToken: worker.fencingToken, PreemptionNoticeSeconds: worker.preemptionNotice}
	for _, task := range worker.tasks {
		heartbeat.Tasks = append(heartbeat.Tasks, protocol.TaskStatus{TaskID: task.taskKey, Attempt: task.attempt,
			State: task.state, ExitReason: task.exitReason, CheckpointSaved: task.checkpointSaved})
	}
	return heartbeat
}

// restartMachine restarts the machine at once, with a new epoch and without tasks.
func (worker *fakeWorker) restartMachine() {
	worker.epoch++
	worker.tasks, worker.leaseRenewedAt, worker.stateChanged, worker.awaitingResponse = nil, worker.simulation.now, true, false
}

// tick advances the worker by one step. It starts a new epoch without tasks if the lease has expired,
// completes tasks whose time is up, and sends a heartbeat if one is due.
func (worker *fakeWorker) tick(leaseDuration time.Duration) {
	sim := worker.simulation
	if sim.now-worker.leaseRenewedAt > leaseDuration {
		// A machine that hangs for longer than its lease loses its tasks, too.
		worker.epoch++
		worker.tasks, worker.leaseRenewedAt, worker.stateChanged = nil, sim.now, true
	}
	if worker.hung {
		return
	}
	for _, task := range worker.tasks {
		if task.state == protocol.TaskRunning && sim.now >= task.endsAt {
			task.state, task.exitReason, worker.stateChanged = protocol.TaskExited, protocol.ExitDone, true
			if worker.faulty || sim.failingJobs[jobIDOf(task.taskKey)] {
				task.exitReason = protocol.ExitFailed
			} else {
				sim.completedTasks[task.taskKey] = true
			}
		}
	}
	if worker.unreachable || worker.awaitingResponse ||
		(sim.now < worker.nextHeartbeatAt && !(worker.stateChanged && sim.now > worker.nextHeartbeatAt-time.Second)) {
		return
	}
	worker.sendHeartbeat(worker.heartbeat())
}

// sendHeartbeat sends a heartbeat to the worker's node and handles the response.
func (worker *fakeWorker) sendHeartbeat(heartbeat *protocol.WorkerHeartbeat) {
	sim := worker.simulation
	if sim.onHeartbeat != nil {
		sim.onHeartbeat(worker, heartbeat)
	}
	worker.awaitingResponse, worker.stateChanged = true, false
	sentAt, epoch := sim.now, worker.epoch
	worker.nextHeartbeatAt = sim.now + config.Seconds(sim.cfg.Workers.HeartbeatIntervalS)
	done := false
	finish := func(r Reply) {
		if done {
			return
		}
		done, worker.awaitingResponse = true, false
		worker.handleResponse(r, sentAt, epoch)
	}
	sim.schedule(4*time.Second, func() { finish(Reply{}) })
	if sim.unreachableNodes[worker.node] || sim.heartbeatsBlocked[worker.node] ||
		(sim.workerReaches != nil && !sim.workerReaches(worker, worker.node)) {
		return // the request is lost
	}
	if !worker.connect() {
		sim.schedule(step, func() { finish(Reply{Status: 503, RetryAfter: 1}) })
		return
	}
	node := worker.node
	sim.sendRequest(node, Request{Kind: protocol.RequestHeartbeat, Heartbeat: heartbeat}, func(r Reply) {
		if !worker.unreachable && !worker.dropResponses && !sim.responsesBlocked[node] {
			sim.schedule(worker.responseDelay, func() { finish(r) })
		}
	})
}

// connect opens a connection to the worker's node. It returns false if the node has reached its limit
// of connections.
func (worker *fakeWorker) connect() bool {
	sim := worker.simulation
	if sim.connectionLimit == 0 || worker.connectedNode == worker.node {
		return true
	}
	worker.disconnect()
	if sim.nodes[worker.node].down {
		return true // the request fails at once
	}
	if sim.openConnections[worker.node] >= sim.connectionLimit {
		return false
	}
	worker.connectedNode = worker.node
	sim.openConnections[worker.node]++
	return true
}

// disconnect closes the worker's connection, if there is one.
func (worker *fakeWorker) disconnect() {
	if worker.connectedNode != "" {
		worker.simulation.openConnections[worker.connectedNode]--
		worker.connectedNode = ""
	}
}

// handleResponse handles the response to the heartbeat that was sent at sentAt in the given worker epoch.
func (worker *fakeWorker) handleResponse(r Reply, sentAt clock.Instant, epoch uint64) {
	sim := worker.simulation
	// The worker closes its connection before it switches nodes. A server that is short of connections
	// closes them after each response, so that workers take turns.
	if sim.connectionLimit > 0 && (r.Status != 200 ||
		sim.openConnections[worker.connectedNode] > sim.connectionLimit-sim.connectionLimit/8) {
		worker.disconnect()
	}
	switchNode := func() {
		i := slices.Index(sim.names, worker.node)
		worker.node = sim.names[(i+1)%len(sim.names)]
		worker.nextHeartbeatAt = sim.now + time.Second
	}
	switch r.Status {
	case 200:
		worker.responseCount++
		var response protocol.HeartbeatResponse
		if err := json.Unmarshal(r.Body, &response); err != nil {
			sim.t.Fatal(err)
		}
		if response.FencingToken < worker.fencingToken || epoch != worker.epoch {
			return
		}
		if response.FencingToken > worker.fencingToken {
			worker.fencingToken, worker.stateChanged = response.FencingToken, true
		}
		worker.leaseRenewedAt = sentAt
		for _, c := range response.Commands {
			worker.executeCommand(c)
		}
	case 421:
		var redirect protocol.HeartbeatRedirect
		json.Unmarshal(r.Body, &redirect)
		if redirect.Node == "" || redirect.Node == worker.node {
			switchNode()
			return
		}
		worker.node, worker.nextHeartbeatAt = redirect.Node, sim.now
	default:
		worker.refusalCount++
		switchNode()
	}
}

// executeCommand starts, stops or forgets a task attempt.
func (worker *fakeWorker) executeCommand(command protocol.Command) {
	i := slices.IndexFunc(worker.tasks,
		func(task *fakeTask) bool { return task.taskKey == command.TaskID && task.attempt == command.Attempt })
	worker.stateChanged = true
	switch command.Kind {
	case protocol.CommandStart:
		if i >= 0 {
			return
		}
		worker.simulation.startCounts[command.TaskID]++
		worker.simulation.checkStartCommand(worker, command)
		worker.simulation.checkTaskStart(worker, command.TaskID)
		endsAt := worker.simulation.now
		// A task that has completed before ends at once, since its result was kept.
		if !worker.simulation.completedTasks[command.TaskID] {
			duration := worker.simulation.taskDuration(command.TaskID, worker.simulation.startCounts[command.TaskID])
			if worker.faulty && worker.failureDelay > 0 {
				duration = worker.failureDelay
			}
			endsAt += duration
		}
		worker.tasks = append(worker.tasks,
			&fakeTask{taskKey: command.TaskID, attempt: command.Attempt, state: protocol.TaskRunning, endsAt: endsAt})
	case protocol.CommandStop:
		if i >= 0 && worker.tasks[i].state != protocol.TaskExited {
			worker.stopGraces = append(worker.stopGraces, *command.GraceSeconds)
			task := worker.tasks[i]
			worker.simulation.stoppedTasks = append(worker.simulation.stoppedTasks, task.taskKey)
			task.state, task.exitReason = protocol.TaskExited, protocol.ExitStopped
			job := worker.simulation.jobSpecs[jobIDOf(command.TaskID)]
			task.checkpointSaved = job.CheckpointIntervalSeconds > 0 &&
				*command.GraceSeconds >= job.CheckpointSaveSeconds
		}
	case protocol.CommandForget:
		if i >= 0 {
			worker.forgottenTasks = append(worker.forgottenTasks, command.TaskID)
			worker.tasks = slices.Delete(worker.tasks, i, i+1)
		}
	}
}
