package main

import (
	"flag"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/spf13/cobra"
)

var update = flag.Bool("update", false, "rewrite the golden file")

// flagUsage matches a line of the help text that describes a flag: its name, type, usage and default.
var flagUsage = regexp.MustCompile(`^ *(-\w, )?(--\S+)( \w+)? {2,}.*?(\(default .*\))?$`)

// flagsOf returns lines that describe a command and, recursively, its subcommands. There is one line
// for each command and one for each flag, with the type and the default.
func flagsOf(t *testing.T, command *cobra.Command) []string {
	lines := []string{command.UseLine()}
	for line := range strings.Lines(command.LocalFlags().FlagUsages()) {
		match := flagUsage.FindStringSubmatch(strings.TrimSuffix(line, "\n"))
		if match == nil {
			t.Fatalf("help of %s: line %q does not describe a flag",
				command.CommandPath(), line)
		}
		lines = append(lines, strings.TrimSpace(command.CommandPath()+" "+match[1]+match[2]+match[3]+" "+match[4]))
	}
	for _, subcommand := range command.Commands() {
		lines = append(lines, flagsOf(t, subcommand)...)
	}
	return lines
}

// Guards against subcommands and flags that are renamed, removed or get another type or default, because
// operators' scripts use them: the golden file lists those of commit 5adb309. The flag -update rewrites
// the file; such a change affects operators and needs a reason of its own.
func TestCommandsAndFlags(t *testing.T) {
	lines := flagsOf(t, newRootCommand())
	slices.Sort(lines)
	got := strings.Join(lines, "\n") + "\n"
	path := filepath.Join("testdata", "commands.txt")
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("subcommands and flags: got:\n%s\nwant:\n%s", got, want)
	}
}
