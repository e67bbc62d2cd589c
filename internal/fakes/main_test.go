package fakes

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain fails if goroutines outlive the tests.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
