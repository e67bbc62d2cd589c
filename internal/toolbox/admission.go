package toolbox

import (
	"fmt"
	"io"
	"net/url"
	"slices"
	"text/tabwriter"
	"time"

	"hitchdoor/internal/admission"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/tracing"
)

// epochPropagationTime is the time that a new admission policy may take to reach all nodes. Only
// nodes that differ for longer are reported as inconsistent.
const settleTime = time.Second

// admissionResponse is a node's response about its admission policy.
type admissionAnswer = answer[admission.NodeStatus]

// PrintAdmission prints the admission policy of each node and, if a job is named, why the job was
// rejected. It returns an *IncompleteError if a node does not answer or the nodes are inconsistent.
func Admission(out io.Writer, o Options, job string) error {
	path := "/admission"
	if job != "" {
		path += "/" + url.PathEscape(job)
	}
	answers := askAll[admission.NodeStatus](o, path)
	if disagree(answers) {
		time.Sleep(settleTime)
		answers = askAll[admission.NodeStatus](o, path)
	}
	incomplete := &IncompleteError{}
	printNodes(out, answers, incomplete)
	if newest := newestOf(answers); newest != nil {
		printPolicy(out, newest)
	} else {
		incomplete.add("no node answers")
	}
	printWaiting(out, answers, incomplete)
	if job != "" {
		printJob(out, job, answers, incomplete)
	}
	return incomplete.orNil()
}

// newestStatus returns the status with the newest policy; nil without any response.
func newestOf(answers []admissionAnswer) *admission.NodeStatus {
	var newest *admission.NodeStatus
	for i := range answers {
		a := &answers[i]
		if a.err == nil && (newest == nil || a.value.Version > newest.Version) {
			newest = &a.value
		}
	}
	return newest
}

// policiesDiffer returns whether the nodes apply different versions of the policy.
func disagree(answers []admissionAnswer) bool {
	newest := newestOf(answers)
	return newest != nil && slices.ContainsFunc(answers, func(a admissionAnswer) bool {
		return a.err == nil && a.value.Version != newest.Version
	})
}

// printAdmissionNodes prints one row per node.
func printNodes(out io.Writer, answers []admissionAnswer, incomplete *IncompleteError) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "NODE\tADDRESS\tROLE\tSWITCHED ON\tPOLICY")
	newest := newestOf(answers)
	leaders := 0
	for _, a := range answers {
		if a.err != nil {
			fmt.Fprintf(table, "?\t%s\t?\t?\t%v\n", a.address, a.err)
			incomplete.add("%s: %v", a.address, a.err)
			continue
		}
		role := "follower"
		if a.value.Leads {
			role = "leader"
			leaders++
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%v\t%s\n",
			a.value.Node, a.address, role, a.value.Enabled, policyName(&a.value))
		if a.value.Invalid {
			incomplete.add("%s: the stored policy can't be read", a.value.Node)
		}
		if a.value.Version != newest.Version {
			incomplete.add("%s judges by another policy than %s", a.value.Node, newest.Node)
		}
	}
	table.Flush()
	if leaders != 1 {
		incomplete.add("%d nodes say that they lead", leaders)
	}
}

// describePolicy returns a short description of the policy that a node applies.
func policyName(s *admission.NodeStatus) string {
	switch {
	case s.Invalid:
		return fmt.Sprintf("version %d, which can't be read", s.Version)
	case s.Policy == nil:
		return "none: all are admitted"
	default:
		return fmt.Sprintf("epoch %d, version %d, known for %.1f s",
			s.Policy.Epoch, s.Version, s.AgeS)
	}
}

// printPolicy prints the share of submissions that each group is admitted.
func printPolicy(out io.Writer, s *admission.NodeStatus) {
	if s.Policy == nil {
		return
	}
	length := time.Duration(s.Policy.LengthMS) * time.Millisecond
	fmt.Fprintf(out, "\nEpoch %d of %v. What each group is admitted of:\n", s.Policy.Epoch, length)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "TEAM\tCLASS\tPRIORITY\tASKING\tADMITTED NOW\tMORE EACH EPOCH\tALL HAD THEIR TURN IN")
	for _, share := range append(slices.Clone(s.Policy.Shares), s.Policy.Rest) {
		team, class, priority, asking := share.Team, share.Class, protocol.PriorityOf(share.Rank),
			fmt.Sprint(share.Demand)
		if share.Group == (admission.Group{}) {
			team, class, priority, asking = "all others", "", "", ""
		}
		step := share.Steps[len(share.Steps)-1]
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%.1f%%\t%.1f%%\t%v\n", team, class, priority, asking,
			percentOfRing(share.Open()), percentOfRing(step),
			time.Duration(share.EpochsToAll())*length)
	}
	table.Flush()
}

// percentAdmitted converts a number of ring positions into a percentage of the ring.
func percentOfRing(positions uint64) float64 { return 100 * float64(positions) / admission.Ring }

// printPendingJobs prints the leader's numbers of pending jobs by team, class and priority.
func printWaiting(out io.Writer, answers []admissionAnswer, incomplete *IncompleteError) {
	for _, a := range answers {
		if a.err != nil || !a.value.Leads {
			continue
		}
		fmt.Fprintf(out, "\nAccepted and not begun, by %s (an epoch takes %.1f jobs):\n",
			a.value.Node, a.value.Capacity)
		if len(a.value.Waiting) == 0 {
			fmt.Fprintln(out, "none")
			return
		}
		table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
		fmt.Fprintln(table, "TEAM\tCLASS\tPRIORITY\tJOBS")
		for _, w := range a.value.Waiting {
			fmt.Fprintf(table, "%s\t%s\t%s\t%d\n",
				w.Team, w.Class, protocol.PriorityOf(w.Rank), w.Jobs)
		}
		table.Flush()
		return
	}
	incomplete.add("no leader answers, so what waits is not known")
}

// printJobAdmission prints what the nodes know about the admission of a job.
func printJob(out io.Writer, job string, answers []admissionAnswer, incomplete *IncompleteError) {
	fmt.Fprintln(out)
	known := false
	for _, a := range answers {
		if a.err != nil || a.value.Job == nil {
			continue
		}
		switch j := a.value.Job; {
		case j.Accepted:
			fmt.Fprintf(out, "%s: accepted, as %s knows\n", job, a.value.Node)
			return
		case j.Refused != nil && j.Admit:
			fmt.Fprintf(out, "%s: was refused by %s as one of team %q, class %q; it is admitted now\n",
				job, a.value.Node, j.Refused.Team, j.Refused.Class)
			known = true
		case j.Refused != nil:
			fmt.Fprintf(out,
				"%s: refused by %s, as more of team %q, class %q, priority %s is submitted than can be taken; its turn comes in %d s\n",
				job, a.value.Node, j.Refused.Team, j.Refused.Class,
				protocol.PriorityOf(j.Refused.Rank), j.TurnInS)
			known = true
		}
	}
	if !known {
		fmt.Fprintf(out, "%s: no node that answers knows of it\n", job)
		if len(incomplete.Reasons) > 0 {
			incomplete.add("%s may be known to the others", job)
		}
	}
}

// PrintTrace prints the trace steps of a job that the nodes have kept, sorted by time.
func Trace(out io.Writer, o Options, job string) error {
	incomplete := &IncompleteError{}
	var steps []tracing.Step
	for _, a := range askAll[[]tracing.Step](o, "/trace/"+url.PathEscape(job)) {
		if a.err != nil {
			incomplete.add("%s: %v", a.address, a.err)
		}
		steps = append(steps, a.value...)
	}
	slices.SortStableFunc(steps, func(a, b tracing.Step) int { return a.At.Compare(b.At) })
	if len(steps) == 0 {
		incomplete.add("no node has kept a step of %s (see trace_steps)", job)
		return incomplete
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "TIME\tNODE\tSTEP\tNOTE\tTERM\tEPOCH")
	for _, s := range steps {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%d\n",
			s.At.UTC().Format("15:04:05.000"), s.Node, s.Name, s.Note, s.Term, s.Epoch)
	}
	table.Flush()
	return incomplete.orNil()
}
