package adminclient

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

// policyPropagationTime is the time that a new admission policy may take to reach all nodes. Nodes are
// reported as inconsistent only if their policies differ for longer.
const policyPropagationTime = time.Second

// admissionResponse is a node's response about its admission policy.
type admissionResponse = nodeResponse[admission.NodeStatus]

// PrintAdmission prints the admission policy of each node and, unless job is empty, whether that job
// was accepted or why it was rejected. It returns an *IncompleteError if a node does not answer, a
// policy is invalid, or the nodes do not agree about the policy or the leader.
func PrintAdmission(out io.Writer, options Options, job string) error {
	path := "/admission"
	if job != "" {
		path += "/" + url.PathEscape(job)
	}
	responses := queryAll[admission.NodeStatus](options, path)
	if policiesDiffer(responses) {
		time.Sleep(policyPropagationTime)
		responses = queryAll[admission.NodeStatus](options, path)
	}
	incomplete := &IncompleteError{}
	printAdmissionNodes(out, responses, incomplete)
	if newest := newestStatus(responses); newest != nil {
		printPolicy(out, newest, incomplete)
	} else {
		incomplete.addReason("no node answers")
	}
	printPendingJobs(out, responses, incomplete)
	if job != "" {
		printJobAdmission(out, job, responses, incomplete)
	}
	return incomplete.errorOrNil()
}

// newestStatus returns the status with the highest policy revision, or nil if no node has responded.
func newestStatus(responses []admissionResponse) *admission.NodeStatus {
	var newest *admission.NodeStatus
	for i := range responses {
		response := &responses[i]
		if response.err == nil && (newest == nil || response.value.PolicyRevision > newest.PolicyRevision) {
			newest = &response.value
		}
	}
	return newest
}

// policiesDiffer reports whether the nodes that have responded apply different versions of the policy.
func policiesDiffer(responses []admissionResponse) bool {
	newest := newestStatus(responses)
	return newest != nil && slices.ContainsFunc(responses, func(response admissionResponse) bool {
		return response.err == nil && response.value.PolicyRevision != newest.PolicyRevision
	})
}

// printAdmissionNodes prints one row per node, with its role and policy.
func printAdmissionNodes(out io.Writer, responses []admissionResponse, incomplete *IncompleteError) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "NODE\tADDRESS\tROLE\tSWITCHED ON\tPOLICY")
	newest := newestStatus(responses)
	leaders := 0
	for _, response := range responses {
		if response.err != nil {
			fmt.Fprintf(table, "?\t%s\t?\t?\t%v\n", response.address, response.err)
			incomplete.addReason("%s: %v", response.address, response.err)
			continue
		}
		role := "follower"
		if response.value.IsLeader {
			role = "leader"
			leaders++
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%v\t%s\n",
			response.value.Node, response.address, role, response.value.Enabled, describePolicy(&response.value))
		if response.value.Invalid {
			incomplete.addReason("%s: the stored policy can't be read", response.value.Node)
		}
		if response.value.PolicyRevision != newest.PolicyRevision {
			incomplete.addReason("%s judges by another policy than %s", response.value.Node, newest.Node)
		}
	}
	table.Flush()
	if leaders != 1 {
		incomplete.addReason("%d nodes say that they lead", leaders)
	}
}

// describePolicy returns a short description of the policy that a node applies.
func describePolicy(status *admission.NodeStatus) string {
	switch {
	case status.Invalid:
		return fmt.Sprintf("version %d, which can't be read", status.PolicyRevision)
	case status.Policy == nil:
		return "none: all are admitted"
	default:
		return fmt.Sprintf("epoch %d, version %d, known for %.1f s",
			status.Policy.Epoch, status.PolicyRevision, status.PolicyAgeSeconds)
	}
}

// printPolicy prints the share of submissions that is admitted of each group. If the policy is invalid,
// it only adds a reason to incomplete: no controller applies such a policy, so the response is not from
// a controller.
func printPolicy(out io.Writer, status *admission.NodeStatus, incomplete *IncompleteError) {
	if status.Policy == nil {
		return
	}
	if err := status.Policy.Validate(); err != nil {
		incomplete.addReason("%s: %v", status.Node, err)
		return
	}
	epochLength := time.Duration(status.Policy.EpochLengthMS) * time.Millisecond
	fmt.Fprintf(out, "\nEpoch %d, which lasts %v. Admitted share of each group's submissions:\n",
		status.Policy.Epoch, epochLength)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "TEAM\tCLASS\tPRIORITY\tASKING\tADMITTED NOW\tMORE EACH EPOCH\tALL HAD THEIR TURN IN")
	for _, share := range append(slices.Clone(status.Policy.Shares), status.Policy.DefaultShare) {
		team, class, priority, demand := share.Team, share.Class, protocol.PriorityName(share.PriorityRank),
			fmt.Sprint(share.Demand)
		if share.Group == (admission.Group{}) {
			team, class, priority, demand = "all others", "", "", ""
		}
		lastStep := share.Steps[len(share.Steps)-1]
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%.1f%%\t%.1f%%\t%v\n", team, class, priority, demand,
			percentAdmitted(share.AdmittedPositions()), percentAdmitted(lastStep),
			time.Duration(share.EpochsToAdmitAll())*epochLength)
	}
	table.Flush()
}

// percentAdmitted converts a number of admitted positions into a percentage of admission.Ring. Each
// job has a position on that ring, so this is the admitted share of the jobs.
func percentAdmitted(positions uint64) float64 { return 100 * float64(positions) / admission.Ring }

// printPendingJobs prints how many accepted jobs have no started task yet, by team, class and
// priority, according to the leader.
func printPendingJobs(out io.Writer, responses []admissionResponse, incomplete *IncompleteError) {
	for _, response := range responses {
		if response.err != nil || !response.value.IsLeader {
			continue
		}
		fmt.Fprintf(out, "\nAccepted jobs without a started task, according to %s (capacity: %.1f jobs per epoch):\n",
			response.value.Node, response.value.EpochCapacity)
		if len(response.value.WaitingGroups) == 0 {
			fmt.Fprintln(out, "none")
			return
		}
		table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
		fmt.Fprintln(table, "TEAM\tCLASS\tPRIORITY\tJOBS")
		for _, group := range response.value.WaitingGroups {
			fmt.Fprintf(table, "%s\t%s\t%s\t%d\n",
				group.Team, group.Class, protocol.PriorityName(group.PriorityRank), group.Jobs)
		}
		table.Flush()
		return
	}
	incomplete.addReason("no leader answers, so the number of accepted jobs without a started task is unknown")
}

// printJobAdmission prints what the nodes know about the admission of a job.
func printJobAdmission(out io.Writer, job string, responses []admissionResponse, incomplete *IncompleteError) {
	fmt.Fprintln(out)
	known := false
	for _, response := range responses {
		if response.err != nil || response.value.Job == nil {
			continue
		}
		switch status := response.value.Job; {
		case status.Accepted:
			fmt.Fprintf(out, "%s: accepted, according to %s\n", job, response.value.Node)
			return
		case status.RejectedGroup != nil && status.AdmittedNow:
			fmt.Fprintf(out, "%s: was refused by %s as a job of team %q, class %q; a new submission is admitted now\n",
				job, response.value.Node, status.RejectedGroup.Team, status.RejectedGroup.Class)
			known = true
		case status.RejectedGroup != nil && response.value.Invalid:
			fmt.Fprintf(out, "%s: refused by %s, where the stored admission policy is invalid and admits no job\n",
				job, response.value.Node)
			known = true
		case status.RejectedGroup != nil:
			fmt.Fprintf(out,
				"%s: refused by %s, because more jobs of team %q, class %q, priority %s are submitted than can be "+
					"accepted; its turn comes in %d s\n",
				job, response.value.Node, status.RejectedGroup.Team, status.RejectedGroup.Class,
				protocol.PriorityName(status.RejectedGroup.PriorityRank), status.SecondsUntilAdmitted)
			known = true
		}
	}
	if !known {
		fmt.Fprintf(out, "%s: no node that answers knows this job\n", job)
		if len(incomplete.Reasons) > 0 {
			incomplete.addReason("job %s may be known to nodes that do not answer", job)
		}
	}
}

// PrintTrace prints the trace steps of a job that the nodes have kept, sorted by time. It returns an
// *IncompleteError if a node does not answer or no node has kept any step.
func PrintTrace(out io.Writer, options Options, job string) error {
	incomplete := &IncompleteError{}
	var steps []tracing.Step
	for _, response := range queryAll[[]tracing.Step](options, "/trace/"+url.PathEscape(job)) {
		if response.err != nil {
			incomplete.addReason("%s: %v", response.address, response.err)
		}
		steps = append(steps, response.value...)
	}
	slices.SortStableFunc(steps, func(a, b tracing.Step) int { return a.At.Compare(b.At) })
	if len(steps) == 0 {
		incomplete.addReason("no node has kept a trace step of job %s (see setting trace_steps)", job)
		return incomplete
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "TIME\tNODE\tSTEP\tNOTE\tTERM\tEPOCH")
	for _, step := range steps {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%d\n",
			step.At.UTC().Format("15:04:05.000"), step.Node, step.Name, step.Note, step.Term, step.Epoch)
	}
	table.Flush()
	return incomplete.errorOrNil()
}
