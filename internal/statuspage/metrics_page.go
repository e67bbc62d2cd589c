package statuspage

import (
	"fmt"
	"strings"

	"hitchdoor/internal/cluster"
	"hitchdoor/internal/rejection"
)

// MetricsPage builds a page in the Prometheus text format.
type MetricsPage struct{ strings.Builder }

// Gauge adds a gauge with one sample. The prefix hitchdoor_ is put before the name.
func (p *MetricsPage) Gauge(name, help string, value float64) {
	fmt.Fprintf(p, "# HELP hitchdoor_%s %s\n# TYPE hitchdoor_%s gauge\nhitchdoor_%s %g\n",
		name, help, name, name, value)
}

// BoolGauge adds a gauge that is 1 for true and 0 for false.
func (p *MetricsPage) BoolGauge(name, help string, value bool) {
	if value {
		p.Gauge(name, help, 1)
		return
	}
	p.Gauge(name, help, 0)
}

// LabelledGauge adds a gauge with one sample for each value of a label. The caller's function samples calls
// emit once for each sample.
func (p *MetricsPage) LabelledGauge(name, help, label string,
	samples func(emit func(labelValue string, value float64))) {
	fmt.Fprintf(p, "# HELP hitchdoor_%s %s\n# TYPE hitchdoor_%s gauge\n", name, help, name)
	samples(func(labelValue string, value float64) {
		fmt.Fprintf(p, "hitchdoor_%s{%s=%q} %g\n", name, label, labelValue, value)
	})
}

// RejectionCounters adds a counter of the requests that were not served, by kind and reason.
func (p *MetricsPage) RejectionCounters(counts []rejection.Count) {
	const name = "hitchdoor_requests_not_served_total"
	fmt.Fprintf(p, "# HELP %s Requests not served, by kind and reason.\n# TYPE %s counter\n", name, name)
	for _, count := range counts {
		fmt.Fprintf(p, "%s{kind=%q,reason=%q} %d\n", name, count.Kind, count.Reason, count.Value)
	}
}

// ClusterGauges adds the gauges of a leader's jobs, tasks and machines. A machine whose type is not in the
// catalogue adds no cores.
func (p *MetricsPage) ClusterGauges(state *cluster.State) {
	runningTasks, pendingTasks := 0, 0
	for _, job := range state.RunnableJobs {
		runningTasks += len(job.Attempts)
		pendingTasks += job.PendingTasks
	}
	waitingJobs := 0
	for _, job := range state.Jobs {
		if job.PendingDependencies > 0 {
			waitingJobs++
		}
	}
	machinesUp, coresHeld := 0, 0.0
	for _, machine := range state.Machines {
		if machine.Up {
			machinesUp++
		}
		if machine.MachineType != nil {
			coresHeld += machine.MachineType.Cores
		}
	}
	p.Gauge("jobs_open", "Jobs that are not over.", float64(len(state.Jobs)))
	p.Gauge("jobs_waiting", "Those of them that wait for others to be done.", float64(waitingJobs))
	p.Gauge("tasks_active", "Tasks on machines.", float64(runningTasks))
	p.Gauge("tasks_pending", "Tasks that wait.", float64(pendingTasks))
	p.Gauge("machines", "Machines held.", float64(len(state.Machines)))
	p.Gauge("machines_up", "Machines that report.", float64(machinesUp))
	p.Gauge("cores_held", "Cores of the machines held.", coresHeld)
}
