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

var update = flag.Bool("update", false, "write the golden file anew")

// flagUsage matches a line of the help text: the flag, its type, what it does and its default.
var flagUsage = regexp.MustCompile(`^ *(-\w, )?(--\S+)( \w+)? {2,}.*?(\(default .*\))?$`)

// flagsOf lists a command and its subcommands, each with its flags, their types and defaults.
func flagsOf(t *testing.T, command *cobra.Command) []string {
	lines := []string{command.UseLine()}
	for line := range strings.Lines(command.LocalFlags().FlagUsages()) {
		match := flagUsage.FindStringSubmatch(strings.TrimSuffix(line, "\n"))
		if match == nil {
			t.Fatalf("%s: %q is no flag", command.CommandPath(), line)
		}
		lines = append(lines, strings.TrimSpace(command.CommandPath()+" "+match[1]+match[2]+match[3]+" "+match[4]))
	}
	for _, subcommand := range command.Commands() {
		lines = append(lines, flagsOf(t, subcommand)...)
	}
	return lines
}

// The subcommands and flags are those of commit 5adb309. The flag -update writes the golden file
// anew; that is a change for operators and needs a reason of its own.
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
		t.Errorf("got:\n%s\nwant:\n%s", got, want)
	}
}
