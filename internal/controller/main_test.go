package controller

import (
	"os"
	"runtime/debug"
	"testing"
)

// TestMain lets the garbage collector run less often. Each simulation retains little and allocates
// much, so that the collector ran all the time, and with its write barriers took a quarter of the
// tests' processor time. A GOGC in the environment takes precedence.
func TestMain(m *testing.M) {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(400)
	}
	os.Exit(m.Run())
}
