package catalog

import (
	"log/slog"
	"testing"
	"time"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// offlineCatalogHost is the host of a catalog whose reads are never answered.
type offlineCatalogHost struct{}

func (offlineCatalogHost) Now() clock.Instant                                                      { return 0 }
func (offlineCatalogHost) Leading() bool                                                           { return false }
func (offlineCatalogHost) TakeCloudRequest() bool                                                  { return true }
func (offlineCatalogHost) ReadFromCloud(_ string, _ time.Duration, _ func(protocol.CloudResponse)) {}
func (offlineCatalogHost) ReadFromStore(_ string, _ func(storage.Response))                        {}
func (offlineCatalogHost) MachineTypesChanged()                                                    {}

// A known type must be removed only when two catalogs in a row lack it. If one incomplete catalog removed
// the type, jobs that fit only that type would be rejected permanently.
func TestMissingTypeIsRemovedAfterTwoCatalogs(t *testing.T) {
	catalog := New(offlineCatalogHost{}, slog.New(slog.DiscardHandler), time.Minute)
	cloudCatalog := func(names ...string) protocol.Catalog {
		var c protocol.Catalog
		for _, name := range names {
			c.Types = append(c.Types, protocol.MachineType{Name: name, Cores: 4, MemoryGB: 16})
		}
		return c
	}
	catalog.merge(cloudCatalog("c4", "g8"))
	for i, step := range []struct {
		names     []string
		known     bool
		confirmed bool
	}{
		{[]string{"c4"}, true, false},
		{[]string{"c4", "g8"}, true, true},
		{[]string{"c4"}, true, false},
		{[]string{"c4"}, false, true},
	} {
		catalog.merge(cloudCatalog(step.names...))
		if (catalog.Types["g8"] != nil) != step.known || catalog.Confirmed != step.confirmed {
			t.Errorf("step %d: type g8 is known: got %v, want %v; catalog is confirmed: got %v, want %v",
				i, catalog.Types["g8"] != nil, step.known, catalog.Confirmed, step.confirmed)
		}
	}
}
