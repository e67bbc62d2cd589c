package emulator

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"hitchdoor/internal/config"
	"hitchdoor/internal/fakes"
	"hitchdoor/internal/recovery"
)

// Timing and faults of an emulation.
const (
	// leaderTimeout bounds the time until the controllers agree on a leader.
	leaderTimeout = 30 * time.Second
	// machinesPerFault is the size of the groups of machines that get faults while the controllers
	// are down: in each full group, one machine gets a task that no controller started, another is
	// partitioned and a third is preempted.
	machinesPerFault = 50
	// progressInterval is the time between two updates of the progress line.
	progressInterval = 500 * time.Millisecond
)

// emulation is the state of one call of Run.
type emulation struct {
	options     *Options
	store       *fakes.Store
	fleet       *fakes.Fleet
	controllers *controllerSet
	load        *loadGenerator
	sampler     sampler
	background  sync.WaitGroup // counts the goroutines of runLoad

	loadStartedAt, controllersLostAt, controllersRestartedAt time.Time
	mismatches                                               recovery.MismatchCounts
}

// Run emulates a cluster according to the options and returns what it measured. A *FailureError means
// that the run was completed but the controllers broke a guarantee. Any other error means that the
// run could not be completed or that the report could not be written.
func Run(ctx context.Context, options Options) (*Report, error) {
	if err := options.Validate(); err != nil {
		return nil, err
	}
	run := &emulation{options: &options}
	var err error
	if run.store, err = fakes.NewStore(storeWriteRPS); err != nil {
		return nil, err
	}
	defer run.store.Server.Close()
	run.fleet, err = fakes.NewFleet(fakes.FleetSettings{HeartbeatInterval: options.HeartbeatInterval,
		LeaseDuration: options.LeaseDuration, BootTime: options.HeartbeatInterval,
		MaxMachines: options.Machines + options.Machines/4, InitialMachines: options.Machines,
		CoresPerMachine: coresPerMachine, Seed: options.Seed})
	if err != nil {
		return nil, err
	}
	defer run.fleet.Close()
	if run.controllers, err = newControllerSet(&options, func([]*controller) (routes, error) {
		return directRoutes(run.store.Server.Address(), run.fleet.Server.Address()), nil
	}); err != nil {
		return nil, err
	}
	defer run.controllers.close()
	if err := run.start(ctx); err != nil {
		return nil, asInterrupted(ctx, err)
	}
	if err := run.runLoad(ctx); err != nil {
		return nil, asInterrupted(ctx, err)
	}
	report := run.buildReport()
	if options.ReportFile != "" {
		if err := report.writeFile(options.ReportFile); err != nil {
			return report, fmt.Errorf("--report: %w", err)
		}
	}
	if options.SummaryOutput != nil {
		report.WriteSummary(options.SummaryOutput)
	}
	return report, report.Failure()
}

// asInterrupted replaces an error by ErrInterrupted if the context has been cancelled.
func asInterrupted(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ErrInterrupted
	}
	return err
}

// start starts the controllers, waits for a leader, and starts the workers. It then creates the load
// generator, which submits nothing until runLoad is called.
func (e *emulation) start(ctx context.Context) error {
	if err := e.controllers.startAll(); err != nil {
		return err
	}
	if err := e.controllers.waitForLeader(ctx, leaderTimeout); err != nil {
		return err
	}
	addressesByName := e.controllers.clientAddresses()
	e.fleet.SetNodes(addressesByName)
	addresses := make([]string, 0, len(addressesByName))
	for _, member := range e.controllers.members {
		addresses = append(addresses, member.clientAddress)
	}
	e.load = newLoadGenerator(e.options, e.fleet, addresses)
	if e.options.SummaryOutput != nil {
		fmt.Fprintf(e.options.SummaryOutput, "running; to look at it: hitchdoor recovery --nodes %s\n",
			strings.Join(addresses, ","))
	}
	return nil
}

// runLoad generates load for LoadDuration, and kills and restarts the controllers meanwhile if
// LoseControllersAt is not 0. At the end it queries all open jobs a last time.
func (e *emulation) runLoad(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer e.load.client.CloseIdleConnections()
	defer e.background.Wait()
	defer cancel()
	e.background.Go(func() { e.sampler.run(ctx, e.fleet) })
	e.loadStartedAt = time.Now()
	deadline := e.loadStartedAt.Add(e.options.LoadDuration)
	e.background.Go(func() { e.load.submitJobs(ctx, deadline) })
	if e.options.LoseControllersAt > 0 {
		if err := e.loseControllers(ctx); err != nil {
			return err
		}
	}
	if err := e.watchUntil(ctx, deadline); err != nil {
		return err
	}
	e.showProgress("querying all open jobs for the last time")
	e.load.queryOpenJobs(ctx)
	e.showProgress("")
	return ctx.Err()
}

// loseControllers kills all controllers, injects faults, counts the mismatches between the workers'
// inventories and the stored records, and starts the controllers again.
func (e *emulation) loseControllers(ctx context.Context) error {
	if err := e.watchUntil(ctx, e.loadStartedAt.Add(e.options.LoseControllersAt)); err != nil {
		return err
	}
	e.controllersLostAt = time.Now()
	e.controllers.killAll()
	if !sleep(ctx, e.options.ControllerDowntime/2) {
		return ctx.Err()
	}
	partitioned := e.injectFaults()
	if !sleep(ctx, time.Until(e.controllersLostAt.Add(e.options.ControllerDowntime))) {
		return ctx.Err()
	}
	cluster := e.options.clusterConfig()
	e.mismatches = countMismatches(e.fleet.Inventories(), readStoredRecords(e.store, cluster.Store.MaxValueBytes()))
	e.controllersRestartedAt = time.Now()
	if err := e.controllers.startAll(); err != nil {
		return err
	}
	e.load.availability.restarted(e.controllersRestartedAt)
	e.background.Go(func() { e.load.availability.watch(ctx, e.controllers.members) })
	e.background.Go(func() { e.reconnectMachines(ctx, partitioned) })
	return e.loseControllersAgain(ctx)
}

// reconnectMachines ends the partition of machines once their worker leases have expired.
func (e *emulation) reconnectMachines(ctx context.Context, partitioned []string) {
	if !sleep(ctx, e.options.LeaseDuration*3/2) {
		return
	}
	for _, name := range partitioned {
		e.fleet.SetPartitioned(name, false)
	}
}

// loseControllersAgain kills all controllers during their recovery, once for each entry of
// LoseAgainAfter, and starts them again at once.
func (e *emulation) loseControllersAgain(ctx context.Context) error {
	for _, after := range e.options.LoseAgainAfter {
		if err := e.watchUntil(ctx, time.Now().Add(after)); err != nil {
			return err
		}
		e.controllers.killAll()
		if err := e.controllers.startAll(); err != nil {
			return err
		}
	}
	return nil
}

// injectFaults brings some machines into states that differ from the stored records, as described at
// machinesPerFault. It returns the names of the partitioned machines.
func (e *emulation) injectFaults() (partitioned []string) {
	inventories := e.fleet.Inventories()
	for i := range len(inventories) / machinesPerFault {
		first := i * machinesPerFault
		e.fleet.InjectTask(inventories[first].Machine, fmt.Sprintf("j-never-stored-%d/0", i), 1, time.Hour)
		e.fleet.SetPartitioned(inventories[first+1].Machine, true)
		partitioned = append(partitioned, inventories[first+1].Machine)
		e.fleet.PreemptMachine(inventories[first+2].Machine)
	}
	return partitioned
}

// watchUntil waits until a deadline and shows the progress. It returns an error if a controller
// exits or the context is cancelled.
func (e *emulation) watchUntil(ctx context.Context, deadline time.Time) error {
	for {
		if err := e.controllers.unexpectedExit(); err != nil {
			return err
		}
		jobs := e.load.jobCounts()
		e.showProgress(fmt.Sprintf("%3.0f of %.0f s: %d machines, %d tasks run, %d jobs accepted, %d finished",
			time.Since(e.loadStartedAt).Seconds(), e.options.LoadDuration.Seconds(),
			e.fleet.MachineCount(), e.fleet.RunningTasks(), jobs.Accepted, jobs.Finished))
		remaining := time.Until(deadline)
		if remaining <= 0 {
			return nil
		}
		if !sleep(ctx, min(remaining, progressInterval)) {
			return ctx.Err()
		}
	}
}

// progressLineWidth is the width to which the progress line is padded, so that it overwrites a
// longer one.
const progressLineWidth = 100

// showProgress overwrites the progress line. An empty line clears it.
func (e *emulation) showProgress(line string) {
	if e.options.ProgressOutput == nil {
		return
	}
	io.WriteString(e.options.ProgressOutput, "\r"+line+strings.Repeat(" ", max(0, progressLineWidth-len(line))))
	if line == "" {
		io.WriteString(e.options.ProgressOutput, "\r")
	}
}

// buildReport collects the measurements of the run.
func (e *emulation) buildReport() *Report {
	options := e.options
	totals := e.fleet.TaskTotals(options.cancelTimeout() + options.HeartbeatInterval)
	report := &Report{Machines: options.Machines, Controllers: options.Controllers, Seed: options.Seed,
		LoadS: options.LoadDuration.Seconds(), LoseControllersAtS: options.LoseControllersAt.Seconds(),
		ControllerDowntimeS: options.ControllerDowntime.Seconds(), LossesDuringRecovery: len(options.LoseAgainAfter),
		HeartbeatIntervalS: options.HeartbeatInterval.Seconds(), LeaseS: options.LeaseDuration.Seconds(),
		DuplicateStarts: len(e.fleet.DuplicatedTasks()), WronglyStopped: len(e.fleet.WronglyStoppedTasks()),
		CancelledOverdue: totals.CancelledOverdue, Jobs: e.load.jobCounts(),
		Tasks: TaskCounts{Started: totals.Started, Finished: totals.Finished, Stopped: totals.Stopped,
			LostByLease: totals.LostByLease, LostRunS: totals.LostRunTime.Seconds()},
		Mismatches: e.mismatches.ByName(), Processes: e.controllers.processUsages()}
	if options.LoseControllersAt > 0 {
		e.measureRecovery(report)
	}
	return report
}

// measureRecovery adds the figures of the recovery after the loss of all controllers.
func (e *emulation) measureRecovery(report *Report) {
	operations := e.fleet.OperationsSince(e.controllersRestartedAt)
	end := time.Now()
	report.Availability = e.load.availability.report()
	baseline := e.sampler.baseline(e.controllersLostAt)
	if elapsed, recovered := e.sampler.recoveryTime(e.controllersRestartedAt, baseline); recovered {
		seconds := elapsed.Seconds()
		report.Recovery.BackToNormal = &seconds
		end = e.controllersRestartedAt.Add(max(elapsed, rateWindow))
	}
	for _, operation := range operations {
		if operation.Kind == fakes.OperationStartTask || operation.Kind == fakes.OperationStopTask {
			seconds := operation.ReceivedAt.Sub(e.controllersRestartedAt).Seconds()
			report.Recovery.FirstOperation = &seconds
			break
		}
	}
	report.Operations = countRates(operations, e.controllersRestartedAt, end)
	rates := e.operationRates()
	report.Operations.Limit = rates[recovery.StartTask].MaxInOneSecond() + rates[recovery.StopTask].MaxInOneSecond()
	report.Operations.LimitByKind = map[string]float64{}
	for operation, rate := range rates {
		report.Operations.LimitByKind[recovery.Operation(operation).String()] = rate.MaxInOneSecond()
	}
}

// operationRates returns the limits of the leader's operation rates, which follow from the settings
// and the size of the fleet.
func (e *emulation) operationRates() recovery.Rates {
	loaded, err := config.LoadSettings(e.options.Settings)
	if err != nil {
		return recovery.Rates{} // not reached: Validate has loaded the same file
	}
	options := e.options
	settings := recovery.Settings{HeartbeatInterval: options.HeartbeatInterval, WorkerLease: options.LeaseDuration,
		Limits: recovery.Limits{RefillLeases: loaded.RecoveryRefillLeases, ReplaceLeases: loaded.RecoveryReplaceLeases}}
	return settings.Rates(options.Machines, coresPerMachine*float64(options.Machines), coresPerMachine)
}
