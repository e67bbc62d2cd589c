package config

import (
	"fmt"
	"os"
	"reflect"
	"strings"

	"github.com/goccy/go-yaml"
)

// Settings are the operators' own choices. Most are ratios to figures of the
// platform's file, so that one file can serve several deployments.
type Settings struct {
	// SlotsPerCore and SlotsBase make a machine's slots: per core x cores + base.
	SlotsPerCore float64 `yaml:"slots_per_core"`
	SlotsBase    float64 `yaml:"slots_base"`
	// ClassShare of all slots belongs to batch work; the rest is set aside for
	// the second class and lent to batch work while that does not need it.
	ClassShare float64 `yaml:"class_share"`
	// BorrowWaitS is how long a second-class job waits before lending ends.
	BorrowWaitS float64 `yaml:"borrow_wait_s"`
	// Headroom is the spare capacity kept, as a ratio to the recent demand.
	Headroom float64 `yaml:"headroom"`
	// IdleKeep is how long an idle machine is kept, as a ratio to its boot time.
	IdleKeep float64 `yaml:"idle_keep"`
	// PriceExponent is how much less spare capacity is held of dearer machines: the
	// spare part is scaled by (cheapest price / price) to this power. Without it,
	// 0.3 where aims on starting are stated, and 2 elsewhere.
	PriceExponent *float64 `yaml:"thrift"`
	// LoadSteps is how finely machine loads are told apart in placement.
	LoadSteps int `yaml:"load_steps"`
	// FairAdmission lets the leader publish admission policies while more is submitted than
	// can be taken.
	FairAdmission bool `yaml:"fair_admission"`
	// LinkDecisions lets leaders resign, and ask others to relay, by what is known of half-open
	// links.
	LinkDecisions bool `yaml:"link_decisions"`
	// Recovery holds a new leader's rentals and returns back until its machines are accounted
	// for, and paces its orders.
	Recovery bool `yaml:"recovery"`
	// RecoveryFrom is how many machines a leader must hold for that: fewer can't cause a storm.
	RecoveryFrom int `yaml:"recovery_from"`
	// RecoveryRefill is the part of a worker lease within which all cores may be filled anew while
	// orders are paced; RecoveryReplace the same of renting and returning all machines.
	RecoveryRefill  float64 `yaml:"recovery_refill"`
	RecoveryReplace float64 `yaml:"recovery_replace"`
	// TraceSteps is how many steps of submissions a node keeps for operators; 0: none.
	TraceSteps int `yaml:"trace_steps"`
	// MemoryRatio of mem_mb is the soft limit given to the garbage collector.
	MemoryRatio float64 `yaml:"memory_ratio"`
}

// Defaults returns the settings of a controller that was given no file.
func Defaults() Settings {
	return Settings{
		SlotsPerCore: 2, SlotsBase: 6, ClassShare: 0.5, BorrowWaitS: 30,
		Headroom: 0.8, IdleKeep: 0.2, LoadSteps: 1, MemoryRatio: 0.6, LinkDecisions: true,
		Recovery: true, RecoveryFrom: 100, RecoveryRefill: 0.4, RecoveryReplace: 1,
	}
}

// LoadSettings reads the operators' YAML over the defaults. Unknown keys are
// refused: a misspelt key would otherwise silently do nothing.
func LoadSettings(path string) (Settings, error) {
	s := Defaults()
	if path == "" {
		return s, nil
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return s, fmt.Errorf("settings: %w", err)
	}
	// A file without any key leaves the defaults; the decoder would clear them.
	var keys map[string]any
	if err := yaml.Unmarshal(raw, &keys); err != nil {
		return s, fmt.Errorf("settings: %s: %s", path, oneLine(err))
	}
	if len(keys) > 0 {
		if err := yaml.UnmarshalWithOptions(raw, &s, yaml.Strict()); err != nil {
			return s, fmt.Errorf("settings: %s: %s", path, oneLine(err))
		}
	}
	if err := s.check(); err != nil {
		return s, fmt.Errorf("settings: %s: %w", path, err)
	}
	return s, nil
}

// oneLine is the library's message without the excerpt of the file, with the key as the
// operator writes it in the place of the field's name.
func oneLine(err error) string {
	first, _, _ := strings.Cut(yaml.FormatError(err, false, false), "\n")
	fields := reflect.TypeFor[Settings]()
	for i := range fields.NumField() {
		field := fields.Field(i)
		first = strings.ReplaceAll(first, "Go struct field Settings."+field.Name+" ", field.Tag.Get("yaml")+" ")
	}
	return first
}

func (s *Settings) check() error {
	if s.PriceExponent != nil && !(*s.PriceExponent >= 0 && *s.PriceExponent <= 10) {
		return fmt.Errorf("thrift: must be within 0..10, is %v", *s.PriceExponent)
	}
	for _, f := range []struct {
		name           string
		value, lo, top float64
	}{
		{"slots_per_core", s.SlotsPerCore, 0.01, 1000},
		{"slots_base", s.SlotsBase, 0, 1000},
		{"class_share", s.ClassShare, 0, 1},
		{"borrow_wait_s", s.BorrowWaitS, 0, 86400},
		{"headroom", s.Headroom, 0, 10},
		{"idle_keep", s.IdleKeep, 0, 1000},
		{"load_steps", float64(s.LoadSteps), 1, 1000},
		{"memory_ratio", s.MemoryRatio, 0.1, 1},
		{"recovery_from", float64(s.RecoveryFrom), 0, 1_000_000},
		{"recovery_refill", s.RecoveryRefill, 0.01, 10},
		{"recovery_replace", s.RecoveryReplace, 0.01, 10},
		{"trace_steps", float64(s.TraceSteps), 0, 100_000},
	} {
		if !(f.value >= f.lo && f.value <= f.top) {
			return fmt.Errorf("%s: must be within %v..%v, is %v", f.name, f.lo, f.top, f.value)
		}
	}
	return nil
}
