package config

import (
	"errors"
	"fmt"
	"io/fs"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// validPlatform is a platform's settings file with an unknown field ("later"), which is ignored.
const validPlatform = `node = "n0"
client_listen = "127.0.0.1:1"
peer_bind = "127.0.0.1:2"
later = 1

[[known]]
node = "n1"
peer_addr = "127.0.0.1:3"

[outside]
cloud = "127.0.0.1:4"
state = "127.0.0.1:5"

[cluster]
count = 2

[[cluster.teams]]
name = "t"
cpus_max = 4.0

[cluster.workers]
report_s = 1.5
lease_s = 14.0
cancel_s = 34.0

[cluster.state]
rps = 200.0
write_rps = 25.0
value_kb = 8.0
txn_ops = 20

[cluster.cloud]
rps = 1.5
list_lag_s = 12.0

[cluster.resources]
core_share = 0.12
mem_mb = 98.0
max_connections = 900
`

// writeFile writes a temporary file and returns its path.
func writeFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// checkError checks that an error is one line that contains a text, and that it is either an invalid
// setting or a syntax error.
func checkError(t *testing.T, err error, want string) {
	t.Helper()
	if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
		t.Errorf("got error %v, want one line with %q", err, want)
	}
	var invalid *InvalidSettingError
	var syntax *SyntaxError
	if errors.As(err, &invalid) == errors.As(err, &syntax) {
		t.Errorf("got an error of type %T, want either an InvalidSettingError or a SyntaxError in it", err)
	}
}

// A valid file must load, even if it has an unknown field. The error for a missing file must be
// fs.ErrNotExist.
func TestLoad(t *testing.T) {
	platform, err := LoadPlatform(writeFile(t, validPlatform))
	if err != nil || platform.Cluster.Workers.LeaseS != 14 || platform.Peers[0].Node != "n1" {
		t.Fatalf("valid platform file: got %+v, error %v; want lease 14 s, peer n1, no error", platform, err)
	}
	checkStoreLimits(t, platform, 8<<10)
	if _, err := LoadPlatform(filepath.Join(t.TempDir(), "none")); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("missing platform file: got error %v, want %v", err, fs.ErrNotExist)
	}
}

// An upcoming limit that is lower than the present one must apply from the start, because the key-value
// store changes its limits without notice. An upcoming limit that is higher must not apply.
func TestUpcomingLimits(t *testing.T) {
	const limits = "txn_ops = 20\n[cluster.state.next]\nwrite_rps = 30.0\nvalue_kb = 2.0"
	platform, err := LoadPlatform(writeFile(t, strings.Replace(validPlatform, "txn_ops = 20", limits, 1)))
	if err != nil {
		t.Fatal(err)
	}
	checkStoreLimits(t, platform, 2<<10)
}

// checkStoreLimits checks the limits that both the present and the upcoming settings allow: the given size
// of a value, 20 writes in a transaction and 25 writes per second.
func checkStoreLimits(t *testing.T, platform *Platform, valueBytes int) {
	t.Helper()
	store := platform.Cluster.Store
	if store.MaxValueBytes() != valueBytes || store.MaxTxnOps() != 20 || store.LowerWritesPerS() != 25 {
		t.Errorf("store limits: got %d bytes, %d writes per transaction, %v writes per second; want %d, 20, 25",
			store.MaxValueBytes(), store.MaxTxnOps(), store.LowerWritesPerS(), valueBytes)
	}
}

// An invalid platform file must be rejected with an error of one line that names the field or, for a syntax
// error, the line of the file. Otherwise a wrong value would show only in the operation of the cluster.
func TestBadPlatform(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{`node = "n0"`, ``, "node: missing"},
		{`lease_s = 14.0`, ``, "cluster.workers.lease_s"},
		{`lease_s = 14.0`, `lease_s = 1.0`, "cluster.workers.lease_s"},
		{`lease_s = 14.0`, `lease_s = "x"`, "lease_s"},
		{`count = 2`, `count = 3`, "cluster.count"},
		{`"127.0.0.1:4"`, `"nowhere"`, "outside.cloud"},
		{`cpus_max = 4.0`, `cpus_max = -4.0`, "cluster.teams[0]"},
		{`cpus_max = 4.0`, `cpus_max = nan`, "cluster.teams[0]"},
		{`cpus_max = 4.0`, `cpus_max = inf`, "cluster.teams[0]"},
		{`lease_s = 14.0`, `lease_s = inf`, "cluster.workers.lease_s"},
		{`mem_mb = 98.0`, `mem_mb = 1e300`, "mem_mb"},
		{`mem_mb = 98.0`, `mem_mb = 0.0`, "mem_mb"},
		{`[cluster]`, `[cluster`, "line"},
		{`txn_ops = 20`, "txn_ops = 20\nnext = { txn_ops = 2 }", "cluster.state.next.txn_ops"},
		{`txn_ops = 20`, "txn_ops = 20\nnext = { value_kb = 0.1 }", "cluster.state.next.value_kb"},
		{`txn_ops = 20`, "txn_ops = 20\nnext = { write_rps = -1.0 }", "cluster.state.next.write_rps"},
		{`txn_ops = 20`, "txn_ops = 20\nnext = { write_rps = \"x\" }", "next"},
	} {
		t.Run(c.old+" to "+c.new, func(t *testing.T) {
			_, err := LoadPlatform(writeFile(t, strings.Replace(validPlatform, c.old, c.new, 1)))
			checkError(t, err, c.want)
		})
	}
}

// The keys of a settings file must override their defaults and leave all other defaults as they are. A file
// without any key must be accepted.
func TestSettings(t *testing.T) {
	settings, err := LoadSettings(writeFile(t, "slots_per_core: 3\nthrift: 0.5\n"))
	if err != nil || settings.SlotsPerCore != 3 || settings.BaseSlots != 6 || *settings.CostSensitivity != 0.5 {
		t.Fatalf("valid settings file: got %+v, error %v; want slots 3 and 6, thrift 0.5, no error", settings, err)
	}
	if _, err := LoadSettings(writeFile(t, "")); err != nil {
		t.Errorf("empty settings file: got error %v, want none", err)
	}
}

// An unknown key, a value out of range or of the wrong type, and malformed YAML must be rejected with an
// error of one line. The error must name the key, unless the YAML is malformed.
func TestBadSettings(t *testing.T) {
	for text, want := range map[string]string{
		"slot_per_core: 3":    "slot_per_core",
		"class_share: 1.5":    "class_share",
		"thrift: -1":          "thrift",
		"slots_base: [1":      "",
		"borrow_wait_s: many": "borrow_wait_s",
		"fair_admission: 3":   "fair_admission",
		"link_decisions: no3": "link_decisions",
		"trace_steps: -3":     "trace_steps",
	} {
		t.Run(text, func(t *testing.T) {
			_, err := LoadSettings(writeFile(t, text))
			checkError(t, err, want)
		})
	}
}

// Numbers of seconds that users and other services send may be huge. They must become durations whose sums
// do not overflow to the other sign.
func TestSecondsAreBounded(t *testing.T) {
	if Seconds(math.NaN()) != 0 {
		t.Errorf("Seconds(NaN): got %v, want 0", Seconds(math.NaN()))
	}
	for _, seconds := range []float64{0, 1.5, 1e9, 1e18, 1e300, -1e300} {
		t.Run(fmt.Sprint(seconds), func(t *testing.T) {
			duration := Seconds(seconds)
			if (seconds >= 0) != (duration >= 0) || (seconds >= 0) != (4*duration+time.Hour >= 0) {
				t.Errorf("Seconds(%v): got %v, want the same sign, also for four times the duration", seconds, duration)
			}
		})
	}
	if Seconds(1.5) != 1500*time.Millisecond {
		t.Errorf("Seconds(1.5): got %v, want 1.5s", Seconds(1.5))
	}
}
