package main

import (
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"hitchdoor/internal/emulator"
)

// newEmulateCommand returns the subcommand that runs controllers against emulated services on this
// machine.
func newEmulateCommand() *cobra.Command {
	var options emulator.Options
	emulateCommand := &cobra.Command{
		Use:   "emulate",
		Short: "Run controllers against emulated machines, lose them all, and measure the recovery",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(command.Context(), syscall.SIGTERM, os.Interrupt)
			defer stop()
			options.SummaryOutput = command.OutOrStdout()
			options.Settings = command.Flag("settings").Value.String()
			options.ProgressOutput = terminalWriter(os.Stderr)
			_, err := emulator.Run(ctx, options)
			return err
		},
	}
	flags := emulateCommand.Flags()
	flags.IntVar(&options.Machines, "machines", 60, "number of emulated machines, with 4 cores each")
	flags.IntVar(&options.Controllers, "controllers", 3, "number of controllers, each in its own process")
	flags.DurationVar(&options.LoadDuration, "for", 40*time.Second, "how long emulated users submit jobs")
	flags.DurationVar(&options.LoseControllersAt, "lose-controllers-at", 15*time.Second,
		"time from the start of the load until all controllers are killed; 0: never")
	flags.DurationVar(&options.ControllerDowntime, "away", 3*time.Second, "how long the killed controllers stay down")
	flags.DurationSliceVar(&options.LoseAgainAfter, "lose-again-after", nil,
		"times between a restart and the next kill of all controllers, to interrupt their recovery")
	flags.Uint64Var(&options.Seed, "seed", 1, "seed of the random load")
	flags.StringVar(&options.ReportFile, "report", "", "path of the JSON report; empty: none")
	flags.StringVar(&options.Program, "program", "",
		"path of the controllers' program, to compare versions; empty: this program")
	flags.DurationVar(&options.HeartbeatInterval, "report-every", 0,
		"interval between two reports of a worker; 0: derived from the number of machines")
	flags.DurationVar(&options.LeaseDuration, "lease", 0,
		"lease of a worker; 0: derived from the interval of its reports")
	flags.Float64Var(&options.Load, "load", 0.7, "mean share of all cores that the submitted jobs need")
	return emulateCommand
}

// terminalWriter returns the file if it is a terminal, and nil otherwise, so that the progress line is
// not written to files.
func terminalWriter(file *os.File) io.Writer {
	info, err := file.Stat()
	if err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return nil
	}
	return file
}
