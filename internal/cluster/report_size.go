package cluster

import (
	"hitchdoor/internal/protocol"
)

// A worker reports all tasks of its machine in the body of one request, so the protocol's limit of a body also
// limits the tasks on a machine. It matters only for tasks that require almost no cores and memory.
const (
	// maxTaskReportBytes is the largest size of the report of one task, without the id of its job.
	maxTaskReportBytes = 104
	// heartbeatHeaderBytes is reserved for the fields of a heartbeat that describe the machine.
	heartbeatHeaderBytes = 1 << 10
)

// taskReportBytes returns the size that the report of one task of a job may have.
func taskReportBytes(spec *protocol.Job) int { return len(spec.ID) + maxTaskReportBytes }

// CanReport reports whether the worker can report another task of a job within the limit of a body.
func (m *Machine) CanReport(spec *protocol.Job) bool {
	return heartbeatHeaderBytes+m.reportBytes+taskReportBytes(spec) <= protocol.MaxBodyBytes
}
