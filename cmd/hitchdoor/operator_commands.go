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
	var jobID string
	admissionCommand := &cobra.Command{
		Use:   "admission --nodes HOST:PORT,... [--job ID]",
		Short: "Show what is admitted under overload, and why a job was refused",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if err := options.Validate(); err != nil {
				return err
			}
			return adminclient.PrintAdmission(command.OutOrStdout(), options, jobID)
		},
	}
	admissionCommand.Flags().StringVar(&jobID, "job", "", "a job to tell about")
	traceCommand := &cobra.Command{
		Use:   "trace --nodes HOST:PORT,... JOB",
		Short: "Show what the controllers did with a job (see trace_steps)",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			if err := options.Validate(); err != nil {
				return err
			}
			return adminclient.PrintTrace(command.OutOrStdout(), options, args[0])
		},
	}
	// newQueryCommand returns a subcommand without arguments of its own.
	newQueryCommand := func(name, short string, query func(io.Writer, adminclient.Options) error) *cobra.Command {
		return &cobra.Command{
			Use:   name + " --nodes HOST:PORT,...",
			Short: short,
			Args:  cobra.NoArgs,
			RunE: func(command *cobra.Command, _ []string) error {
				if err := options.Validate(); err != nil {
					return err
				}
				return query(command.OutOrStdout(), options)
			},
		}
	}
	linksCommand := newQueryCommand("links", "Show which controllers hear each other, and who leads by whose word", adminclient.PrintLinks)
	recoveryCommand := newQueryCommand("recovery",
		"Show how far a new leader's recovery is, and what differs from the records", adminclient.PrintRecovery)
	commands := []*cobra.Command{admissionCommand, traceCommand, linksCommand, recoveryCommand}
	for _, command := range commands {
		command.Flags().StringSliceVar(&options.Addresses, "nodes", nil, "the client addresses of all controllers")
		command.Flags().DurationVar(&options.Timeout, "timeout", 2*time.Second, "how long to wait for each of them")
	}
	return commands
}
