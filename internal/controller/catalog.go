package controller

import (
	"maps"
	"slices"

	"github.com/segmentio/encoding/json"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// tickCatalog reads the cloud's catalog of machine types when the last one is too old. Until
// a catalog is known, it also reads the one that an earlier leader stored.
func (n *Node) tickCatalog() {
	if n.catalogRequestInFlight {
		return
	}
	wait := n.workerLease() / 10
	switch {
	case len(n.missingTypes) > 0:
		wait = n.workerLease()
	case n.catalogConfirmed && n.leader != nil:
		wait = 4 * n.workerLease()
	case n.catalogConfirmed:
		wait = 16 * n.workerLease()
	}
	if n.catalogRequestedAt != clock.Never && n.now < n.catalogRequestedAt+wait {
		return
	}
	if !n.cloudBudget.Take(n.now, 1) {
		return
	}
	n.catalogRequestInFlight, n.catalogRequestedAt = true, n.now
	n.callService(TargetCloud, "GET", "/catalog", nil, n.workerLease()/4, func(result CallResult) {
		n.catalogRequestInFlight = false
		var catalog protocol.Catalog
		if result.Status != 200 || json.Unmarshal(result.Body, &catalog) != nil || len(catalog.Types) == 0 {
			n.log.Debug("catalog read failed", "status", result.Status)
			return
		}
		n.mergeCatalog(catalog)
	})
	if n.catalog == nil {
		n.readStoredCatalog()
	}
}

// mergeCatalog applies a catalog read from the cloud. A known type that is missing from one
// catalog is kept until the next one lacks it too, because a job that fits only that type
// would be rejected permanently.
func (n *Node) mergeCatalog(catalog protocol.Catalog) {
	missing := map[string]bool{}
	named := map[string]bool{}
	for _, t := range catalog.Types {
		named[t.Name] = true
	}
	if n.catalogConfirmed || len(n.missingTypes) > 0 {
		for _, name := range slices.Sorted(maps.Keys(n.catalog)) {
			if !named[name] && !n.missingTypes[name] {
				missing[name] = true
				catalog.Types = append(catalog.Types, *n.catalog[name])
			}
		}
	}
	n.missingTypes = missing
	n.catalogConfirmed = len(missing) == 0
	n.setCatalog(catalog)
}

// setCatalog replaces the known machine types.
func (n *Node) setCatalog(catalog protocol.Catalog) {
	usable := catalog.UsableTypes()
	types := make(map[string]*protocol.MachineType, len(usable))
	for i := range usable {
		types[usable[i].Name] = &usable[i]
	}
	n.catalog = types
	if n.leader != nil {
		n.leader.applyMachineTypes()
	}
}

// readStoredCatalog loads the machine types that an earlier leader stored. Without them, a
// cluster that restarts during an outage of the cloud could neither accept jobs nor use its
// machines.
func (n *Node) readStoredCatalog() {
	n.storeCall("GET", "/store/"+storage.CatalogKey, nil, func(result CallResult) {
		var item storage.Item
		var catalog protocol.Catalog
		if n.catalog == nil && result.Status == 200 && json.Unmarshal(result.Body, &item) == nil &&
			json.Unmarshal(item.Value, &catalog) == nil && len(catalog.Types) > 0 {
			n.log.Info("machine types loaded from the stored catalog")
			n.setCatalog(catalog)
		}
	})
}
