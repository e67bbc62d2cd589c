package controller

import (
	"strconv"
	"time"

	"hitchdoor/internal/admission"
	"hitchdoor/internal/cluster"
	"hitchdoor/internal/tracing"
)

// Names of the traced steps of a job, from its submission to its end.
const (
	stepAdmissionVerdict = "verdict"         // decision of the admission policy
	stepRejected         = "turned away"     // admitted, but the node had no capacity for it
	stepStored           = "stored"          // the transaction that accepts it was executed
	stepLoaded           = "known to leader" // the leader has loaded it as an open job
	stepBlocked          = "waits"           // a check of the scheduler blocks it
	stepFirstStart       = "first start"     // start command sent to a machine
	stepFirstRunning     = "first task runs" // reported by the machine's heartbeat
	stepTerminal         = "over"            // its terminal record is durable
)

// traceStep emits a trace step of a job, if tracing is enabled in the settings.
func (n *Node) traceStep(jobID, name, note string) {
	if n.settings.MaxTraceSteps == 0 {
		return
	}
	step := tracing.Step{Job: jobID, Node: n.cfg.Node, Name: name, Note: note, At: n.startTime.Add(n.now)}
	if n.leader != nil {
		step.Term = n.leader.term
	}
	if n.admissionPolicy.Current != nil {
		step.Epoch = n.admissionPolicy.Current.Epoch
	}
	n.emit(TraceStep{step})
}

// verdictNote describes an admission verdict for a trace.
func verdictNote(verdict admission.Verdict) string {
	if verdict.Admit {
		return "admitted"
	}
	return "turn in " + strconv.Itoa(verdict.EpochsUntilAdmitted) + " epochs"
}

// TraceBlocked traces which check of the scheduler blocks a job, unless the same check blocked the job
// before. previous is the check that blocked it before.
func (l *leader) TraceBlocked(job *cluster.Job, previous cluster.WaitReason) {
	if job.BlockedBy != previous && job.BlockedBy != "" {
		l.node.traceStep(job.Spec.ID, stepBlocked, string(job.BlockedBy))
	}
}

// jobAge returns the time since a job was accepted, formatted for a trace.
func (l *leader) jobAge(job *cluster.Job) string {
	return (l.node.now - job.AcceptedAt).Round(time.Millisecond).String()
}
