package controller

import (
	"time"

	"hitchdoor/internal/autoscaler"
	"hitchdoor/internal/clock"
	"hitchdoor/internal/cluster"
	"hitchdoor/internal/protocol"
)

// autoscalerHost implements CloudClient, MachineRegistry, JobQueue, WallClock and StoreHealth of
// package autoscaler for a leader.
type autoscalerHost struct{ leader *leader }

// newLeaderAutoscaler returns the autoscaler of a leader.
func newLeaderAutoscaler(l *leader) *autoscaler.Autoscaler {
	host := autoscalerHost{leader: l}
	return autoscaler.New(autoscaler.Options{State: l.State, Term: l.term, Cloud: host, Records: l.writer,
		Recovery: l.recovery, Machines: host, Jobs: host, WallClock: host, Store: host})
}

// TakeRequest takes one request to the cloud from the budget. It reports false if none is left now.
func (h autoscalerHost) TakeRequest() bool {
	return h.leader.node.takeCloudRequest()
}

// ReturnRequest refunds a request to the cloud that was taken from the budget but not sent.
func (h autoscalerHost) ReturnRequest() { h.leader.node.returnCloudRequest() }

// Send sends a request to the cloud, and calls onResponse with the response unless the leader has
// stepped down by then. The status is 0 if no usable response arrives within the timeout.
func (h autoscalerHost) Send(method, path string, body any, timeout time.Duration,
	onResponse func(protocol.CloudResponse)) {
	h.leader.node.callService(TargetCloud, method, path, body, timeout, func(result CallResult) {
		if h.leader.node.leader == h.leader {
			onResponse(protocol.CloudResponse{Status: result.Status, Body: result.Body})
		}
	})
}

// AddRentedMachine adds a machine that this leader has just rented.
func (h autoscalerHost) AddRentedMachine(name string, request *protocol.RentalRequest) {
	h.leader.machineRecords.AddRented(name, request.Type, request.Zone, request.Spot, h.leader.node.now)
}

// AddListedMachine adds a machine that the cloud lists but no stored record names, and returns it.
func (h autoscalerHost) AddListedMachine(host protocol.Host) *cluster.Machine {
	return h.leader.machineRecords.AddListed(host)
}

// RemoveMachine removes a machine that is certain to be gone, with all task attempts on it.
func (h autoscalerHost) RemoveMachine(machine *cluster.Machine) {
	h.leader.machineRecords.Remove(machine)
}

// PendingJobs returns the pending jobs in the order of the last scheduling pass.
func (h autoscalerHost) PendingJobs() []*cluster.Job {
	jobs := make([]*cluster.Job, 0, len(h.leader.PendingOrder))
	for _, queued := range h.leader.PendingOrder {
		jobs = append(jobs, queued.Job)
	}
	return jobs
}

// MayRunUnreported reports whether tasks of a job may be running on machines that are not
// reconciled: they may run attempts that this leader does not know.
func (h autoscalerHost) MayRunUnreported(job *cluster.Job, totals *cluster.MachineTotals) bool {
	return h.leader.MayRunUnreported(job, totals)
}

// SoonReleasedDependents returns the jobs whose last pending dependency is the given job, if the given
// job is expected to end within the horizon.
func (h autoscalerHost) SoonReleasedDependents(job *cluster.Job, horizon time.Duration) []*cluster.Job {
	return h.leader.dependencies.SoonReleasedDependents(job, horizon)
}

// ReleaseUndelivered releases the attempts whose start command did not reach their machine in time.
func (h autoscalerHost) ReleaseUndelivered() { h.leader.ReleaseUndelivered() }

// NowUnixMilli returns this node's wall clock time in Unix milliseconds, for times in stored records.
func (h autoscalerHost) NowUnixMilli() int64 { return h.leader.node.nowUnixMilli() }

// InstantFromUnixMilli converts a stored wall clock time to an instant.
func (h autoscalerHost) InstantFromUnixMilli(milliseconds int64) clock.Instant {
	return h.leader.node.instantFromUnixMilli(milliseconds)
}

// StoreFailing reports whether the last call to the key-value store failed.
func (h autoscalerHost) StoreFailing() bool { return h.leader.node.election.StoreFailing() }
