package daemon

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain fails if goroutines outlive the tests. The HTTP library's goroutines that clean pools end
// by themselves, after as long as a connection or a worker may be idle.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"))
}
