// Package catalog keeps the machine types that the cloud offers, and decides when to request them
// again. It does no I/O: its host sends the requests.
package catalog

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/json"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// Catalog holds the machine types that the cloud offers, and requests them from the cloud
// repeatedly. Every node has a catalog, as every node decides whether a submitted job fits some type.
type Catalog struct {
	host        Host
	log         *slog.Logger
	workerLease time.Duration // duration of a worker lease, from which the read intervals follow

	Types map[string]*protocol.MachineType // by name; nil: not known yet
	// Confirmed is true if the types are exactly those of the last catalog from the cloud. It is false
	// while the types come from the record of an earlier leader or include missingTypes.
	Confirmed bool
	// missingTypes are the names of the types that are kept although the last catalog from the cloud
	// lacked them. A type is removed only when two catalogs in a row lack it.
	missingTypes map[string]bool

	RequestedAt     clock.Instant // when the cloud's catalog was last requested; never: not yet
	requestInFlight bool
}

// Host is the node of a catalog. It provides the time and access to the cloud and the key-value store.
type Host interface {
	// Now returns the time of the current step.
	Now() clock.Instant
	// Leading reports whether the node is the leader.
	Leading() bool
	// TakeCloudRequest reports whether the budget allows a request to the cloud now. If so, it takes
	// the request from the budget.
	TakeCloudRequest() bool
	// ReadFromCloud requests a resource of the cloud, and calls onResponse with the response. The
	// status of the response is 0 if no usable one arrives within the timeout.
	ReadFromCloud(path string, timeout time.Duration, onResponse func(protocol.CloudResponse))
	// ReadFromStore requests a record of the key-value store, and calls onResponse with the response.
	// The status of the response is 0 if no usable one arrives.
	ReadFromStore(key string, onResponse func(storage.Response))
	// MachineTypesChanged updates what the node derives from the machine types. It is called after
	// each replacement of the types.
	MachineTypesChanged()
}

// Intervals between reads of the cloud's catalog, and their timeout.
const (
	unconfirmedReadsPerLease  = 10 // reads per worker lease, until a catalog is confirmed
	missingTypesReadLeases    = 1  // worker leases between reads, after a catalog that lacked known types
	leaderCatalogReadLeases   = 4  // worker leases between reads on the leader, whose plans depend on prices
	followerCatalogReadLeases = 16 // worker leases between reads on all other nodes
	catalogTimeoutsPerLease   = 4  // ratio of a worker lease to the timeout of a read
)

// New returns a catalog without machine types. Tick requests them.
func New(host Host, log *slog.Logger, workerLease time.Duration) *Catalog {
	return &Catalog{
		host: host, log: log, workerLease: workerLease,
		missingTypes: map[string]bool{}, RequestedAt: clock.Never,
	}
}

// Known reports whether machine types have been read, from the cloud or from the store.
func (c *Catalog) Known() bool { return c.Types != nil }

// Tick requests the cloud's catalog once the read interval has passed since the last request, if the
// budget of requests to the cloud allows. While no types are known, it also reads the catalog that an
// earlier leader stored.
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

// readInterval returns the time between two requests of the cloud's catalog.
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

// onCloudResponse processes the cloud's response to a catalog request. A failed read changes nothing
// and is repeated after the read interval.
func (c *Catalog) onCloudResponse(response protocol.CloudResponse) {
	c.requestInFlight = false
	var catalog protocol.Catalog
	if !response.Decode(&catalog) || len(catalog.Types) == 0 {
		c.log.Debug("reading the machine types from the cloud failed", "status", response.Status)
		return
	}
	c.merge(catalog)
}

// merge replaces the known types by those of a catalog from the cloud. It keeps a known type that is missing
// for the first time: otherwise a job that fits only that type would be rejected permanently. The type is
// removed if the next catalog lacks it too.
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

// replaceTypes replaces the known machine types by the usable ones of a catalog, and notifies the
// host.
func (c *Catalog) replaceTypes(catalog protocol.Catalog) {
	usable := catalog.UsableTypes()
	c.Types = make(map[string]*protocol.MachineType, len(usable))
	for i := range usable {
		c.Types[usable[i].Name] = &usable[i]
	}
	c.host.MachineTypesChanged()
}

// readStored loads the machine types that an earlier leader stored, unless others are known when the
// response arrives. Without stored types, a cluster that restarts during an outage of the cloud could
// neither accept jobs nor use its machines.
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
