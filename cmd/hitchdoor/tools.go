package main

import (
	"io"
	"time"

	"github.com/spf13/cobra"

	"hitchdoor/internal/toolbox"
)

// newOperatorCommands returns the subcommands that query all controllers and change nothing.
func tools() []*cobra.Command {
	var options toolbox.Options
	var job string
	admission := &cobra.Command{
		Use:   "admission --nodes HOST:PORT,... [--job ID]",
		Short: "Show what is admitted under overload, and why a job was refused",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if err := options.Check(); err != nil {
				return err
			}
			return toolbox.Admission(c.OutOrStdout(), options, job)
		},
	}
	admission.Flags().StringVar(&job, "job", "", "a job to tell about")
	trace := &cobra.Command{
		Use:   "trace --nodes HOST:PORT,... JOB",
		Short: "Show what the controllers did with a job (see trace_steps)",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if err := options.Check(); err != nil {
				return err
			}
			return toolbox.Trace(c.OutOrStdout(), options, args[0])
		},
	}
	// newQueryCommand returns a subcommand without arguments of its own.
	report := func(name, short string, ask func(io.Writer, toolbox.Options) error) *cobra.Command {
		return &cobra.Command{
			Use:   name + " --nodes HOST:PORT,...",
			Short: short,
			Args:  cobra.NoArgs,
			RunE: func(c *cobra.Command, _ []string) error {
				if err := options.Check(); err != nil {
					return err
				}
				return ask(c.OutOrStdout(), options)
			},
		}
	}
	links := report("links", "Show which controllers hear each other, and who leads by whose word", toolbox.Links)
	recovery := report("recovery",
		"Show how far a new leader's recovery is, and what differs from the records", toolbox.Recovery)
	commands := []*cobra.Command{admission, trace, links, recovery}
	for _, c := range commands {
		c.Flags().StringSliceVar(&options.Nodes, "nodes", nil, "the client addresses of all controllers")
		c.Flags().DurationVar(&options.Timeout, "timeout", 2*time.Second, "how long to wait for each of them")
	}
	return commands
}
