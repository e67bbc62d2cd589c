package controller

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"hitchdoor/internal/json"
	"hitchdoor/internal/protocol"
)

// networkCopies holds copies of what carries start commands to workers: the heartbeats, to which controllers respond
// with commands, and the forwarded heartbeats and responses between controllers. No controller sends a command
// in any other way (testdata/calls.txt).
type networkCopies struct {
	sim        *simulation
	heartbeats []protocol.WorkerHeartbeat
	messages   []copiedMessage
	responses  map[uint64]copiedMessage // forwarded responses with start commands, by the ID of the request
}

// copiedMessage is the copy of a message between two controllers.
type copiedMessage struct {
	from, to string
	message  protocol.PeerMessage
}

// recordCopies copies heartbeats and messages from now on.
func (sim *simulation) recordCopies() *networkCopies {
	copies := &networkCopies{sim: sim, responses: map[uint64]copiedMessage{}}
	sim.onHeartbeat = func(_ *fakeWorker, heartbeat *protocol.WorkerHeartbeat) {
		copies.heartbeats = append(copies.heartbeats, *heartbeat)
	}
	sim.observeMessages(func(from string, outbound OutboundMessage) {
		copies.addMessage(copiedMessage{from, outbound.To, outbound.Message})
	})
	return copies
}

// addMessage adds the copy of a forwarded request or response.
func (c *networkCopies) addMessage(copied copiedMessage) {
	switch message := copied.message.(type) {
	case protocol.ForwardedRequest:
		c.messages = append(c.messages, copied)
	case protocol.ForwardedResponse:
		c.messages = append(c.messages, copied)
		var response protocol.HeartbeatResponse
		isStart := func(command protocol.Command) bool { return command.Kind == protocol.CommandStart }
		if json.Unmarshal(message.Body, &response) == nil && slices.ContainsFunc(response.Commands, isStart) {
			c.responses[message.ID] = copied
		}
	}
}

// send delivers the copy of a message to its receiver.
func (c *networkCopies) send(copied copiedMessage) {
	if receiver := c.sim.nodes[copied.to]; !receiver.down {
		receiver.inbox = append(receiver.inbox, InboundMessage{From: copied.from, Message: copied.message})
	}
}

// deliver delivers all copies once more: messages to their receiver, heartbeats to the given nodes.
func (c *networkCopies) deliver(nodes []string) {
	for _, copied := range c.messages {
		c.send(copied)
	}
	for i := range c.heartbeats {
		for _, name := range nodes {
			heartbeat := c.heartbeats[i]
			c.sim.sendRequest(name, Request{Kind: protocol.RequestHeartbeat, Heartbeat: &heartbeat}, func(Reply) {})
		}
	}
}

// deliverBeforeResponses ends the recording. From now on, each forwarded request meets the copy of an earlier response
// with the same ID, if there is one, before its own response arrives.
func (c *networkCopies) deliverBeforeResponses() {
	c.sim.onHeartbeat = nil
	c.sim.observeMessages(func(from string, outbound OutboundMessage) {
		request, isRequest := outbound.Message.(protocol.ForwardedRequest)
		if copied, ok := c.responses[request.ID]; ok && isRequest && copied.to == from {
			c.send(copied)
		}
	})
}

// deliverFor delivers all copies again and again while the simulation runs for a duration. The invariant checker
// checks each start.
func (c *networkCopies) deliverFor(duration time.Duration, nodes []string) {
	for end := c.sim.now + duration; c.sim.now < end; {
		c.deliver(nodes)
		c.sim.advance(100 * time.Millisecond)
	}
}

// Guards against a start command that is carried out again because a copy of it, or of the heartbeat that caused it,
// arrives late: its task runs, has ended, was forgotten, moved or cancelled, and meanwhile a controller or a machine
// was back at once or another controller leads.
func TestLateCopiesOfStartCommands(t *testing.T) {
	situations := map[string]func(sim *simulation){
		"running": func(*simulation) {},
		"ended and forgotten": func(sim *simulation) {
			sim.advance(15 * time.Second) // j-1/0 and j-1/1 take 10 s
		},
		"moved": func(sim *simulation) {
			worker := sim.sortedWorkers()[0]
			worker.unreachable = true
			sim.advance(25 * time.Second)
			worker.unreachable = false
			sim.advance(5 * time.Second)
		},
		"cancelled": func(sim *simulation) {
			if r := sim.cancelJob(sim.leaderName(), "j-1"); r.Status != 200 {
				sim.t.Fatalf("cancellation: got status %d, want 200", r.Status)
			}
			sim.advance(8 * time.Second)
		},
	}
	disruptions := map[string]func(sim *simulation, relay string){
		"none":                  func(*simulation, string) {},
		"follower back at once": func(sim *simulation, relay string) { sim.restartAfter(relay, 200*time.Millisecond) },
		"leader back at once":   func(sim *simulation, _ string) { sim.restartAfter(sim.leaderName(), 200*time.Millisecond) },
		"another leader":        func(sim *simulation, _ string) { sim.restartAfter(sim.leaderName(), 20*time.Second) },
		"machine back at once":  func(sim *simulation, _ string) { sim.sortedWorkers()[1].restartMachine() },
		"machine back at once, in its first epoch": func(sim *simulation, _ string) {
			worker := sim.sortedWorkers()[1]
			worker.restartMachine()
			worker.epoch, worker.sequence, worker.fencingToken = 1, 0, 0
		},
		"all controllers back at once": func(sim *simulation, _ string) { sim.restartAllNodes(200 * time.Millisecond) },
	}
	for situation, change := range situations {
		for disruption, disrupt := range disruptions {
			t.Run(situation+", "+disruption, func(t *testing.T) {
				t.Parallel()
				sim, relay, copies := newRelayedSimulation(t)
				change(sim)
				copies.deliverBeforeResponses()
				disrupt(sim, relay)
				// A copied heartbeat at the relay would take the ID of a forwarded request.
				others := slices.DeleteFunc(slices.Clone(sim.names), func(name string) bool { return name == relay })
				copies.deliverFor(30*time.Second, others)
				sim.waitForLeader()
				before := fmt.Sprint(sim.startCounts)
				copies.deliverFor(5*time.Second, sim.names)
				sim.advance(10 * time.Second)
				if after := fmt.Sprint(sim.startCounts); after != before {
					t.Errorf("starts by task: got %s, want %s as before the late copies", after, before)
				}
				if situation != "cancelled" {
					sim.waitForJobState("j-1", protocol.JobDone, 5*time.Minute)
				}
			})
		}
	}
}

// newRelayedSimulation returns a simulation in which a follower, the relay, forwards all heartbeats, as workers reach
// no other node. Eight tasks of j-1 run, and all traffic that led to their start is copied.
func newRelayedSimulation(t *testing.T) (sim *simulation, relay string, copies *networkCopies) {
	t.Helper()
	sim = newSimulation(t, 3)
	sim.taskDuration = func(task string, _ int) time.Duration {
		if task == "j-1/0" || task == "j-1/1" {
			return 10 * time.Second
		}
		return 2 * time.Minute
	}
	sim.waitForLeader()
	relay = sim.followers()[0]
	sim.workerReaches = func(_ *fakeWorker, node string) bool { return node == relay }
	copies = sim.recordCopies()
	sim.startMachines(4)
	sim.advance(20 * time.Second)
	job := jobSpec("j-1", 8)
	job.EstimatedSeconds = 120
	sim.submitAndStart(relay, job, 8)
	sim.advance(2 * time.Second)
	if len(copies.responses) == 0 {
		t.Fatal("no start command was relayed, want copies of some")
	}
	return sim, relay, copies
}
