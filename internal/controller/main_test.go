package controller

import (
	"os"
	"runtime/debug"
	"testing"
)

// Each simulation keeps little and drops much, so that the collector ran all the time: with the
// write barriers that it switches on it was a quarter of the tests' processor time. A
// GOGC in the environment holds instead.
func TestMain(m *testing.M) {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(400)
	}
	os.Exit(m.Run())
}
