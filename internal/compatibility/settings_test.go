package compatibility

import (
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"

	"hitchdoor/internal/config"
)

// keysOf lists the keys of a settings file with the kinds of their values, by the tags of a struct.
func keysOf(prefix, tag string, t reflect.Type) []line {
	var keys []line
	for i := range t.NumField() {
		field := t.Field(i)
		key, of := prefix+field.Tag.Get(tag), field.Type
		for of.Kind() == reflect.Pointer || of.Kind() == reflect.Slice {
			if of.Kind() == reflect.Slice {
				key += "[]"
			}
			of = of.Elem()
		}
		if of.Kind() == reflect.Struct {
			keys = append(keys, keysOf(key+".", tag, of)...)
			continue
		}
		keys = append(keys, line{key, of.Kind().String()})
	}
	slices.SortFunc(keys, func(a, b line) int { return strings.Compare(a.name, b.name) })
	return keys
}

func TestSettingsKeys(t *testing.T) {
	checkGolden(t, "platform_keys.txt", keysOf("", "toml", reflect.TypeFor[config.Platform]()))
	checkGolden(t, "settings_keys.txt", keysOf("", "yaml", reflect.TypeFor[config.Settings]()))
}

// Each key of the platform's file arrives in its own field.
func TestPlatformFile(t *testing.T) {
	got, err := config.LoadPlatform(filepath.Join("testdata", "platform.toml"))
	if err != nil {
		t.Fatal(err)
	}
	want := &config.Platform{Node: "n0", Location: "loc-0", ClientListen: "10.9.0.1:8001", PeerBind: "10.9.0.1:8002",
		Peers: []config.Peer{{Node: "n1", Location: "loc-1", Address: "10.9.0.2:8003"}, {Node: "n2", Location: "loc-2", Address: "10.9.0.3:8004"}}}
	want.Services.Cloud, want.Services.Store = "10.9.1.1:8005", "10.9.1.2:8006"
	c := &want.Cluster
	c.ControllerCount, c.Zones, c.TimeBoundMS = 3, []string{"zone-a", "zone-b"}, 750.5
	c.Teams = []config.Team{{Name: "team-a", GuaranteedCPUs: 1.5, MaxCPUs: 2.5, GuaranteedGPUs: 3.5, MaxGPUs: 4.5}, {Name: "team-b"}}
	c.Objectives = []config.Objective{{Kind: "finished", Class: "class-a", WithinS: 60.5, MinShare: 0.85}}
	c.Workers.HeartbeatIntervalS, c.Workers.LeaseS, c.Workers.CancelS = 3.25, 18.25, 38.25
	c.Store.RequestsPerS, c.Store.WritesPerS, c.Store.ValueKB, c.Store.TxnOps = 250.5, 100.5, 32.5, 48
	c.Store.Upcoming.WritesPerS, c.Store.Upcoming.ValueKB, c.Store.Upcoming.TxnOps = of(50.5), of(16.5), of(24)
	c.Cloud.RequestsPerS, c.Cloud.ListLagS = 4.25, 10.25
	c.Resources = config.Resources{CoreShare: 0.18, MemoryMB: 179.5, MaxConnections: 1200}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("read as %+v, not %+v", got, want)
	}
	if c.Store.MaxValueBytes() != 16896 || c.Store.MaxTxnOps() != 24 || c.Store.LowerWritesPerS() != 50.5 {
		t.Errorf("lower limits: %d bytes, %d changes, %v a second", c.Store.MaxValueBytes(), c.Store.MaxTxnOps(), c.Store.LowerWritesPerS())
	}
}

// change is an edit of a settings file.
type change struct{ old, new string }

// goField is where the TOML library's texts name a field by its name in the code, which may change.
var goField = regexp.MustCompile(`struct field .* of type`)

// errorsOf loads a file with each of some changes and lists the error texts.
func errorsOf(t *testing.T, file string, changes []change, load func(path string) error) []line {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("testdata", file))
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), file)
	var got []line
	for _, c := range changes {
		if strings.Count(string(raw), c.old) != 1 {
			t.Fatalf("%s: %q is not there once", file, c.old)
		}
		if err := os.WriteFile(path, []byte(strings.Replace(string(raw), c.old, c.new, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
		text := "accepted"
		if err := load(path); err != nil {
			text = goField.ReplaceAllString(strings.ReplaceAll(err.Error(), path, "FILE"), "a field of type")
		}
		name := strings.ReplaceAll(c.old+" -> "+c.new, "\n", " ")
		got = append(got, line{name, strings.ReplaceAll(text, "\n", " ")})
	}
	return got
}

func TestPlatformErrors(t *testing.T) {
	changes := []change{
		{`node = "n0"`, ""}, {`client_listen = "10.9.0.1:8001"`, ""}, {`peer_bind = "10.9.0.1:8002"`, ""},
		{`cloud = "10.9.1.1:8005"`, ""}, {`state = "10.9.1.2:8006"`, ""},
		{`"10.9.0.1:8001"`, `"nowhere"`}, {`"10.9.0.1:8002"`, `"nowhere"`}, {`"10.9.1.1:8005"`, `"nowhere"`}, {`"10.9.1.2:8006"`, `"nowhere"`},
		{`"10.9.0.3:8004"`, `"nowhere"`}, {`node = "n2"`, ""}, {`node = "n1"`, `node = "n0"`}, {`count = 3`, `count = 2`},
	}
	for _, key := range []string{"report_s = 3.25", "lease_s = 18.25", "cancel_s = 38.25", "\nrps = 250.5", "\nwrite_rps = 100.5", "value_kb = 32.5",
		"write_rps = 50.5", "\nrps = 4.25", "list_lag_s = 10.25", "core_share = 0.18", "mem_mb = 179.5", "\nmax_connections = 1200",
		"txn_ops = 48", "value_kb = 16.5", "txn_ops = 24"} {
		name, _, _ := strings.Cut(key, " =")
		changes = append(changes, change{key, name + " = 0"}, change{key, name + ` = "x"`})
	}
	changes = append(changes, change{"lease_s = 18.25", "lease_s = 3.0"}, change{`name = "team-b"`, ""}, change{`name = "team-b"`, `name = "team-a"`},
		change{"cpus = 1.5", "cpus = -1.5"}, change{"cpus_max = 2.5", "cpus_max = -2.5"}, change{"gpus = 3.5", "gpus = -3.5"},
		change{"gpus_max = 4.5", "gpus_max = -4.5"}, change{"share = 0.85", "share = 1.5"}, change{"within_s = 60.5", "within_s = -1.0"},
		change{"[cluster]\n", "[cluster\n"}, change{"txn_ops = 48", "txn_ops = 1.5"}, change{"value_kb = 16.5\n", ""}, change{"unknown = \"ignored\"\n", ""})
	checkGolden(t, "platform_errors.txt", errorsOf(t, "platform.toml", changes, func(path string) error {
		_, err := config.LoadPlatform(path)
		return err
	}))
}

// Each key of the operators' file arrives in its own field.
func TestSettingsFile(t *testing.T) {
	got, err := config.LoadSettings(filepath.Join("testdata", "settings.yaml"))
	want := config.Settings{SlotsPerCore: 3.5, BaseSlots: 7.5, BatchShare: 0.25, BorrowWaitS: 31.5, Headroom: 0.75, IdleRetention: 0.125, CostSensitivity: of(1.5),
		LoadSteps: 2, FairAdmission: true, RecoveryMinMachines: 200, RecoveryRefillLeases: 0.5, RecoveryReplaceLeases: 2.5, MaxTraceSteps: 300, MemoryLimitRatio: 0.625}
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("read as %+v, not %+v: %v", got, want, err)
	}
}

// The defaults, and the files that are deployed with the repository.
func TestDeployedSettings(t *testing.T) {
	defaults := config.Settings{SlotsPerCore: 2, BaseSlots: 6, BatchShare: 0.5, BorrowWaitS: 30, Headroom: 0.8, IdleRetention: 0.2, LoadSteps: 1, LinkDecisions: true,
		PacedRecovery: true, RecoveryMinMachines: 100, RecoveryRefillLeases: 0.4, RecoveryReplaceLeases: 1, MemoryLimitRatio: 0.6}
	fair := defaults
	fair.FairAdmission, fair.MaxTraceSteps = true, 2000
	want := map[string]config.Settings{"": defaults, "fair-admission.yaml": fair, "half-open.yaml": defaults, "recovery.yaml": defaults}
	files, err := filepath.Glob("../../deploy/*.yaml")
	if err != nil || len(files) != len(want)-1 {
		t.Errorf("%d files, not %d: %v", len(files), len(want)-1, err)
	}
	for name, settings := range want {
		path := name
		if name != "" {
			path = filepath.Join("..", "..", "deploy", name)
		}
		if got, err := config.LoadSettings(path); err != nil || !reflect.DeepEqual(got, settings) {
			t.Errorf("%q is read as %+v, not %+v: %v", name, got, settings, err)
		}
	}
}

func TestSettingsErrors(t *testing.T) {
	changes := []change{{"slots_base", "slot_base"}, {"thrift: 1.5", "thrift: 11"}, {"fair_admission: true", "fair_admission: 3"}, {"slots_base: 7.5", "slots_base: [1"}}
	for _, key := range []string{"slots_per_core: 3.5", "slots_base: 7.5", "class_share: 0.25", "borrow_wait_s: 31.5", "headroom: 0.75", "idle_keep: 0.125",
		"thrift: 1.5", "load_steps: 2", "recovery_from: 200", "recovery_refill: 0.5", "recovery_replace: 2.5", "trace_steps: 300", "memory_ratio: 0.625"} {
		name, _, _ := strings.Cut(key, ":")
		changes = append(changes, change{key, name + ": -1"}, change{key, name + ": 10000000"}, change{key, name + ": many"})
	}
	for _, key := range []string{"fair_admission: true", "link_decisions: false", "recovery: false"} {
		name, _, _ := strings.Cut(key, ":")
		changes = append(changes, change{key, name + ": many"})
	}
	checkGolden(t, "settings_errors.txt", errorsOf(t, "settings.yaml", changes, func(path string) error {
		_, err := config.LoadSettings(path)
		return err
	}))
}

// How a deployment builds and starts the program.
func TestServiceFile(t *testing.T) {
	raw, err := os.ReadFile("../../deploy/service.toml")
	if err != nil {
		t.Fatal(err)
	}
	var got []line
	for text := range strings.Lines(string(raw)) {
		if name, value, _ := strings.Cut(strings.TrimSpace(text), " = "); name == "build" || name == "run" {
			got = append(got, line{name, value})
		}
	}
	checkGolden(t, "service.txt", got)
}
