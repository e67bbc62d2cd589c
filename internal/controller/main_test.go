package controller

import (
	"os"
	"runtime/debug"
	"testing"
)

// TestMain lets the garbage collector run less often. Simulations retain little and allocate much,
// so that at the default setting the collector ran all the time and took, with its write barriers, a
// quarter of the tests' processor time. A GOGC in the environment takes precedence.
func TestMain(m *testing.M) {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(400)
	}
	os.Exit(m.Run())
}
