package coordination

import (
	"strconv"
	"time"

	"hitchdoor/internal/admission"
	"hitchdoor/internal/tracing"
)

// Names of the traced steps of a job, from its submission to its end.
const (
	stepVerdict    = "verdict"         // decision of the admission policy
	stepTurnedAway = "turned away"     // admitted, but the node had no capacity for it
	stepStored     = "stored"          // the transaction that accepts it was executed
	stepKnown      = "known to leader" // the leader has loaded it as an open job
	stepWaits      = "waits"           // blocked by an admission check of the scheduler
	stepStart      = "first start"     // start command sent to a machine
	stepRuns       = "first task runs" // reported by the machine's heartbeat
	stepOver       = "over"            // its terminal record is durable
)

// TraceStep is an effect: a step in the processing of a job by this node, to be traced.
type TraceStep struct{ tracing.Step }

// traceStep emits a trace step of a job, if tracing is enabled in the settings.
func (n *Node) trace(job, name, note string) {
	if n.set.TraceSteps == 0 {
		return
	}
	step := tracing.Step{Job: job, Node: n.cfg.Node, Name: name, Note: note, At: n.wall.Add(n.now)}
	if n.lead != nil {
		step.Term = n.lead.term
	}
	if n.policy.policy != nil {
		step.Epoch = n.policy.policy.Epoch
	}
	n.effects = append(n.effects, TraceStep{step})
}

// verdictNote describes an admission verdict for a trace.
func verdictNote(v admission.Verdict) string {
	if v.Admit {
		return "admitted"
	}
	return "turn in " + strconv.Itoa(v.Epochs) + " epochs"
}

// traceBlocked traces which check blocks a job, when that has changed.
func (l *leadership) traceWait(j *job, was waitReason) {
	if j.waits != was && j.waits != "" {
		l.n.trace(j.spec.UID, stepWaits, string(j.waits))
	}
}

// jobAge formats the time since a job was accepted.
func (l *leadership) sinceAccepted(j *job) string {
	return (l.n.now - j.at).Round(time.Millisecond).String()
}
