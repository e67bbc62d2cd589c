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
	flags.IntVar(&options.Machines, "machines", 60, "emulated machines, of 4 cores each")
	flags.IntVar(&options.Controllers, "controllers", 3, "controllers, each a process of its own")
	flags.DurationVar(&options.LoadDuration, "for", 40*time.Second, "how long users submit jobs")
	flags.DurationVar(&options.LoseControllersAt, "lose-controllers-at", 15*time.Second,
		"when all controllers end at once; 0: never")
	flags.DurationVar(&options.ControllersAway, "away", 3*time.Second, "how long they are away")
	flags.DurationSliceVar(&options.LoseAgainAfter, "lose-again-after", nil,
		"when they end again while they recover, one after the other")
	flags.Uint64Var(&options.Seed, "seed", 1, "of the load")
	flags.StringVar(&options.ReportFile, "report", "", "a file for the report (JSON)")
	flags.StringVar(&options.Program, "program", "",
		"the controllers' program, to compare versions (this one)")
	flags.DurationVar(&options.HeartbeatInterval, "report-every", 0,
		"between two reports of a worker (by the number of machines)")
	flags.DurationVar(&options.LeaseDuration, "lease", 0, "of a worker (by that of its reports)")
	flags.Float64Var(&options.Load, "load", 0.7, "the part of all cores that is at work on the mean")
	return emulateCommand
}

// terminalWriter returns the file if it is a terminal, and nil otherwise.
func terminalWriter(file *os.File) io.Writer {
	info, err := file.Stat()
	if err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return nil
	}
	return file
}
