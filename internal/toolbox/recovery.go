package toolbox

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"hitchdoor/internal/recovery"
)

// PrintRecovery prints the progress of the leader's recovery, the mismatches between the workers and
// the records, the quarantined records, and the remaining rate budgets. It returns an
// *IncompleteError if a node does not answer, the nodes name different leaders, or records are
// quarantined.
func Recovery(out io.Writer, o Options) error {
	answers := askAll[recovery.NodeStatus](o, "/recovery")
	incomplete := &IncompleteError{}
	leader := printRecoveryNodes(out, answers, incomplete)
	if leader == nil {
		incomplete.add("no leader answers, so its recovery is not known")
	} else {
		printRecovery(out, leader)
	}
	printSetAside(out, answers, incomplete)
	return incomplete.orNil()
}

// printRecoveryNodes prints one row per node and returns the leader with the highest term, nil
// without one.
func printRecoveryNodes(out io.Writer, answers []answer[recovery.NodeStatus],
	incomplete *IncompleteError) *recovery.NodeStatus {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "NODE\tADDRESS\tROLE\tTERM\tPHASE\tFOR")
	var leader *recovery.NodeStatus
	leaders := map[string]bool{}
	names := map[string]bool{}
	for i := range answers {
		a := &answers[i]
		if a.err != nil {
			fmt.Fprintf(table, "?\t%s\t?\t?\t?\t%v\n", a.address, a.err)
			incomplete.add("%s: %v", a.address, a.err)
			continue
		}
		s := &a.value
		if names[s.Node] {
			incomplete.add("%s: a second node that calls itself %s", a.address, s.Node)
		}
		names[s.Node] = true
		switch {
		case s.Leads && s.Recovery != nil:
			leaders[s.Node] = true
			fmt.Fprintf(table, "%s\t%s\tleads\t%d\t%s\t%.1f s\n",
				s.Node, a.address, s.Term, s.Recovery.Phase, s.Recovery.ForS)
			if leader == nil || s.Term > leader.Term {
				leader = s
			}
		case s.Follows != "":
			leaders[s.Follows] = true
			fmt.Fprintf(table, "%s\t%s\tfollows %s\t%d\t\t\n",
				s.Node, a.address, s.Follows, s.Term)
		default:
			fmt.Fprintf(table, "%s\t%s\tfollows nobody\t\t\t\n", s.Node, a.address)
		}
	}
	table.Flush()
	if len(leaders) > 1 {
		incomplete.add("the nodes name different leaders: %v", slices.Sorted(maps.Keys(leaders)))
	}
	return leader
}

// printRecovery prints the recovery status of the leader.
func printRecovery(out io.Writer, leader *recovery.NodeStatus) {
	s := leader.Recovery
	fmt.Fprintf(out, "\n%s leads for %.1f s; phase %s for %.1f s",
		leader.Node, s.AfterS, s.Phase, s.ForS)
	if s.WaitsFor != "" {
		fmt.Fprintf(out, ", which waits for %s", s.WaitsFor)
	}
	fmt.Fprintln(out)
	if !s.Paced {
		fmt.Fprintln(out, "switched off (recovery: false): nothing is held back")
	}
	fmt.Fprintln(out, "\nFound by this leader, by kind:")
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, kind := range slices.Sorted(maps.Keys(s.Mismatches)) {
		fmt.Fprintf(table, "%s\t%d\n", kind, s.Mismatches[kind])
	}
	for _, sample := range s.Samples {
		fmt.Fprintf(table, "  %s\t%s\t%s\tafter %.1f s\n",
			sample.Kind, sample.Machine, sample.Subject, sample.AfterS)
	}
	table.Flush()
	if len(s.Budgets) == 0 {
		return
	}
	fmt.Fprintln(out, "\nBudgets of orders:")
	fmt.Fprintln(table, "ORDER\tLEFT\tA SECOND\tAT ONCE")
	for _, b := range s.Budgets {
		fmt.Fprintf(table, "%s\t%.1f\t%.1f\t%.0f\n", b.Order, b.Left, b.PerSecond, b.Burst)
	}
	table.Flush()
}

// printQuarantined prints the quarantined records of all nodes without duplicates.
func printSetAside(out io.Writer, answers []answer[recovery.NodeStatus], incomplete *IncompleteError) {
	records := map[string]recovery.Record{}
	for _, a := range answers {
		for _, record := range a.value.SetAside {
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
		if records[key].Newer {
			reason += " (a newer version may have written it)"
		}
		fmt.Fprintf(table, "%s\t%s\n", key, reason)
	}
	table.Flush()
	incomplete.add("%d records are set aside", len(records))
}
