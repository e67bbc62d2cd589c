// Command hitchdoor is a cluster scheduler: it accepts jobs, rents machines and runs the jobs' tasks
// on them. Its subcommands check settings files, query running controllers and emulate a cluster.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"

	"github.com/spf13/cobra"

	"hitchdoor/internal/config"
	"hitchdoor/internal/daemon"
)

// version is set by release builds with -ldflags "-X main.version=..."; it is empty in other builds.
var version = ""

func main() {
	if err := newRootCommand().ExecuteContext(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, "hitchdoor:", err)
		os.Exit(1)
	}
}

// errConfigMissing is returned by commands that need the platform's settings file, if --config is not given.
var errConfigMissing = errors.New("--config: missing: name the platform's settings file")

// settingsFiles are the paths of the settings files, as the flags --config and --settings give them.
// An empty operators' path means default settings.
type settingsFiles struct{ platform, operators string }

// load reads and validates both settings files. It returns errConfigMissing if the path of the
// platform's file is empty.
func (f *settingsFiles) load() (*config.Platform, config.Settings, error) {
	if f.platform == "" {
		return nil, config.Settings{}, errConfigMissing
	}
	platform, err := config.LoadPlatform(f.platform)
	if err != nil {
		return nil, config.Settings{}, err
	}
	settings, err := config.LoadSettings(f.operators)
	return platform, settings, err
}

// newRootCommand returns the command that runs a controller, with all its subcommands.
func newRootCommand() *cobra.Command {
	var files settingsFiles
	rootCommand := &cobra.Command{
		Use:           "hitchdoor --config FILE [--settings FILE]",
		Short:         "A cluster scheduler that survives the loss of its own controllers",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(command *cobra.Command, _ []string) error {
			return runController(command.Context(), files)
		},
	}
	flags := rootCommand.PersistentFlags()
	flags.StringVar(&files.platform, "config", "", "the platform's settings file (TOML)")
	flags.StringVar(&files.operators, "settings", "", "the operators' own settings (YAML)")
	rootCommand.AddCommand(newCheckCommand(&files), newVersionCommand())
	rootCommand.AddCommand(newOperatorCommands()...)
	rootCommand.AddCommand(newEmulateCommand(), newFaultsCommand())
	return rootCommand
}

// runController runs a controller until it fails, or until it has shut down after SIGTERM or an
// interrupt.
func runController(ctx context.Context, files settingsFiles) error {
	platform, settings, err := files.load()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	return daemon.Run(ctx, platform, settings, buildVersion(), newLogger())
}

// newCheckCommand returns the subcommand that checks the settings files.
func newCheckCommand(files *settingsFiles) *cobra.Command {
	return &cobra.Command{
		Use:   "check",
		Short: "Check the settings files and exit",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			platform, _, err := files.load()
			if err != nil {
				return err
			}
			fmt.Fprintf(command.OutOrStdout(), "ok: node %s of %d\n", platform.Node, platform.Cluster.ControllerCount)
			return nil
		},
	}
}

// newVersionCommand returns the subcommand that prints the version.
func newVersionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version and exit",
		Args:  cobra.NoArgs,
		Run: func(command *cobra.Command, _ []string) {
			fmt.Fprintln(command.OutOrStdout(), "hitchdoor", buildVersion())
		},
	}
}

// buildVersion returns the version of a release build, otherwise that of the module, and "(unknown)" if
// there is neither.
func buildVersion() string {
	if version != "" {
		return version
	}
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		return info.Main.Version
	}
	return "(unknown)"
}

// newLogger returns a logger that writes to standard error. The environment variable LOG_LEVEL sets its
// level to error, warn or debug; the level is info for all other values.
func newLogger() *slog.Logger {
	level := slog.LevelInfo
	switch strings.ToLower(os.Getenv("LOG_LEVEL")) {
	case "error":
		level = slog.LevelError
	case "warn":
		level = slog.LevelWarn
	case "debug":
		level = slog.LevelDebug
	}
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
}
