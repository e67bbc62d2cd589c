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

// fieldKeys returns the keys of a settings file, sorted, with the kinds of their values. The keys are
// the tags of the fields of t and of nested structs; "[]" marks a list.
func fieldKeys(prefix, tag string, t reflect.Type) []goldenLine {
	var keys []goldenLine
	for i := range t.NumField() {
		field := t.Field(i)
		key, fieldType := prefix+field.Tag.Get(tag), field.Type
		for fieldType.Kind() == reflect.Pointer || fieldType.Kind() == reflect.Slice {
			if fieldType.Kind() == reflect.Slice {
				key += "[]"
			}
			fieldType = fieldType.Elem()
		}
		if fieldType.Kind() == reflect.Struct {
			keys = append(keys, fieldKeys(key+".", tag, fieldType)...)
			continue
		}
		keys = append(keys, goldenLine{key, fieldType.Kind().String()})
	}
	slices.SortFunc(keys, func(a, b goldenLine) int { return strings.Compare(a.name, b.name) })
	return keys
}

// TestSettingsKeys guards against a renamed, removed or retyped key: settings files in use would be
// rejected or lose a value.
func TestSettingsKeys(t *testing.T) {
	checkGolden(t, "platform_keys.txt", fieldKeys("", "toml", reflect.TypeFor[config.Platform]()))
	checkGolden(t, "settings_keys.txt", fieldKeys("", "yaml", reflect.TypeFor[config.Settings]()))
}

// TestPlatformFile guards against a key of the platform's file that is read into the wrong field or
// not at all.
func TestPlatformFile(t *testing.T) {
	got, err := config.LoadPlatform(filepath.Join("testdata", "platform.toml"))
	if err != nil {
		t.Fatal(err)
	}
	want := &config.Platform{Node: "n0", Location: "loc-0", ClientListen: "10.9.0.1:8001", PeerBind: "10.9.0.1:8002",
		Peers: []config.Peer{{Node: "n1", Location: "loc-1", Address: "10.9.0.2:8003"},
			{Node: "n2", Location: "loc-2", Address: "10.9.0.3:8004"}}}
	want.Services.Cloud, want.Services.Store = "10.9.1.1:8005", "10.9.1.2:8006"
	cluster := &want.Cluster
	cluster.ControllerCount, cluster.Zones, cluster.TimeBoundMS = 3, []string{"zone-a", "zone-b"}, 750.5
	cluster.Teams = []config.Team{{Name: "team-a", GuaranteedCPUs: 1.5, MaxCPUs: 2.5, GuaranteedGPUs: 3.5, MaxGPUs: 4.5},
		{Name: "team-b"}}
	cluster.Objectives = []config.Objective{{Kind: "finished", Class: "class-a", WithinS: 60.5, MinShare: 0.85}}
	cluster.Workers.HeartbeatIntervalS, cluster.Workers.LeaseS, cluster.Workers.CancelS = 3.25, 18.25, 38.25
	cluster.Store.RequestsPerS, cluster.Store.WritesPerS, cluster.Store.ValueKB, cluster.Store.TxnOps =
		250.5, 100.5, 32.5, 48
	cluster.Store.Upcoming.WritesPerS, cluster.Store.Upcoming.ValueKB, cluster.Store.Upcoming.TxnOps =
		pointerTo(50.5), pointerTo(16.5), pointerTo(24)
	cluster.Cloud.RequestsPerS, cluster.Cloud.ListLagS = 4.25, 10.25
	cluster.Resources = config.Resources{CoreShare: 0.18, MemoryMB: 179.5, MaxConnections: 1200}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("platform file: got %+v, want %+v", got, want)
	}
	if cluster.Store.MaxValueBytes() != 16896 || cluster.Store.MaxTxnOps() != 24 ||
		cluster.Store.LowerWritesPerS() != 50.5 {
		t.Errorf("lower limits: got %d bytes, %d changes, %v writes/s; want 16896, 24, 50.5",
			cluster.Store.MaxValueBytes(), cluster.Store.MaxTxnOps(), cluster.Store.LowerWritesPerS())
	}
}

// settingLine matches a line of the platform's file that sets a key.
var settingLine = regexp.MustCompile(`(?m)^(\w+) = .*$`)

// TestPlatformKeysAreExact guards against a key of a later version that replaces a known key, from which it
// differs in case only.
func TestPlatformKeysAreExact(t *testing.T) {
	raw, err := os.ReadFile(filepath.Join("testdata", "platform.toml"))
	if err != nil {
		t.Fatal(err)
	}
	withVariants := settingLine.ReplaceAllStringFunc(string(raw), func(line string) string {
		return line + "\n" + strings.ToUpper(settingLine.FindStringSubmatch(line)[1]) + ` = "other"`
	}) + "\n[CLUSTER]\ncount = 9\n[[Known]]\nnode = \"n9\"\n"
	path := filepath.Join(t.TempDir(), "platform.toml")
	if err := os.WriteFile(path, []byte(withVariants), 0o600); err != nil {
		t.Fatal(err)
	}
	want, err := config.LoadPlatform(filepath.Join("testdata", "platform.toml"))
	if err != nil {
		t.Fatal(err)
	}
	if got, err := config.LoadPlatform(path); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("platform file with other keys: got %+v, error %v; want %+v", got, err, want)
	}
}

// edit replaces a text that occurs once in a settings file.
type edit struct{ old, new string }

// goFieldName matches the part of the TOML library's errors that contains the Go name of a field,
// which may change.
var goFieldName = regexp.MustCompile(`struct field .* of type`)

// loadErrors loads a file of testdata once for each edit, with only that edit applied. It returns the
// error texts, or "accepted" where there is no error.
func loadErrors(t *testing.T, file string, edits []edit, load func(path string) error) []goldenLine {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("testdata", file))
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), file)
	var got []goldenLine
	for _, e := range edits {
		if strings.Count(string(raw), e.old) != 1 {
			t.Fatalf("%s: want exactly one occurrence of %q", file, e.old)
		}
		if err := os.WriteFile(path, []byte(strings.Replace(string(raw), e.old, e.new, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
		text := "accepted"
		if err := load(path); err != nil {
			text = goFieldName.ReplaceAllString(strings.ReplaceAll(err.Error(), path, "FILE"), "a field of type")
		}
		name := strings.ReplaceAll(e.old+" -> "+e.new, "\n", " ")
		got = append(got, goldenLine{name, strings.ReplaceAll(text, "\n", " ")})
	}
	return got
}

// TestPlatformErrors guards against an invalid or missing value in the platform's file that is
// accepted, and against changed error texts.
func TestPlatformErrors(t *testing.T) {
	edits := []edit{
		{`node = "n0"`, ""}, {`client_listen = "10.9.0.1:8001"`, ""}, {`peer_bind = "10.9.0.1:8002"`, ""},
		{`cloud = "10.9.1.1:8005"`, ""}, {`state = "10.9.1.2:8006"`, ""},
		{`"10.9.0.1:8001"`, `"nowhere"`}, {`"10.9.0.1:8002"`, `"nowhere"`}, {`"10.9.1.1:8005"`, `"nowhere"`},
		{`"10.9.1.2:8006"`, `"nowhere"`}, {`"10.9.0.3:8004"`, `"nowhere"`}, {`node = "n2"`, ""},
		{`node = "n1"`, `node = "n0"`}, {`count = 3`, `count = 2`},
	}
	for _, setting := range []string{"report_s = 3.25", "lease_s = 18.25", "cancel_s = 38.25", "\nrps = 250.5",
		"\nwrite_rps = 100.5", "value_kb = 32.5", "write_rps = 50.5", "\nrps = 4.25", "list_lag_s = 10.25",
		"core_share = 0.18", "mem_mb = 179.5", "\nmax_connections = 1200", "txn_ops = 48", "value_kb = 16.5",
		"txn_ops = 24"} {
		key, _, _ := strings.Cut(setting, " =")
		edits = append(edits, edit{setting, key + " = 0"}, edit{setting, key + ` = "x"`})
	}
	edits = append(edits, edit{"lease_s = 18.25", "lease_s = 3.0"}, edit{`name = "team-b"`, ""},
		edit{`name = "team-b"`, `name = "team-a"`}, edit{"cpus = 1.5", "cpus = -1.5"},
		edit{"cpus_max = 2.5", "cpus_max = -2.5"}, edit{"gpus = 3.5", "gpus = -3.5"},
		edit{"gpus_max = 4.5", "gpus_max = -4.5"}, edit{"share = 0.85", "share = 1.5"},
		edit{"within_s = 60.5", "within_s = -1.0"}, edit{"[cluster]\n", "[cluster\n"},
		edit{"txn_ops = 48", "txn_ops = 1.5"}, edit{"value_kb = 16.5\n", ""}, edit{"unknown = \"ignored\"\n", ""})
	checkGolden(t, "platform_errors.txt", loadErrors(t, "platform.toml", edits, func(path string) error {
		_, err := config.LoadPlatform(path)
		return err
	}))
}

// TestSettingsFile guards against a key of the operators' file that is read into the wrong field or
// not at all.
func TestSettingsFile(t *testing.T) {
	got, err := config.LoadSettings(filepath.Join("testdata", "settings.yaml"))
	want := config.Settings{SlotsPerCore: 3.5, BaseSlots: 7.5, BatchShare: 0.25, BorrowWaitS: 31.5, Headroom: 0.75,
		IdleRetention: 0.125, CostSensitivity: pointerTo(1.5), LoadSteps: 2, FairAdmission: true,
		RecoveryMinMachines: 200, RecoveryRefillLeases: 0.5, RecoveryReplaceLeases: 2.5, MaxTraceSteps: 300,
		MemoryLimitRatio: 0.625}
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("operators' file: got %+v, want %+v; error: %v", got, want, err)
	}
}

// TestDeployedSettings guards against changed defaults, and against a settings file in deploy that is
// invalid or has other values than intended. An empty path means the defaults.
func TestDeployedSettings(t *testing.T) {
	defaults := config.Settings{SlotsPerCore: 2, BaseSlots: 6, BatchShare: 0.5, BorrowWaitS: 30, Headroom: 0.8,
		IdleRetention: 0.2, LoadSteps: 1, LinkDecisions: true, PacedRecovery: true, RecoveryMinMachines: 100,
		RecoveryRefillLeases: 0.4, RecoveryReplaceLeases: 1, MemoryLimitRatio: 0.6}
	fairAdmission := defaults
	fairAdmission.FairAdmission, fairAdmission.MaxTraceSteps = true, 2000
	want := map[string]config.Settings{"": defaults, "fair-admission.yaml": fairAdmission, "half-open.yaml": defaults,
		"recovery.yaml": defaults}
	files, err := filepath.Glob("../../deploy/*.yaml")
	if err != nil || len(files) != len(want)-1 {
		t.Errorf("deploy: got %d settings files, want %d; error: %v", len(files), len(want)-1, err)
	}
	for name, settings := range want {
		path := name
		if name != "" {
			path = filepath.Join("..", "..", "deploy", name)
		}
		if got, err := config.LoadSettings(path); err != nil || !reflect.DeepEqual(got, settings) {
			t.Errorf("settings file %q: got %+v, want %+v; error: %v", name, got, settings, err)
		}
	}
}

// TestSettingsErrors guards against an invalid value or unknown key in the operators' file that is
// accepted, and against changed error texts.
func TestSettingsErrors(t *testing.T) {
	edits := []edit{{"slots_base", "slot_base"}, {"thrift: 1.5", "thrift: 11"},
		{"fair_admission: true", "fair_admission: 3"}, {"slots_base: 7.5", "slots_base: [1"}}
	for _, setting := range []string{"slots_per_core: 3.5", "slots_base: 7.5", "class_share: 0.25",
		"borrow_wait_s: 31.5", "headroom: 0.75", "idle_keep: 0.125", "thrift: 1.5", "load_steps: 2",
		"recovery_from: 200", "recovery_refill: 0.5", "recovery_replace: 2.5", "trace_steps: 300", "memory_ratio: 0.625"} {
		key, _, _ := strings.Cut(setting, ":")
		edits = append(edits, edit{setting, key + ": -1"}, edit{setting, key + ": 10000000"}, edit{setting, key + ": many"})
	}
	for _, setting := range []string{"fair_admission: true", "link_decisions: false", "recovery: false"} {
		key, _, _ := strings.Cut(setting, ":")
		edits = append(edits, edit{setting, key + ": many"})
	}
	checkGolden(t, "settings_errors.txt", loadErrors(t, "settings.yaml", edits, func(path string) error {
		_, err := config.LoadSettings(path)
		return err
	}))
}

// TestServiceFile guards against changes of the commands in deploy/service.toml, with which a
// deployment builds and starts the program.
func TestServiceFile(t *testing.T) {
	raw, err := os.ReadFile("../../deploy/service.toml")
	if err != nil {
		t.Fatal(err)
	}
	var got []goldenLine
	for row := range strings.Lines(string(raw)) {
		if name, value, _ := strings.Cut(strings.TrimSpace(row), " = "); name == "build" || name == "run" {
			got = append(got, goldenLine{name, value})
		}
	}
	checkGolden(t, "service.txt", got)
}
