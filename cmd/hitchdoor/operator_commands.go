package main

import (
	"io"
	"time"

	"github.com/spf13/cobra"

	"hitchdoor/internal/adminclient"
)

// newOperatorCommands returns the subcommands that query all controllers and change nothing.
func newOperatorCommands() []*cobra.Command {
	var options adminclient.Options
	commands := []*cobra.Command{
		newAdmissionCommand(&options),
		newTraceCommand(&options),
		newQueryCommand(&options, "links",
			"Show which controllers receive each other's messages, and which leader each of them names",
			adminclient.PrintLinks),
		newQueryCommand(&options, "recovery",
			"Show the progress of a new leader's recovery, and where workers and stored records differ",
			adminclient.PrintRecovery),
	}
	for _, command := range commands {
		flags := command.Flags()
		flags.StringSliceVar(&options.Addresses, "nodes", nil, "the client addresses of all controllers")
		flags.DurationVar(&options.Timeout, "timeout", 2*time.Second,
			"how long to wait for the response of each controller")
	}
	return commands
}

// newAdmissionCommand returns the subcommand that shows the admission policy and, with --job, what it
// decided about a job.
func newAdmissionCommand(options *adminclient.Options) *cobra.Command {
	var jobID string
	command := &cobra.Command{
		Use:   "admission --nodes HOST:PORT,... [--job ID]",
		Short: "Show what is admitted under overload, and why a job was refused",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if err := options.Validate(); err != nil {
				return err
			}
			return adminclient.PrintAdmission(command.OutOrStdout(), *options, jobID)
		},
	}
	command.Flags().StringVar(&jobID, "job", "",
		"a job ID: also show whether this job was accepted, or why it was refused")
	return command
}

// newTraceCommand returns the subcommand that shows the trace steps of a job.
func newTraceCommand(options *adminclient.Options) *cobra.Command {
	return &cobra.Command{
		Use:   "trace --nodes HOST:PORT,... JOB",
		Short: "Show what the controllers did with a job, as far as the setting trace_steps keeps it",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			if err := options.Validate(); err != nil {
				return err
			}
			return adminclient.PrintTrace(command.OutOrStdout(), *options, args[0])
		},
	}
}

// newQueryCommand returns a subcommand that takes no arguments and prints the result of one query.
func newQueryCommand(options *adminclient.Options, name, short string,
	query func(io.Writer, adminclient.Options) error) *cobra.Command {
	return &cobra.Command{
		Use:   name + " --nodes HOST:PORT,...",
		Short: short,
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if err := options.Validate(); err != nil {
				return err
			}
			return query(command.OutOrStdout(), *options)
		},
	}
}
