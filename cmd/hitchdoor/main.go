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

// version is set by release builds with -ldflags "-X main.version=...".
var version = ""

func main() {
	if err := newRootCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "hitchdoor:", err)
		os.Exit(1)
	}
}

// errConfigMissing is returned by commands that need the settings file of the platform.
var errConfigMissing = errors.New("--config: missing: name the platform's settings file")

// newRootCommand returns the command that runs a controller, with all subcommands.
func newRootCommand() *cobra.Command {
	var platformPath, settingsPath string
	loadSettings := func() (*config.Platform, config.Settings, error) {
		if platformPath == "" {
			return nil, config.Settings{}, errConfigMissing
		}
		platform, err := config.LoadPlatform(platformPath)
		if err != nil {
			return nil, config.Settings{}, err
		}
		settings, err := config.LoadSettings(settingsPath)
		return platform, settings, err
	}
	rootCommand := &cobra.Command{
		Use:           "hitchdoor --config FILE [--settings FILE]",
		Short:         "A cluster scheduler that survives the loss of its own controllers",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(*cobra.Command, []string) error {
			platform, settings, err := loadSettings()
			if err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
			defer stop()
			return daemon.Run(ctx, platform, settings, buildVersion(), newLogger())
		},
	}
	rootCommand.PersistentFlags().StringVar(&platformPath, "config", "", "the platform's settings file (TOML)")
	rootCommand.PersistentFlags().StringVar(&settingsPath, "settings", "", "the operators' own settings (YAML)")
	rootCommand.AddCommand(&cobra.Command{
		Use:   "check",
		Short: "Check the settings files and exit",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			platform, _, err := loadSettings()
			if err == nil {
				fmt.Fprintf(command.OutOrStdout(), "ok: node %s of %d\n", platform.Node, platform.Cluster.ControllerCount)
			}
			return err
		},
	}, &cobra.Command{
		Use:   "version",
		Short: "Print the version and exit",
		Args:  cobra.NoArgs,
		Run: func(command *cobra.Command, _ []string) {
			fmt.Fprintln(command.OutOrStdout(), "hitchdoor", buildVersion())
		},
	})
	rootCommand.AddCommand(newOperatorCommands()...)
	rootCommand.AddCommand(newEmulateCommand())
	return rootCommand
}

// buildVersion returns the version of a release build, or else that of the module.
func buildVersion() string {
	if version != "" {
		return version
	}
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		return info.Main.Version
	}
	return "(unknown)"
}

// newLogger returns a logger to standard error with the level of the environment variable LOG_LEVEL.
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
