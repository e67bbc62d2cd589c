package daemon

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain fails if goroutines are still running after the tests. It ignores two kinds of goroutines of
// the HTTP library, which clean up pools and end by themselves once the maximum idle time of a
// connection or a worker has passed.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"))
}
