package transport

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain fails if goroutines are still running after the tests. It ignores the goroutines with which
// the HTTP library cleans its pools: they exit by themselves, but only after the idle timeout of a
// connection or a worker.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"))
}
