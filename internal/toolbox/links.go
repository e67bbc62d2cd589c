package toolbox

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
// each. It returns an *IncompleteError if a node does not answer, the nodes name different leaders,
// or a link is half-open.
func Links(out io.Writer, o Options) error {
	answers := askAll[reachability.NodeStatus](o, "/links")
	incomplete := &IncompleteError{}
	said := map[string]*reachability.NodeStatus{}
	names := map[string]bool{}
	for i := range answers {
		a := &answers[i]
		if a.err != nil {
			incomplete.add("%s: %v", a.address, a.err)
			continue
		}
		if said[a.value.Node] != nil {
			incomplete.add("%s: a second node that calls itself %s", a.address, a.value.Node)
		}
		said[a.value.Node] = &a.value
		names[a.value.Node] = true
		for _, other := range a.value.Known {
			names[other] = true
		}
	}
	if len(said) == 0 {
		incomplete.add("no node answers")
		return incomplete
	}
	nodes := slices.Sorted(maps.Keys(names))
	printMatrix(out, nodes, said, incomplete)
	printRoles(out, nodes, said, incomplete)
	return incomplete.orNil()
}

// printLinkMatrix prints one row per receiving node and one column per sending node.
func printMatrix(out io.Writer, nodes []string, said map[string]*reachability.NodeStatus,
	incomplete *IncompleteError) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "HEARS\t"+strings.Join(nodes, "\t")+"\tSTATE SERVICE")
	for _, to := range nodes {
		s := said[to]
		if s == nil {
			fmt.Fprintf(table, "%s\t%sunknown\n", to, strings.Repeat("unknown\t", len(nodes)))
			incomplete.add("what %s hears is unknown", to)
			continue
		}
		cells := []string{to}
		for _, from := range nodes {
			cells = append(cells, cell(s, from))
			if from < to && said[from] != nil &&
				s.HearsNode(from) != said[from].HearsNode(to) {
				incomplete.add("half-open: %s and %s hear each other in one direction only", from, to)
			}
		}
		fmt.Fprintln(table, strings.Join(append(cells, linkWord(s.State)), "\t"))
	}
	table.Flush()
}

// linkCell returns the matrix cell of the link from a node to the one whose status is given.
func cell(s *reachability.NodeStatus, from string) string {
	if s.Node == from {
		return "-"
	}
	return linkWord(s.HearsNode(from))
}

// linkState returns the word for a link that works or is cut.
func linkWord(works bool) string {
	if works {
		return reachability.Works.String()
	}
	return reachability.Cut.String()
}

// printRoles prints which node leads, as each node sees it.
func printRoles(out io.Writer, nodes []string, said map[string]*reachability.NodeStatus,
	incomplete *IncompleteError) {
	fmt.Fprintln(out)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "NODE\tROLE\tTERM\tWORKERS\tSTRANDED\tSERVED")
	leaders := map[string]bool{}
	for _, name := range nodes {
		s := said[name]
		if s == nil {
			fmt.Fprintf(table, "%s\tunknown\t\t\t\t\n", name)
			continue
		}
		role, served := "follows nobody", ""
		switch {
		case s.Leads:
			role, served = "leads", fmt.Sprintf("%.1f s ago", s.ServedAgoS)
			leaders[name] = true
		case s.Follows != "":
			role = "follows " + s.Follows
			leaders[s.Follows] = true
		case s.Pausing:
			role = "has resigned"
		}
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%s\n",
			name, role, s.Term, s.Workers, s.Stranded, served)
		if s.Stranded > 0 {
			incomplete.add("%s can't serve %d workers that come to it", name, s.Stranded)
		}
	}
	table.Flush()
	switch len(leaders) {
	case 0:
		incomplete.add("nobody leads")
	case 1:
	default:
		incomplete.add("the nodes name different leaders: %s",
			strings.Join(slices.Sorted(maps.Keys(leaders)), ", "))
	}
}
