package adminclient

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"hitchdoor/internal/recovery"
)

// PrintRecovery prints the progress of the leader's recovery, the mismatches between the workers and
// the records, the quarantined records (those that can't be read), and what is left of the leader's
// rate limits. It returns an *IncompleteError if a node does not answer or shares its name with
// another one, if no leader answers or different leaders are named, or if records are quarantined.
func PrintRecovery(out io.Writer, options Options) error {
	responses := queryAll[recovery.NodeStatus](options, "/recovery")
	incomplete := &IncompleteError{}
	leader := printRecoveryNodes(out, responses, incomplete)
	if leader == nil {
		incomplete.addReason("no leader answers, so the progress of its recovery is unknown")
	} else {
		printRecovery(out, leader)
	}
	printQuarantined(out, responses, incomplete)
	return incomplete.errorOrNil()
}

// printRecoveryNodes prints one row per node. It returns the status of the leader with the highest
// term, or nil if no leader answers.
func printRecoveryNodes(out io.Writer, responses []nodeResponse[recovery.NodeStatus],
	incomplete *IncompleteError) *recovery.NodeStatus {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "NODE\tADDRESS\tROLE\tTERM\tPHASE\tFOR")
	var leader *recovery.NodeStatus
	leaders := map[string]bool{}
	names := map[string]bool{}
	for i := range responses {
		response := &responses[i]
		if response.err != nil {
			fmt.Fprintf(table, "?\t%s\t?\t?\t?\t%v\n", response.address, response.err)
			incomplete.addReason("%s: %v", response.address, response.err)
			continue
		}
		status := &response.value
		if names[status.Node] {
			incomplete.addReason("%s: a second node that calls itself %s", response.address, status.Node)
		}
		names[status.Node] = true
		if name := printRecoveryNode(table, response.address, status); name != "" {
			leaders[name] = true
		}
		if isRecoveringLeader(status) && (leader == nil || status.Term > leader.Term) {
			leader = status
		}
	}
	table.Flush()
	if len(leaders) > 1 {
		incomplete.addReason("the nodes name different leaders: %v", slices.Sorted(maps.Keys(leaders)))
	}
	return leader
}

// isRecoveringLeader reports whether a node leads and its status includes that of its recovery.
func isRecoveringLeader(status *recovery.NodeStatus) bool {
	return status.IsLeader && status.Recovery != nil
}

// printRecoveryNode prints the row of a node. It returns the name of the leader according to that node,
// or an empty string if it knows none.
func printRecoveryNode(table io.Writer, address string, status *recovery.NodeStatus) (leader string) {
	switch {
	case isRecoveringLeader(status):
		fmt.Fprintf(table, "%s\t%s\tleads\t%d\t%s\t%.1f s\n",
			status.Node, address, status.Term, status.Recovery.Phase, status.Recovery.PhaseSeconds)
		return status.Node
	case status.LeaderName != "":
		fmt.Fprintf(table, "%s\t%s\tfollows %s\t%d\t\t\n", status.Node, address, status.LeaderName, status.Term)
		return status.LeaderName
	default:
		fmt.Fprintf(table, "%s\t%s\tfollows nobody\t\t\t\n", status.Node, address)
		return ""
	}
}

// printRecovery prints the recovery status of the leader.
func printRecovery(out io.Writer, leader *recovery.NodeStatus) {
	status := leader.Recovery
	fmt.Fprintf(out, "\n%s leads for %.1f s; phase %s for %.1f s",
		leader.Node, status.ElapsedSeconds, status.Phase, status.PhaseSeconds)
	if status.WaitsFor != "" {
		fmt.Fprintf(out, ", which waits for %s", status.WaitsFor)
	}
	fmt.Fprintln(out)
	if !status.Paced {
		fmt.Fprintln(out,
			"recovery is not paced (recovery: false, or fewer machines than recovery_from): nothing is held back")
	}
	fmt.Fprintln(out, "\nMismatches found by this leader, by kind:")
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, kind := range slices.Sorted(maps.Keys(status.Mismatches)) {
		fmt.Fprintf(table, "%s\t%d\n", kind, status.Mismatches[kind])
	}
	for _, sample := range status.Samples {
		fmt.Fprintf(table, "  %s\t%s\t%s\tafter %.1f s\n",
			sample.Kind, sample.Machine, sample.Subject, sample.AfterSeconds)
	}
	table.Flush()
	if len(status.Budgets) == 0 {
		return
	}
	fmt.Fprintln(out, "\nRate budgets, by kind of order:")
	fmt.Fprintln(table, "ORDER\tLEFT\tA SECOND\tAT ONCE")
	for _, budget := range status.Budgets {
		fmt.Fprintf(table, "%s\t%.1f\t%.1f\t%.0f\n", budget.Operation, budget.Remaining, budget.PerSecond, budget.Burst)
	}
	table.Flush()
}

// printQuarantined prints the quarantined records of all nodes, each record once.
func printQuarantined(out io.Writer, responses []nodeResponse[recovery.NodeStatus], incomplete *IncompleteError) {
	records := map[string]recovery.QuarantinedRecord{}
	for _, response := range responses {
		for _, record := range response.value.Quarantined {
			records[record.Key] = record
		}
	}
	if len(records) == 0 {
		return
	}
	fmt.Fprintln(out, "\nRecords set aside:")
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, key := range slices.Sorted(maps.Keys(records)) {
		reason := records[key].Reason
		if records[key].MaybeNewerVersion {
			reason += " (a newer version may have written it)"
		}
		fmt.Fprintf(table, "%s\t%s\n", key, reason)
	}
	table.Flush()
	incomplete.addReason("%d records are set aside", len(records))
}
