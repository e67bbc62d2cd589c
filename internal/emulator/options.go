// Package emulator runs whole controllers, as processes of this machine, against fakes of the
// key-value store, the cloud and the workers, and with users that generate a steady load. It can
// kill all controllers at once and start them again, and measures at the workers and the users how
// the cluster recovers.
package emulator

import (
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"hitchdoor/internal/config"
)

// Options configure an emulation. Validate derives a heartbeat interval or lease of 0 from the
// number of machines.
type Options struct {
	Machines    int
	Controllers int
	For         time.Duration // how long users submit jobs
	LoseAt      time.Duration // when all controllers are killed; 0: never
	Away        time.Duration // time between the kill and the restart
	// LoseAgainAfter: after each of these times, one after the other, all controllers are killed
	// once more and started again at once.
	LoseAgain  []time.Duration
	Seed       uint64
	ReportFile string // path of the JSON report; empty: none
	Program    string // path of the controllers' program; empty: this one
	Settings   string // path of the operators' settings file; empty: none

	Report, Lease time.Duration // of the workers
	Load          float64       // mean share of all cores that the submitted jobs need

	ownProgram bool

	Out      io.Writer // gets the summary; nil: none
	Progress io.Writer // gets the progress line; nil: none
}

// Bounds of the options.
const (
	maxMachines    = 20_000
	maxControllers = 9
	// machinesPerHeartbeatSecond: the default heartbeat interval is a second for each so many
	// machines.
	machinesPerReportSecond = 1000
	leastReport             = 500 * time.Millisecond
	leastLease              = 6 * time.Second
	// heartbeatsPerLease is the minimum number of heartbeat intervals in a default lease.
	leasePerReport = 6
)

// Validate fills in defaults that depend on other options and returns an error for invalid options.
func (o *Options) Check() error {
	if o.Report == 0 {
		o.Report = max(leastReport,
			time.Duration(o.Machines)*time.Second/machinesPerReportSecond)
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
		return fmt.Errorf(
			"--report-every, --lease: must be 100ms or more, and the lease longer than that, are %v and %v",
			o.Report, o.Lease)
	case !(o.Load > 0 && o.Load <= 2):
		return fmt.Errorf("--load: must be above 0 and at most 2, is %v", o.Load)
	}
	if _, err := os.Stat(o.Program); err != nil {
		return fmt.Errorf("--program: %w", err)
	}
	_, err := config.LoadSettings(o.Settings)
	return err
}

// Parameters of the emulated deployment.
const (
	coresPerMachine = 4
	cancelLeases    = 2 // cancelled tasks may run for so many leases
	stateRPS        = 5000
	stateWriteRPS   = 500
	cloudRPS        = 20
	memoryMB        = 1024
	teamCount       = 3
)

// clusterConfig returns the part of the settings that all controllers share.
func (o *Options) cluster() config.Cluster {
	var c config.Cluster
	c.Count, c.Zones = o.Controllers, []string{"a"}
	c.Workers.ReportS, c.Workers.LeaseS, c.Workers.CancelS = o.Report.Seconds(),
		o.Lease.Seconds(), o.cancelSpan().Seconds()
	c.State = config.State{RPS: stateRPS, WriteRPS: stateWriteRPS, ValueKB: 32, TxnOps: 40}
	c.Cloud.RPS, c.Cloud.ListLagS = cloudRPS, o.Report.Seconds()
	c.Resources = config.Resources{CoreShare: 1, MemMB: memoryMB, MaxConnections: 1000 + 2*o.Machines}
	for i := range teamCount {
		c.Teams = append(c.Teams, config.Team{Name: teamName(i)})
	}
	c.TimeBoundMS = 100
	return c
}

// cancelTimeout returns the time within which a cancelled task must have stopped.
func (o *Options) cancelSpan() time.Duration { return cancelLeases * o.Lease }

// teamName returns the name of the i-th team.
func teamName(i int) string { return fmt.Sprintf("team-%d", i) }
