package coordination

import (
	"strconv"
	"time"

	"hitchdoor/internal/admission"
	"hitchdoor/internal/tracing"
)

// Steps of a submission that are traced.
const (
	stepVerdict    = "verdict"         // of the admission policy
	stepTurnedAway = "turned away"     // admitted, but there was no room
	stepStored     = "stored"          // the transaction that accepts it was carried out
	stepKnown      = "known to leader" // it is among the open jobs
	stepWaits      = "waits"           // for what the admission checks say
	stepStart      = "first start"     // command to a machine
	stepRuns       = "first task runs" // by the machine's report
	stepOver       = "over"            // its end is durable
)

// TraceStep is an effect: something that this node did with a job.
type TraceStep struct{ tracing.Step }

// trace tells what this node did with a job, if the operators want traces.
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

// verdictNote is a verdict in words.
func verdictNote(v admission.Verdict) string {
	if v.Admit {
		return "admitted"
	}
	return "turn in " + strconv.Itoa(v.Epochs) + " epochs"
}

// traceWait tells which admission check stops a job, whenever that changes.
func (l *leadership) traceWait(j *job, was waitReason) {
	if j.waits != was && j.waits != "" {
		l.n.trace(j.spec.UID, stepWaits, string(j.waits))
	}
}

// sinceAccepted is a time in words.
func (l *leadership) sinceAccepted(j *job) string {
	return (l.n.now - j.at).Round(time.Millisecond).String()
}
