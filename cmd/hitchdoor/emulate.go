package main

import (
	"context"
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
func emulate() *cobra.Command {
	var o emulator.Options
	cmd := &cobra.Command{
		Use:   "emulate",
		Short: "Run controllers against emulated machines, lose them all, and measure the recovery",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
			defer stop()
			o.Out = c.OutOrStdout()
			o.Settings = c.Flag("settings").Value.String()
			o.Progress = terminal(os.Stderr)
			_, err := emulator.Run(ctx, o)
			return err
		},
	}
	flags := cmd.Flags()
	flags.IntVar(&o.Machines, "machines", 60, "emulated machines, of 4 cores each")
	flags.IntVar(&o.Controllers, "controllers", 3, "controllers, each a process of its own")
	flags.DurationVar(&o.For, "for", 40*time.Second, "how long users submit jobs")
	flags.DurationVar(&o.LoseAt, "lose-controllers-at", 15*time.Second, "when all controllers end at once; 0: never")
	flags.DurationVar(&o.Away, "away", 3*time.Second, "how long they are away")
	flags.DurationSliceVar(&o.LoseAgain, "lose-again-after", nil,
		"when they end again while they recover, one after the other")
	flags.Uint64Var(&o.Seed, "seed", 1, "of the load")
	flags.StringVar(&o.ReportFile, "report", "", "a file for the report (JSON)")
	flags.StringVar(&o.Program, "program", "", "the controllers' program, to compare versions (this one)")
	flags.DurationVar(&o.Report, "report-every", 0, "between two reports of a worker (by the number of machines)")
	flags.DurationVar(&o.Lease, "lease", 0, "of a worker (by that of its reports)")
	flags.Float64Var(&o.Load, "load", 0.7, "the part of all cores that is at work on the mean")
	return cmd
}

// terminalWriter returns the file if it is a terminal, and nil otherwise.
func terminal(f *os.File) io.Writer {
	info, err := f.Stat()
	if err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return nil
	}
	return f
}
