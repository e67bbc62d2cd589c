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
		newQueryCommand(&options, "links", "Show which controllers hear each other, and who leads by whose word",
			adminclient.PrintLinks),
		newQueryCommand(&options, "recovery",
			"Show how far a new leader's recovery is, and what differs from the records", adminclient.PrintRecovery),
	}
	for _, command := range commands {
		flags := command.Flags()
		flags.StringSliceVar(&options.Addresses, "nodes", nil, "the client addresses of all controllers")
		flags.DurationVar(&options.Timeout, "timeout", 2*time.Second, "how long to wait for each of them")
	}
	return commands
}

// newAdmissionCommand returns the subcommand that shows the admission policy.
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
	command.Flags().StringVar(&jobID, "job", "", "a job to tell about")
	return command
}

// newTraceCommand returns the subcommand that shows the trace steps of a job.
func newTraceCommand(options *adminclient.Options) *cobra.Command {
	return &cobra.Command{
		Use:   "trace --nodes HOST:PORT,... JOB",
		Short: "Show what the controllers did with a job (see trace_steps)",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			if err := options.Validate(); err != nil {
				return err
			}
			return adminclient.PrintTrace(command.OutOrStdout(), *options, args[0])
		},
	}
}

// newQueryCommand returns a subcommand without arguments of its own.
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
