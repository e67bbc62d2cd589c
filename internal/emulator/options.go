// Package emulator runs whole controllers, as processes on this machine, against fakes of the
// key-value store, the cloud and the workers, under a constant load from emulated users. It can kill
// all controllers at once and start them again, and measures at the workers and the users how the
// cluster recovers.
package emulator

import (
	"fmt"
	"io"
	"os"
	"time"

	"hitchdoor/internal/config"
)

// Options configure an emulation. If HeartbeatInterval or LeaseDuration is 0, Validate derives it
// from the number of machines.
type Options struct {
	Machines           int
	Controllers        int
	LoadDuration       time.Duration // how long users submit jobs
	LoseControllersAt  time.Duration // time from the start of the load until all controllers are killed; 0: never
	ControllerDowntime time.Duration // time between the kill and the restart
	// LoseAgainAfter lists further kills of all controllers during the recovery, by the time since
	// the previous start. The controllers are started again at once.
	LoseAgainAfter []time.Duration
	Seed           uint64
	ReportFile     string // path of the JSON report; empty: none
	Program        string // path of the controllers' program; empty: the running program
	Settings       string // path of the operators' settings file; empty: none

	HeartbeatInterval, LeaseDuration time.Duration // of the workers
	Load                             float64       // mean share of all cores that the submitted jobs need

	usesOwnProgram bool // set by Validate if Program was empty

	SummaryOutput  io.Writer // gets the summary; nil: none
	ProgressOutput io.Writer // gets the progress line; nil: none
}

// Bounds of the options.
const (
	maxMachines    = 20_000
	maxControllers = 9
	// machinesPerHeartbeatSecond is the number of machines for each second of the default
	// heartbeat interval.
	machinesPerHeartbeatSecond = 1000
	minHeartbeatInterval       = 500 * time.Millisecond
	minLeaseDuration           = 6 * time.Second
	// heartbeatsPerLease is the minimum number of heartbeat intervals in a default lease.
	heartbeatsPerLease = 6
)

// Validate fills in defaults that depend on other options and returns an error for invalid options: an
// *InvalidOptionError, or the error of a file that can't be used.
func (o *Options) Validate() error {
	if err := o.setDefaults(); err != nil {
		return err
	}
	if err := o.validateSizes(); err != nil {
		return err
	}
	if _, err := os.Stat(o.Program); err != nil {
		return fmt.Errorf("--program: %w", err)
	}
	_, err := config.LoadSettings(o.Settings)
	return err
}

// setDefaults fills in the defaults that depend on other options.
func (o *Options) setDefaults() error {
	if o.HeartbeatInterval == 0 {
		o.HeartbeatInterval = max(minHeartbeatInterval,
			time.Duration(o.Machines)*time.Second/machinesPerHeartbeatSecond)
	}
	if o.LeaseDuration == 0 {
		o.LeaseDuration = max(minLeaseDuration, heartbeatsPerLease*o.HeartbeatInterval)
	}
	if o.Program == "" {
		program, err := os.Executable()
		if err != nil {
			return fmt.Errorf("--program: path of the running program can't be determined: %w", err)
		}
		o.Program, o.usesOwnProgram = program, true
	}
	return nil
}

// validateSizes returns an *InvalidOptionError if a number or duration is out of its bounds.
func (o *Options) validateSizes() error {
	lastRestart, err := o.lastRestartAt()
	if err != nil {
		return err
	}
	switch {
	case o.Machines < 1 || o.Machines > maxMachines:
		return invalidOption("--machines", "must be 1 to %d, is %d", maxMachines, o.Machines)
	case o.Controllers < 1 || o.Controllers > maxControllers:
		return invalidOption("--controllers", "must be 1 to %d, is %d", maxControllers, o.Controllers)
	case o.LoadDuration <= 0:
		return invalidOption("--for", "must be above 0, is %v", o.LoadDuration)
	case o.LoseControllersAt < 0 || o.ControllerDowntime < 0:
		return invalidOption("--lose-controllers-at, --away", "can't be negative")
	case o.LoseControllersAt > 0 && lastRestart >= o.LoadDuration:
		return invalidOption("--for", "ends after %v, before the last start of the controllers at %v",
			o.LoadDuration, lastRestart)
	case o.HeartbeatInterval < 100*time.Millisecond || o.LeaseDuration <= o.HeartbeatInterval:
		return invalidOption("--report-every, --lease",
			"the first must be 100ms or more and the second longer than the first, are %v and %v",
			o.HeartbeatInterval, o.LeaseDuration)
	case !(o.Load > 0 && o.Load <= 2):
		return invalidOption("--load", "must be above 0 and at most 2, is %v", o.Load)
	}
	return nil
}

// lastRestartAt returns the time from the start of the load until the controllers are started for the
// last time.
func (o *Options) lastRestartAt() (time.Duration, error) {
	lastRestart := o.LoseControllersAt + o.ControllerDowntime
	for _, after := range o.LoseAgainAfter {
		if after <= 0 || o.LoseControllersAt == 0 {
			return 0, invalidOption("--lose-again-after",
				"must be above 0 and used together with --lose-controllers-at, is %v", after)
		}
		lastRestart += after
	}
	return lastRestart, nil
}

// Parameters of the emulated deployment.
const (
	coresPerMachine     = 4
	cancelTimeoutLeases = 2 // cancelled tasks may run for this many worker leases
	storeRPS            = 5000
	storeWriteRPS       = 500
	cloudRPS            = 20
	memoryMB            = 1024
	teamCount           = 3
)

// clusterConfig returns the part of the settings that all controllers share.
func (o *Options) clusterConfig() config.Cluster {
	var cluster config.Cluster
	cluster.ControllerCount, cluster.Zones = o.Controllers, []string{"a"}
	cluster.Workers.HeartbeatIntervalS, cluster.Workers.LeaseS, cluster.Workers.CancelS = o.HeartbeatInterval.Seconds(),
		o.LeaseDuration.Seconds(), o.cancelTimeout().Seconds()
	cluster.Store = config.StoreLimits{RequestsPerS: storeRPS, WritesPerS: storeWriteRPS, ValueKB: 32, TxnOps: 40}
	cluster.Cloud.RequestsPerS, cluster.Cloud.ListLagS = cloudRPS, o.HeartbeatInterval.Seconds()
	cluster.Resources = config.Resources{CoreShare: 1, MemoryMB: memoryMB, MaxConnections: 1000 + 2*o.Machines}
	for i := range teamCount {
		cluster.Teams = append(cluster.Teams, config.Team{Name: teamName(i)})
	}
	cluster.TimeBoundMS = 100
	return cluster
}

// cancelTimeout returns the time within which a cancelled task must have stopped.
func (o *Options) cancelTimeout() time.Duration { return cancelTimeoutLeases * o.LeaseDuration }

// teamName returns the name of the i-th team.
func teamName(i int) string { return fmt.Sprintf("team-%d", i) }
