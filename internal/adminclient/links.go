package adminclient

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"hitchdoor/internal/reachability"
)

// PrintLinks prints the state of the links between all controllers, by direction, and the role of
// each. It returns an *IncompleteError if a node does not answer, shares its name with another one or
// can't serve its workers, if no leader or several are named, or if a link is half-open.
func PrintLinks(out io.Writer, options Options) error {
	responses := queryAll[reachability.NodeStatus](options, "/links")
	incomplete := &IncompleteError{}
	statuses := map[string]*reachability.NodeStatus{}
	names := map[string]bool{}
	for i := range responses {
		response := &responses[i]
		if response.err != nil {
			incomplete.addReason("%s: %v", response.address, response.err)
			continue
		}
		if statuses[response.value.Node] != nil {
			incomplete.addReason("%s: a second node that calls itself %s", response.address, response.value.Node)
		}
		statuses[response.value.Node] = &response.value
		names[response.value.Node] = true
		for _, other := range response.value.Peers {
			names[other] = true
		}
	}
	if len(statuses) == 0 {
		incomplete.addReason("no node answers")
		return incomplete
	}
	nodes := slices.Sorted(maps.Keys(names))
	printLinkMatrix(out, nodes, statuses, incomplete)
	printRoles(out, nodes, statuses, incomplete)
	return incomplete.errorOrNil()
}

// printLinkMatrix prints one row per receiving node and one column per sending node.
func printLinkMatrix(out io.Writer, nodes []string, statuses map[string]*reachability.NodeStatus,
	incomplete *IncompleteError) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "HEARS\t"+strings.Join(nodes, "\t")+"\tSTATE SERVICE")
	for _, receiver := range nodes {
		status := statuses[receiver]
		if status == nil {
			fmt.Fprintf(table, "%s\t%sunknown\n", receiver, strings.Repeat("unknown\t", len(nodes)))
			incomplete.addReason("what %s hears is unknown", receiver)
			continue
		}
		cells := []string{receiver}
		for _, sender := range nodes {
			cells = append(cells, linkCell(status, sender))
			if sender < receiver && statuses[sender] != nil &&
				status.ReceivesFrom(sender) != statuses[sender].ReceivesFrom(receiver) {
				incomplete.addReason("half-open: %s and %s hear each other in one direction only", sender, receiver)
			}
		}
		fmt.Fprintln(table, strings.Join(append(cells, linkState(status.StoreReachable)), "\t"))
	}
	table.Flush()
}

// linkCell returns the matrix cell of the link from the sender to the node whose status is given.
func linkCell(status *reachability.NodeStatus, sender string) string {
	if status.Node == sender {
		return "-"
	}
	return linkState(status.ReceivesFrom(sender))
}

// linkState returns the printed state of a link.
func linkState(isUp bool) string {
	if isUp {
		return reachability.LinkUp.String()
	}
	return reachability.LinkDown.String()
}

// printRoles prints one row per node: which node leads, as this node sees it, and how many recent and
// stranded workers it has.
func printRoles(out io.Writer, nodes []string, statuses map[string]*reachability.NodeStatus,
	incomplete *IncompleteError) {
	fmt.Fprintln(out)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "NODE\tROLE\tTERM\tWORKERS\tSTRANDED\tSERVED")
	leaders := map[string]bool{}
	for _, name := range nodes {
		status := statuses[name]
		if status == nil {
			fmt.Fprintf(table, "%s\tunknown\t\t\t\t\n", name)
			continue
		}
		role, lastServed := "follows nobody", ""
		switch {
		case status.IsLeader:
			role, lastServed = "leads", fmt.Sprintf("%.1f s ago", status.SecondsSinceServed)
			leaders[name] = true
		case status.LeaderName != "":
			role = "follows " + status.LeaderName
			leaders[status.LeaderName] = true
		case status.CandidacyPaused:
			role = "has resigned"
		}
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%s\n",
			name, role, status.Term, status.RecentWorkers, status.StrandedWorkers, lastServed)
		if status.StrandedWorkers > 0 {
			incomplete.addReason("%s can't serve %d workers that contacted it lately", name, status.StrandedWorkers)
		}
	}
	table.Flush()
	switch len(leaders) {
	case 0:
		incomplete.addReason("nobody leads")
	case 1:
	default:
		incomplete.addReason("the nodes name different leaders: %s",
			strings.Join(slices.Sorted(maps.Keys(leaders)), ", "))
	}
}
