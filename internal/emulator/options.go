// Package emulator runs whole controllers against emulated services on one machine: stand-ins of
// the state service and the cloud, workers, and users with a steady load. It ends all controllers
// at once, brings them back, and measures at the workers and the users what comes of it.
package emulator

import (
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"hitchdoor/internal/config"
)

// Options say what is emulated. Durations without a value follow from the number of machines.
type Options struct {
	Machines    int
	Controllers int
	For         time.Duration // how long users submit jobs
	LoseAt      time.Duration // when all controllers end; 0: never
	Away        time.Duration // for how long they do
	// LoseAgain: after each of these times they end once more, and are back at once.
	LoseAgain  []time.Duration
	Seed       uint64
	ReportFile string // empty: none
	Program    string // of the controllers; empty: this one
	Settings   string // the operators' settings file of the controllers; empty: none

	Report, Lease time.Duration // of the workers
	Load          float64       // the part of all cores that is at work on the mean

	ownProgram bool

	Out      io.Writer // the summary
	Progress io.Writer // a line that is written over and over; nil: none
}

// Bounds of the options.
const (
	maxMachines    = 20_000
	maxControllers = 9
	// machinesPerReportSecond: workers report once a second for so many machines.
	machinesPerReportSecond = 1000
	leastReport             = 500 * time.Millisecond
	leastLease              = 6 * time.Second
	// leasePerReport is how many reports a lease spans at least.
	leasePerReport = 6
)

// Check fills in what follows from other options and tells whether they make sense.
func (o *Options) Check() error {
	if o.Report == 0 {
		o.Report = max(leastReport, time.Duration(o.Machines)*time.Second/machinesPerReportSecond)
	}
	if o.Lease == 0 {
		o.Lease = max(leastLease, leasePerReport*o.Report)
	}
	if o.Program == "" {
		program, err := os.Executable()
		if err != nil {
			return fmt.Errorf("--program: this program's own path is not known: %w", err)
		}
		o.Program, o.ownProgram = program, true
	}
	back := o.LoseAt + o.Away
	for _, after := range o.LoseAgain {
		if after <= 0 || o.LoseAt == 0 {
			return fmt.Errorf("--lose-again-after: must be above 0, and controllers lost before, is %v", after)
		}
		back += after
	}
	switch {
	case o.Machines < 1 || o.Machines > maxMachines:
		return fmt.Errorf("--machines: must be 1 to %d, is %d", maxMachines, o.Machines)
	case o.Controllers < 1 || o.Controllers > maxControllers:
		return fmt.Errorf("--controllers: must be 1 to %d, is %d", maxControllers, o.Controllers)
	case o.For <= 0:
		return fmt.Errorf("--for: must be above 0, is %v", o.For)
	case o.LoseAt < 0 || o.Away < 0:
		return errors.New("--lose-controllers-at, --away: can't be negative")
	case o.LoseAt > 0 && back >= o.For:
		return fmt.Errorf("--for: ends after %v, before the controllers are back at %v", o.For, back)
	case o.Report < 100*time.Millisecond || o.Lease <= o.Report:
		return fmt.Errorf("--report-every, --lease: must be 100ms or more, and the lease longer than that, are %v and %v", o.Report, o.Lease)
	case !(o.Load > 0 && o.Load <= 2):
		return fmt.Errorf("--load: must be above 0 and at most 2, is %v", o.Load)
	}
	if _, err := os.Stat(o.Program); err != nil {
		return fmt.Errorf("--program: %w", err)
	}
	_, err := config.LoadSettings(o.Settings)
	return err
}

// Figures of the emulated deployment.
const (
	coresPerMachine = 4
	cancelLeases    = 2 // for how many leases cancelled work may go on
	stateRPS        = 5000
	stateWriteRPS   = 500
	cloudRPS        = 20
	memoryMB        = 1024
	teamCount       = 3
)

// cluster is what all controllers have in common.
func (o *Options) cluster() config.Cluster {
	var c config.Cluster
	c.Count, c.Zones = o.Controllers, []string{"a"}
	c.Workers.ReportS, c.Workers.LeaseS, c.Workers.CancelS = o.Report.Seconds(), o.Lease.Seconds(), o.cancelSpan().Seconds()
	c.State = config.State{RPS: stateRPS, WriteRPS: stateWriteRPS, ValueKB: 32, TxnOps: 40}
	c.Cloud.RPS, c.Cloud.ListLagS = cloudRPS, o.Report.Seconds()
	c.Resources = config.Resources{CoreShare: 1, MemMB: memoryMB, MaxConnections: 1000 + 2*o.Machines}
	for i := range teamCount {
		c.Teams = append(c.Teams, config.Team{Name: teamName(i)})
	}
	c.TimeBoundMS = 100
	return c
}

func (o *Options) cancelSpan() time.Duration { return cancelLeases * o.Lease }

func teamName(i int) string { return fmt.Sprintf("team-%d", i) }
