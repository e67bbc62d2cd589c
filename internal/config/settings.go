package config

import (
	"fmt"
	"os"
	"reflect"
	"strings"

	"github.com/goccy/go-yaml"
)

// Settings are the operators' settings. Most are ratios to values of the platform's file, so that
// one file can serve several deployments.
type Settings struct {
	// SlotsPerCore and BaseSlots determine the scheduler slots of a machine, each of which allows one
	// task: SlotsPerCore * cores + BaseSlots.
	SlotsPerCore float64 `yaml:"slots_per_core"`
	BaseSlots    float64 `yaml:"slots_base"`
	// BatchShare is the share of all slots, 0 to 1, that belongs to batch work. The other slots belong to
	// latency-sensitive work, and batch work borrows them while latency-sensitive work is not delayed.
	BatchShare float64 `yaml:"class_share"`
	// BorrowWaitS is the time in seconds for which a latency-sensitive job may be pending before batch
	// work stops borrowing slots.
	BorrowWaitS float64 `yaml:"borrow_wait_s"`
	// Headroom is the spare capacity of the fleet, as a ratio to the usual load: the number of cores that
	// recent arrivals keep busy.
	Headroom float64 `yaml:"headroom"`
	// IdleRetention is how long a machine that is no longer needed is kept, as a ratio to its boot time.
	IdleRetention float64 `yaml:"idle_keep"`
	// CostSensitivity determines how many fewer cores are held on more expensive machines: the usual load
	// plus headroom is scaled by (lowest price / price) to the power of CostSensitivity. If it is nil, 0.3
	// applies if some SLO on starting leaves no time to boot a machine, and 2 otherwise.
	CostSensitivity *float64 `yaml:"thrift"`
	// LoadSteps is the number of steps into which placement divides the load of a machine. Placement
	// prefers a lower step, and within a step a shorter pull of the job's image and then a lower load.
	LoadSteps int `yaml:"load_steps"`
	// FairAdmission lets the leader publish admission policies under overload.
	FairAdmission bool `yaml:"fair_admission"`
	// LinkDecisions lets a leader resign, or ask peers to relay heartbeats, according to the half-open
	// links that it knows of.
	LinkDecisions bool `yaml:"link_decisions"`
	// PacedRecovery makes a new leader restrict rentals and returns of machines until its machines are
	// reconciled, that is, until no tasks unknown to this leader can run on them. It also limits the
	// rate of its commands to workers.
	PacedRecovery bool `yaml:"recovery"`
	// RecoveryMinMachines is the smallest number of machines for which PacedRecovery applies. A smaller
	// fleet can't cause a storm of requests.
	RecoveryMinMachines int `yaml:"recovery_from"`
	// RecoveryRefillLeases and RecoveryReplaceLeases limit the rates of operations in a paced recovery.
	// Both are times in worker leases. Within RecoveryRefillLeases, tasks may be started on all cores.
	// Within RecoveryReplaceLeases, as many machines as there are may be rented or returned to the cloud.
	RecoveryRefillLeases  float64 `yaml:"recovery_refill"`
	RecoveryReplaceLeases float64 `yaml:"recovery_replace"`
	// MaxTraceSteps is the number of steps in the processing of jobs that a node retains; 0 disables
	// tracing.
	MaxTraceSteps int `yaml:"trace_steps"`
	// MemoryLimitRatio is the soft memory limit of the Go runtime, as a ratio to the platform's mem_mb.
	MemoryLimitRatio float64 `yaml:"memory_ratio"`
}

// Defaults returns the settings that apply without a file.
func Defaults() Settings {
	return Settings{
		SlotsPerCore: 2, BaseSlots: 6, BatchShare: 0.5, BorrowWaitS: 30,
		Headroom: 0.8, IdleRetention: 0.2, LoadSteps: 1, MemoryLimitRatio: 0.6, LinkDecisions: true,
		PacedRecovery: true, RecoveryMinMachines: 100, RecoveryRefillLeases: 0.4, RecoveryReplaceLeases: 1,
	}
}

// LoadSettings returns the defaults, overridden by the keys in the operators' YAML file. An empty path
// means that there is no file. Unknown keys are errors: otherwise a misspelt key would silently have
// no effect.
func LoadSettings(path string) (Settings, error) {
	settings := Defaults()
	if path == "" {
		return settings, nil
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return settings, fmt.Errorf("settings: %w", err)
	}
	// The decoder would clear the defaults for a file without any key, so such a file is only parsed.
	var keys map[string]any
	if err := yaml.Unmarshal(raw, &keys); err != nil {
		return settings, fmt.Errorf("settings: %s: %w", path, newYAMLSyntaxError(err))
	}
	if len(keys) > 0 {
		if err := yaml.UnmarshalWithOptions(raw, &settings, yaml.Strict()); err != nil {
			return settings, fmt.Errorf("settings: %s: %w", path, newYAMLSyntaxError(err))
		}
	}
	if err := settings.validate(); err != nil {
		return settings, fmt.Errorf("settings: %s: %w", path, err)
	}
	return settings, nil
}

// singleLineError returns the message of a YAML error in one line, without the excerpt of the file. It
// replaces the name of a Go field by the key in the file.
func singleLineError(err error) string {
	message, _, _ := strings.Cut(yaml.FormatError(err, false, false), "\n")
	fields := reflect.TypeFor[Settings]()
	for i := range fields.NumField() {
		field := fields.Field(i)
		message = strings.ReplaceAll(message, "Go struct field Settings."+field.Name+" ", field.Tag.Get("yaml")+" ")
	}
	return message
}

// validate returns an *InvalidSettingError that names the first setting outside its range.
func (s *Settings) validate() error {
	if s.CostSensitivity != nil && !(*s.CostSensitivity >= 0 && *s.CostSensitivity <= 10) {
		return invalidSetting("thrift", "must be within 0..10, is %v", *s.CostSensitivity)
	}
	for _, setting := range []struct {
		name            string
		value, min, max float64
	}{
		{"slots_per_core", s.SlotsPerCore, 0.01, 1000},
		{"slots_base", s.BaseSlots, 0, 1000},
		{"class_share", s.BatchShare, 0, 1},
		{"borrow_wait_s", s.BorrowWaitS, 0, 86400},
		{"headroom", s.Headroom, 0, 10},
		{"idle_keep", s.IdleRetention, 0, 1000},
		{"load_steps", float64(s.LoadSteps), 1, 1000},
		{"memory_ratio", s.MemoryLimitRatio, 0.1, 1},
		{"recovery_from", float64(s.RecoveryMinMachines), 0, 1_000_000},
		{"recovery_refill", s.RecoveryRefillLeases, 0.01, 10},
		{"recovery_replace", s.RecoveryReplaceLeases, 0.01, 10},
		{"trace_steps", float64(s.MaxTraceSteps), 0, 100_000},
	} {
		if !(setting.value >= setting.min && setting.value <= setting.max) {
			return invalidSetting(setting.name, "must be within %v..%v, is %v", setting.min, setting.max, setting.value)
		}
	}
	return nil
}
