// Package catalog holds the machine types that the cloud offers, and decides when to read them again.
// It does no I/O.
package catalog

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

// Catalog holds the machine types that the cloud offers, and reads them from the cloud at
// intervals. Every node has one, as every node decides whether a submitted job fits some type.
type Catalog struct {
	host        Host
	log         *slog.Logger
	workerLease time.Duration // the intervals are multiples of it

	Types map[string]*protocol.MachineType // by name; nil: not known yet
	// Confirmed tells that the types were read from the cloud with none missing, and are not those
	// of an earlier leader's record.
	Confirmed bool
	// missingTypes are the known types that the last catalog lacked. A type is removed only
	// when two catalogs in a row lack it.
	missingTypes map[string]bool

	RequestedAt     clock.Instant
	requestInFlight bool
}

// Host is what the catalog needs from its node.
type Host interface {
	// Now returns the time of the current step.
	Now() clock.Instant
	// Leading reports whether the node is the leader.
	Leading() bool
	// TakeCloudRequest reports whether the budget allows a request to the cloud now, and takes it
	// from the budget.
	TakeCloudRequest() bool
	// ReadFromCloud reads a resource of the cloud.
	ReadFromCloud(path string, timeout time.Duration, onResponse func(protocol.CloudResponse))
	// ReadFromStore reads a record of the key-value store.
	ReadFromStore(key string, onResponse func(storage.Response))
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

// New returns a catalog of which nothing is known yet.
func New(host Host, log *slog.Logger, workerLease time.Duration) *Catalog {
	return &Catalog{
		host: host, log: log, workerLease: workerLease,
		missingTypes: map[string]bool{}, RequestedAt: clock.Never,
	}
}

// Known reports whether any machine types are known.
func (c *Catalog) Known() bool { return c.Types != nil }

// Tick reads the cloud's catalog when the last one is too old. Until a catalog is known, it also
// reads the one that an earlier leader stored.
func (c *Catalog) Tick() {
	if c.requestInFlight {
		return
	}
	if c.RequestedAt != clock.Never && c.host.Now() < c.RequestedAt+c.readInterval() {
		return
	}
	if !c.host.TakeCloudRequest() {
		return
	}
	c.requestInFlight, c.RequestedAt = true, c.host.Now()
	c.host.ReadFromCloud("/catalog", c.workerLease/catalogTimeoutsPerLease, c.onCloudResponse)
	if !c.Known() {
		c.readStored()
	}
}

// readInterval returns how long after a read the next one follows.
func (c *Catalog) readInterval() time.Duration {
	switch {
	case len(c.missingTypes) > 0:
		return missingTypesReadLeases * c.workerLease
	case !c.Confirmed:
		return c.workerLease / unconfirmedReadsPerLease
	case c.host.Leading():
		return leaderCatalogReadLeases * c.workerLease
	default:
		return followerCatalogReadLeases * c.workerLease
	}
}

// onCloudResponse applies a catalog read from the cloud.
func (c *Catalog) onCloudResponse(response protocol.CloudResponse) {
	c.requestInFlight = false
	var catalog protocol.Catalog
	if !response.Decode(&catalog) || len(catalog.Types) == 0 {
		c.log.Debug("catalog read failed", "status", response.Status)
		return
	}
	c.merge(catalog)
}

// merge applies a catalog read from the cloud. A known type that is missing from one catalog is
// kept until the next one lacks it too, because a job that fits only that type would be rejected
// permanently.
func (c *Catalog) merge(catalog protocol.Catalog) {
	missing := map[string]bool{}
	if c.Confirmed || len(c.missingTypes) > 0 {
		listed := map[string]bool{}
		for _, machineType := range catalog.Types {
			listed[machineType.Name] = true
		}
		for _, name := range slices.Sorted(maps.Keys(c.Types)) {
			if !listed[name] && !c.missingTypes[name] {
				missing[name] = true
				catalog.Types = append(catalog.Types, *c.Types[name])
			}
		}
	}
	c.missingTypes = missing
	c.Confirmed = len(missing) == 0
	c.replaceTypes(catalog)
}

// replaceTypes replaces the known machine types.
func (c *Catalog) replaceTypes(catalog protocol.Catalog) {
	usable := catalog.UsableTypes()
	c.Types = make(map[string]*protocol.MachineType, len(usable))
	for i := range usable {
		c.Types[usable[i].Name] = &usable[i]
	}
	c.host.MachineTypesChanged()
}

// readStored loads the machine types that an earlier leader stored. Without them, a cluster that
// restarts during an outage of the cloud could neither accept jobs nor use its machines.
func (c *Catalog) readStored() {
	c.host.ReadFromStore(storage.CatalogKey, func(response storage.Response) {
		var item storage.Item
		var catalog protocol.Catalog
		if !c.Known() && response.Decode(&item) &&
			json.Unmarshal(item.Value, &catalog) == nil && len(catalog.Types) > 0 {
			c.log.Info("machine types loaded from the stored catalog")
			c.replaceTypes(catalog)
		}
	})
}
