package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"hitchdoor/internal/emulator"
)

// newFaultsCommand returns the subcommand that runs controllers under a seeded schedule of faults.
func newFaultsCommand() *cobra.Command {
	options := emulator.FaultTestOptions{Options: emulator.Options{Load: 0.5}}
	faultsCommand := &cobra.Command{
		Use:   "faults",
		Short: "Run controllers under random faults and check what users, workers and the cloud observe",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(command.Context(), syscall.SIGTERM, os.Interrupt)
			defer stop()
			output := command.OutOrStdout()
			options.SummaryOutput = output
			options.Settings = command.Flag("settings").Value.String()
			result, err := emulator.RunFaultTest(ctx, options)
			if err != nil {
				return err
			}
			for _, violation := range result.Violations {
				fmt.Fprintln(output, violation)
			}
			fmt.Fprintf(output, "%d jobs accepted; longest time without an answer after the faults: %.1f s\n",
				result.Jobs, result.LongestGap.Seconds())
			return result.Failure()
		},
	}
	flags := faultsCommand.Flags()
	flags.Uint64Var(&options.Seed, "seed", 1, "seed of the schedule of faults and of the load")
	flags.IntVar(&options.Machines, "machines", 60, "number of emulated machines, with 4 cores each")
	flags.IntVar(&options.Controllers, "controllers", 3, "number of controllers, each in its own process")
	flags.DurationVar(&options.FaultDuration, "for", 30*time.Second, "how long faults are injected")
	flags.StringVar(&options.Program, "program", "",
		"path of the controllers' program, to compare versions; empty: this program")
	flags.StringVar(&options.LogDirectory, "logs", "", "directory for the controllers' logs; empty: none")
	flags.DurationVar(&options.HeartbeatInterval, "report-every", 0,
		"interval between two reports of a worker; 0: derived from the number of machines")
	flags.DurationVar(&options.LeaseDuration, "lease", 0,
		"lease of a worker; 0: derived from the interval of its reports")
	return faultsCommand
}
