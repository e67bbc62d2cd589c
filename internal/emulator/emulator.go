package emulator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"hitchdoor/internal/config"
	"hitchdoor/internal/recovery"
	"hitchdoor/internal/standin"
)

// Timing and extent of an emulation.
const (
	// leaderTimeout bounds the time until the controllers agree on a leader.
	startWithin = 30 * time.Second
	// machinesPerFault: for each so many machines, one gets a task that no controller started,
	// another is partitioned and a third is preempted while the controllers are down.
	disturbedShare = 50
	progressEvery  = 500 * time.Millisecond
)

// ErrInterrupted is returned by Run if its context is cancelled.
var ErrInterrupted = errors.New("interrupted")

// emulation is the state of one call of Run.
type emulation struct {
	options     *Options
	state       *standin.State
	fleet       *standin.Fleet
	controllers *controllers
	users       *users
	sampler     sampler

	began, lost, restarted time.Time
	mismatches             recovery.Counts
}

// Run emulates a cluster as the options say and returns what it measured. A *FailureError says that
// the run was completed and the controllers broke a guarantee; any other error, that it could not
// be completed or its report not be written.
func Run(ctx context.Context, o Options) (*Report, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	e := &emulation{options: &o}
	e.state = standin.NewState(stateWriteRPS)
	defer e.state.Server.Close()
	e.fleet = standin.NewFleet(standin.FleetSettings{Report: o.Report,
		Lease: o.Lease, Boot: o.Report,
		Most: o.Machines + o.Machines/4, Machines: o.Machines,
		Cores: coresPerMachine, Seed: o.Seed})
	defer e.fleet.Close()
	var err error
	if e.controllers, err = newControllers(&o, e.state.Server.Address(),
		e.fleet.Server.Address()); err != nil {
		return nil, err
	}
	defer e.controllers.close()
	if err := e.begin(ctx); err != nil {
		return nil, interrupted(ctx, err)
	}
	if err := e.play(ctx); err != nil {
		return nil, interrupted(ctx, err)
	}
	report := e.report()
	if o.ReportFile != "" {
		if err := report.write(o.ReportFile); err != nil {
			return report, fmt.Errorf("--report: %w", err)
		}
	}
	if o.Out != nil {
		report.Summary(o.Out)
	}
	return report, report.Failure()
}

// asInterrupted replaces an error by ErrInterrupted if the context has been cancelled.
func interrupted(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ErrInterrupted
	}
	return err
}

// start starts the controllers and the workers and prepares the load.
func (e *emulation) begin(ctx context.Context) error {
	if err := e.controllers.startAll(); err != nil {
		return err
	}
	if err := e.controllers.ready(ctx, startWithin); err != nil {
		return err
	}
	users := e.controllers.users()
	e.fleet.SetNodes(users)
	addresses := make([]string, 0, len(users))
	for _, one := range e.controllers.all {
		addresses = append(addresses, one.users)
	}
	e.users = newUsers(e.options, e.fleet, addresses)
	if e.options.Out != nil {
		fmt.Fprintf(e.options.Out, "running; to look at it: hitchdoor recovery --nodes %s\n",
			strings.Join(addresses, ","))
	}
	return nil
}

// runLoad generates load for the duration of the run; meanwhile the controllers are killed and
// started again, if the options say so.
func (e *emulation) play(ctx context.Context) error {
	over := make(chan struct{})
	defer close(over)
	go e.sampler.run(e.fleet, over)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	e.began = time.Now()
	end := e.began.Add(e.options.For)
	go e.users.submitAll(ctx, end)
	if e.options.LoseAt > 0 {
		if err := e.loseControllers(ctx); err != nil {
			return err
		}
	}
	if err := e.watch(ctx, end); err != nil {
		return err
	}
	e.say("asking about all jobs for the last time")
	e.users.lastQuestions(ctx)
	e.say("")
	return ctx.Err()
}

// loseControllers kills all controllers, injects faults and starts the controllers again.
func (e *emulation) loseControllers(ctx context.Context) error {
	if err := e.watch(ctx, e.began.Add(e.options.LoseAt)); err != nil {
		return err
	}
	e.lost = time.Now()
	e.controllers.killAll()
	if !sleep(ctx, e.options.Away/2) {
		return ctx.Err()
	}
	silent := e.disturb()
	if !sleep(ctx, time.Until(e.lost.Add(e.options.Away))) {
		return ctx.Err()
	}
	cluster := e.options.cluster()
	e.mismatches = mismatchesOf(e.fleet.Holdings(), readRecords(e.state, cluster.State.ValueBytes()))
	e.restarted = time.Now()
	if err := e.controllers.startAll(); err != nil {
		return err
	}
	go func() {
		if sleep(ctx, e.options.Lease*3/2) {
			for _, name := range silent {
				e.fleet.Silence(name, false)
			}
		}
	}()
	return e.loseAgain(ctx)
}

// loseControllersAgain kills all controllers during their recovery, as often as the options say, and
// starts them again at once.
func (e *emulation) loseAgain(ctx context.Context) error {
	for _, after := range e.options.LoseAgain {
		if err := e.watch(ctx, time.Now().Add(after)); err != nil {
			return err
		}
		e.controllers.killAll()
		if err := e.controllers.startAll(); err != nil {
			return err
		}
	}
	return nil
}

// injectFaults brings some machines into states that differ from the stored records. It returns the
// names of those that it has partitioned.
func (e *emulation) disturb() (silent []string) {
	held := e.fleet.Holdings()
	for i := range len(held) / disturbedShare {
		at := i * disturbedShare
		e.fleet.Plant(held[at].Machine, fmt.Sprintf("j-never-stored-%d/0", i), 1, time.Hour)
		e.fleet.Silence(held[at+1].Machine, true)
		silent = append(silent, held[at+1].Machine)
		e.fleet.Take(held[at+2].Machine)
	}
	return silent
}

// watchUntil waits until a deadline and shows the progress. It fails if a controller exits.
func (e *emulation) watch(ctx context.Context, until time.Time) error {
	for {
		if err := e.controllers.failed(); err != nil {
			return err
		}
		jobs := e.users.jobs()
		e.say(fmt.Sprintf("%3.0f of %.0f s: %d machines, %d tasks run, %d jobs accepted, %d finished",
			time.Since(e.began).Seconds(), e.options.For.Seconds(),
			e.fleet.Machines(), e.fleet.Running(), jobs.Accepted, jobs.Finished))
		left := time.Until(until)
		if left <= 0 {
			return nil
		}
		if !sleep(ctx, min(left, progressEvery)) {
			return ctx.Err()
		}
	}
}

// progressLineWidth is the width to which the progress line is padded.
const lineWidth = 100

// showProgress overwrites the progress line.
func (e *emulation) say(line string) {
	if e.options.Progress == nil {
		return
	}
	io.WriteString(e.options.Progress, "\r"+line+strings.Repeat(" ", max(0, lineWidth-len(line))))
	if line == "" {
		io.WriteString(e.options.Progress, "\r")
	}
}

// buildReport collects what was measured.
func (e *emulation) report() *Report {
	o := e.options
	tally := e.fleet.Tally(o.cancelSpan() + o.Report)
	r := &Report{Machines: o.Machines, Controllers: o.Controllers, Seed: o.Seed,
		ForS: o.For.Seconds(), LoseAtS: o.LoseAt.Seconds(),
		AwayS: o.Away.Seconds(), LostAgain: len(o.LoseAgain),
		ReportS: o.Report.Seconds(), LeaseS: o.Lease.Seconds(),
		DuplicateStarts: len(e.fleet.Twice()), StoppedWrongly: len(e.fleet.StoppedWrongly()),
		RanCancelled: tally.RanCancelled, Jobs: e.users.jobs(),
		Tasks: Tasks{Started: tally.Started, Finished: tally.Finished, Stopped: tally.Stopped,
			LostByLease: tally.LostByLease, LostRunS: tally.LostRun.Seconds()},
		Mismatches: e.mismatches.ByName(), Processes: e.controllers.usages()}
	if o.LoseAt > 0 {
		e.reportRecovery(r)
	}
	return r
}

// measureRecovery adds the figures of the recovery after the loss of all controllers.
func (e *emulation) reportRecovery(r *Report) {
	orders := e.fleet.OrdersSince(e.restarted)
	to := time.Now()
	usual := e.sampler.usual(e.lost)
	if after, is := e.sampler.normalAfter(e.restarted, usual); is {
		normal := after.Seconds()
		r.Recovery.Normal = &normal
		to = e.restarted.Add(max(after, window))
	}
	for _, order := range orders {
		if order.Kind == standin.OrderStart || order.Kind == standin.OrderStop {
			first := order.At.Sub(e.restarted).Seconds()
			r.Recovery.FirstOrder = &first
			break
		}
	}
	r.Orders = ratesOf(orders, e.restarted, to)
	rates := e.orderRates()
	r.Orders.Limit = rates[recovery.StartTask].PerWindow() + rates[recovery.StopTask].PerWindow()
	r.Orders.LimitByKind = map[string]float64{}
	for order, rate := range rates {
		r.Orders.LimitByKind[recovery.Order(order).String()] = rate.PerWindow()
	}
}

// operationRates returns the rate limits that follow from the settings and the size of the fleet.
func (e *emulation) orderRates() recovery.Rates {
	set, err := config.LoadSettings(e.options.Settings)
	if err != nil {
		return recovery.Rates{} // not reached: Validate has loaded the same file
	}
	o := e.options
	settings := recovery.Settings{Report: o.Report, Lease: o.Lease,
		Limits: recovery.Limits{Refill: set.RecoveryRefill, Replace: set.RecoveryReplace}}
	return settings.Rates(o.Machines, coresPerMachine*float64(o.Machines), coresPerMachine)
}
