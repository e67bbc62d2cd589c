package controller

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/segmentio/encoding/json"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// machineCatalog holds the machine types that the cloud offers, and reads them from the cloud at
// intervals. Every node has one, as every node decides whether a submitted job fits some type.
type machineCatalog struct {
	host        catalogHost
	log         *slog.Logger
	workerLease time.Duration // the intervals are multiples of it

	types     map[string]*protocol.MachineType // by name; nil: not known yet
	confirmed bool                             // read from the cloud, with no type missing; not an earlier leader's record
	// missingTypes are the known types that the last catalog lacked. A type is removed only
	// when two catalogs in a row lack it.
	missingTypes map[string]bool

	requestedAt     clock.Instant
	requestInFlight bool
}

// catalogResponse is the response to a read. Status 0 means that no usable response arrived.
type catalogResponse struct {
	Status int
	Body   []byte
}

// catalogHost is what the catalog needs from its node.
type catalogHost interface {
	// Now returns the time of the current step.
	Now() clock.Instant
	// Leading reports whether the node is the leader.
	Leading() bool
	// TakeCloudRequest reports whether the budget allows a request to the cloud now, and takes it
	// from the budget.
	TakeCloudRequest() bool
	// ReadFromCloud reads a resource of the cloud.
	ReadFromCloud(path string, timeout time.Duration, onResponse func(catalogResponse))
	// ReadFromStore reads a record of the key-value store.
	ReadFromStore(key string, onResponse func(catalogResponse))
	// MachineTypesChanged is called after the machine types were replaced.
	MachineTypesChanged()
}

// Intervals at which the catalog is read, as multiples or parts of a worker lease.
const (
	unconfirmedReadsPerLease  = 10 // until a catalog is confirmed
	missingTypesReadLeases    = 1  // after a catalog that lacked known types
	leaderCatalogReadLeases   = 4  // on the leader, whose plans depend on prices
	followerCatalogReadLeases = 16
	catalogTimeoutsPerLease   = 4
)

// newMachineCatalog returns a catalog of which nothing is known yet.
func newMachineCatalog(host catalogHost, log *slog.Logger, workerLease time.Duration) *machineCatalog {
	return &machineCatalog{host: host, log: log, workerLease: workerLease, missingTypes: map[string]bool{}, requestedAt: clock.Never}
}

// known reports whether any machine types are known.
func (c *machineCatalog) known() bool { return c.types != nil }

// tick reads the cloud's catalog when the last one is too old. Until a catalog is known, it also
// reads the one that an earlier leader stored.
func (c *machineCatalog) tick() {
	if c.requestInFlight {
		return
	}
	if c.requestedAt != clock.Never && c.host.Now() < c.requestedAt+c.readInterval() {
		return
	}
	if !c.host.TakeCloudRequest() {
		return
	}
	c.requestInFlight, c.requestedAt = true, c.host.Now()
	c.host.ReadFromCloud("/catalog", c.workerLease/catalogTimeoutsPerLease, c.onCloudResponse)
	if !c.known() {
		c.readStored()
	}
}

// readInterval returns how long after a read the next one follows.
func (c *machineCatalog) readInterval() time.Duration {
	switch {
	case len(c.missingTypes) > 0:
		return missingTypesReadLeases * c.workerLease
	case !c.confirmed:
		return c.workerLease / unconfirmedReadsPerLease
	case c.host.Leading():
		return leaderCatalogReadLeases * c.workerLease
	default:
		return followerCatalogReadLeases * c.workerLease
	}
}

// onCloudResponse applies a catalog read from the cloud.
func (c *machineCatalog) onCloudResponse(response catalogResponse) {
	c.requestInFlight = false
	var catalog protocol.Catalog
	if response.Status != 200 || json.Unmarshal(response.Body, &catalog) != nil || len(catalog.Types) == 0 {
		c.log.Debug("catalog read failed", "status", response.Status)
		return
	}
	c.merge(catalog)
}

// merge applies a catalog read from the cloud. A known type that is missing from one catalog is
// kept until the next one lacks it too, because a job that fits only that type would be rejected
// permanently.
func (c *machineCatalog) merge(catalog protocol.Catalog) {
	missing := map[string]bool{}
	if c.confirmed || len(c.missingTypes) > 0 {
		listed := map[string]bool{}
		for _, machineType := range catalog.Types {
			listed[machineType.Name] = true
		}
		for _, name := range slices.Sorted(maps.Keys(c.types)) {
			if !listed[name] && !c.missingTypes[name] {
				missing[name] = true
				catalog.Types = append(catalog.Types, *c.types[name])
			}
		}
	}
	c.missingTypes = missing
	c.confirmed = len(missing) == 0
	c.replaceTypes(catalog)
}

// replaceTypes replaces the known machine types.
func (c *machineCatalog) replaceTypes(catalog protocol.Catalog) {
	usable := catalog.UsableTypes()
	c.types = make(map[string]*protocol.MachineType, len(usable))
	for i := range usable {
		c.types[usable[i].Name] = &usable[i]
	}
	c.host.MachineTypesChanged()
}

// readStored loads the machine types that an earlier leader stored. Without them, a cluster that
// restarts during an outage of the cloud could neither accept jobs nor use its machines.
func (c *machineCatalog) readStored() {
	c.host.ReadFromStore(storage.CatalogKey, func(response catalogResponse) {
		var item storage.Item
		var catalog protocol.Catalog
		if !c.known() && response.Status == 200 && json.Unmarshal(response.Body, &item) == nil &&
			json.Unmarshal(item.Value, &catalog) == nil && len(catalog.Types) > 0 {
			c.log.Info("machine types loaded from the stored catalog")
			c.replaceTypes(catalog)
		}
	})
}
