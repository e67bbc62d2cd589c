package emulator

import (
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/segmentio/encoding/json"
)

// Report is what an emulation measured. Apart from Processes it relies on the workers and the users
// alone, not on what the controllers say of themselves.
type Report struct {
	Machines    int     `json:"machines"`
	Controllers int     `json:"controllers"`
	Seed        uint64  `json:"seed"`
	ForS        float64 `json:"for_s"`
	LoseAtS     float64 `json:"lose_controllers_at_s"`
	AwayS       float64 `json:"away_s"`
	LostAgain   int     `json:"lost_again"` // further losses of all controllers during the recovery
	ReportS     float64 `json:"report_every_s"`
	LeaseS      float64 `json:"lease_s"`

	DuplicateStarts int            `json:"duplicate_starts"`
	StoppedWrongly  int            `json:"stopped_wrongly"`
	RanCancelled    int            `json:"ran_cancelled"`
	Jobs            Jobs           `json:"jobs"`
	Tasks           Tasks          `json:"tasks"`
	Orders          OrderRates     `json:"orders_per_second"`
	Recovery        RecoveryTimes  `json:"recovery_s"`
	Mismatches      map[string]int `json:"mismatches"`
	Processes       []Usage        `json:"processes"`
}

// TaskCounts counts the tasks by outcome.
type Tasks struct {
	Started     int     `json:"started"`
	Finished    int     `json:"finished"`
	Stopped     int     `json:"stopped"`
	LostByLease int     `json:"lost_by_lease"`
	LostRunS    float64 `json:"lost_run_s"`
}

// RecoveryTimes are in seconds from the restart of the controllers; nil means that the event was not
// observed.
type RecoveryTimes struct {
	FirstOrder *float64 `json:"first_order"`
	Normal     *float64 `json:"normal"`
}

// FailureError lists the guarantees that the controllers broke during a run.
type FailureError struct{ Reasons []string }

// Error returns the reasons in one line.
func (e *FailureError) Error() string { return strings.Join(e.Reasons, "; ") }

// Failure returns a *FailureError if the report shows a broken guarantee, nil otherwise.
func (r *Report) Failure() error {
	var reasons []string
	add := func(is bool, format string, args ...any) {
		if is {
			reasons = append(reasons, fmt.Sprintf(format, args...))
		}
	}
	add(r.DuplicateStarts > 0, "%d tasks were started while they ran elsewhere", r.DuplicateStarts)
	add(r.RanCancelled > 0, "%d cancelled tasks went on for too long", r.RanCancelled)
	add(r.Jobs.Forgotten > 0, "%d accepted jobs were forgotten", r.Jobs.Forgotten)
	add(float64(r.Orders.Peak) > r.Orders.Limit && r.Orders.Limit > 0,
		"%d orders came within a second, the limit is %.0f", r.Orders.Peak, r.Orders.Limit)
	for _, kind := range slices.Sorted(maps.Keys(r.Orders.LimitByKind)) {
		peak, limit := r.Orders.PeakByKind[kind], r.Orders.LimitByKind[kind]
		add(float64(peak) > limit, "%d orders to %s came within a second, the limit is %.0f", peak, kind, limit)
	}
	if reasons == nil {
		return nil
	}
	return &FailureError{reasons}
}

// writeFile writes the report to a JSON file.
func (r *Report) write(path string) error {
	raw, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(raw, '\n'), 0o644)
}

// WriteSummary prints the report as text.
func (r *Report) Summary(out io.Writer) {
	fmt.Fprintf(out, "%d emulated machines, %d controllers, seed %d; users submitted jobs for %.0f s\n",
		r.Machines, r.Controllers, r.Seed, r.ForS)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	row := func(name, format string, args ...any) { fmt.Fprintf(table, "  "+name+"\t"+format+"\n", args...) }
	row("jobs", "%d accepted, %d finished, %d cancelled, %d forgotten",
		r.Jobs.Accepted, r.Jobs.Finished, r.Jobs.Cancelled, r.Jobs.Forgotten)
	row("tasks", "%d started, %d finished, %d lost with their machines' leases",
		r.Tasks.Started, r.Tasks.Finished, r.Tasks.LostByLease)
	row("started twice at once", "%d", r.DuplicateStarts)
	row("stopped wrongly", "%d", r.StoppedWrongly)
	if r.LoseAtS > 0 {
		row("all controllers lost", "after %.0f s, for %.1f s; again during the recovery: %d times",
			r.LoseAtS, r.AwayS, r.LostAgain)
		row("first order", "%s", seconds(r.Recovery.FirstOrder))
		row("work back to normal", "%s", seconds(r.Recovery.Normal))
		row("orders a second", "at most %d, limit %.0f (median %d, 99%% %d)",
			r.Orders.Peak, r.Orders.Limit, r.Orders.P50, r.Orders.P99)
		for _, kind := range slices.Sorted(maps.Keys(r.Orders.LimitByKind)) {
			row("to "+kind, "at most %d, limit %.0f",
				r.Orders.PeakByKind[kind], r.Orders.LimitByKind[kind])
		}
		for _, kind := range slices.Sorted(maps.Keys(r.Mismatches)) {
			row("found "+kind, "%d", r.Mismatches[kind])
		}
	}
	for _, p := range r.Processes {
		row("controller "+p.Node, "%.0f MB at its peak, %d connections, %.1f s of processor",
			p.PeakMB, p.Connections, p.ProcessorS)
	}
	table.Flush()
	if err := r.Failure(); err != nil {
		fmt.Fprintln(out, "not as it should be:", err)
		return
	}
	fmt.Fprintln(out, "as it should be: no task twice at once, no job forgotten, orders within their limit")
}

// formatSeconds formats a RecoveryTimes value.
func seconds(s *float64) string {
	if s == nil {
		return "not while it was watched"
	}
	return fmt.Sprintf("%.1f s after the restart", *s)
}
