package controller

import (
	"hitchdoor/internal/cluster"
	"hitchdoor/internal/ratelimit"
	"hitchdoor/internal/records"
	"hitchdoor/internal/storage"
)

// loadState is the state of a leader that concerns the reading of stored records.
type loadState struct {
	recordsLoaded   bool                  // all records have been loaded
	lookupBudget    ratelimit.TokenBucket // limits reads of dependencies and of quarantined records
	earlyHeartbeats []Request             // workers' heartbeats that wait until all records are loaded
}

// newLoadState returns the state at the start of a term, with nothing loaded.
func newLoadState(node *Node) loadState {
	readRate := node.cfg.Cluster.Store.RequestsPerS * dependencyLookupShare
	return loadState{lookupBudget: ratelimit.NewTokenBucket(readRate, readRate)}
}

// initRecords creates the components that load and store the leader's records. Every write is
// conditioned on leaderKeyRevision, the revision of the leader key.
func (l *leader) initRecords(leaderKeyRevision uint64) {
	node, host := l.node, recordsHost{l}
	queue := storage.NewWriter(node.cfg.Cluster.Store.MaxTxnOps(), leaderKeyRevision)
	l.quarantine = records.NewQuarantine(l.State, host, host, &l.lookupBudget)
	l.writer = records.NewTransactionWriter(queue, host, host, node.log, &node.leaderWriteBudget)
	access := records.NewAccess(l.State, l.writer, l.quarantine, host)
	l.machineRecords = records.NewMachines(access)
	l.jobRecords = records.NewJobs(access, host)
	l.loader = records.NewLoader(host, l.machineRecords, l.jobRecords)
	l.jobWatch = records.NewJobWatch(l.loader, host, host)
}

// loadRecords reads all records. Scheduling starts only after all of them are loaded.
func (l *leader) loadRecords() {
	l.loader.ReadListings([]records.Listing{
		{Prefix: storage.VersionPrefix, Apply: l.node.protocolLevels.apply},
		// Dependencies are listed before the jobs. Those written later are read along with their job.
		{Prefix: storage.DependenciesPrefix, Apply: l.loader.LoadDependencies},
		{Prefix: storage.JobPrefix, Apply: l.loader.LoadJobs},
		{Prefix: storage.BitmapPrefix, Apply: l.loader.LoadBitmaps},
		{Prefix: storage.MachineGroupPrefix, Apply: l.loader.LoadMachineGroups},
		{Prefix: storage.SingleMachinePrefix, Apply: l.loader.LoadSingleMachines},
		{Prefix: storage.RentalPrefix, Apply: l.loadRentals},
		{Prefix: storage.ArrivalForecastKey, Apply: l.autoscaler.LoadForecast},
		{Prefix: storage.CatalogKey, Apply: l.writer.NoteRevisions},
		{Prefix: storage.AdmissionPolicyKey, Apply: l.loadAdmissionPolicy},
	}, l.finishLoading)
}

// loadRentals adds the rentals that an earlier leader had stored but not completed.
func (l *leader) loadRentals(items []storage.Item) {
	for _, item := range items {
		rental, err := storage.ReadRental(item)
		if err != nil {
			l.quarantine.AddRecord(item, err)
			continue
		}
		l.writer.SetModRevision(item.Key, item.ModRevision)
		l.autoscaler.AddStoredRental(rental)
	}
}

// applyMachineTypes updates the machines after a change of the machine type catalog.
func (l *leader) applyMachineTypes() {
	l.Catalog = l.node.catalog.Types
	for _, machine := range l.Machines {
		if machineType := l.Catalog[machine.TypeName]; machineType != nil {
			machine.MachineType = machineType
		}
	}
	l.InvalidateMachineIndex()
	l.SchedulingNeeded = true
	l.storeCatalog()
}

// storeCatalog stores the catalog of machine types, once the cloud has confirmed it, for controllers
// that start while the cloud is unavailable.
func (l *leader) storeCatalog() {
	if l.recordsLoaded && l.node.catalog.Confirmed {
		l.machineRecords.StoreCatalog()
	}
}

// adoptStoredJob adds a job that was read from the key-value store to the job table and returns it.
// It returns nil while the records are loading, or if the job could not be loaded.
func (l *leader) adoptStoredJob(id string, item storage.Item) *cluster.Job {
	if !l.recordsLoaded {
		return nil
	}
	if job := l.Jobs[id]; job != nil {
		return job
	}
	l.loader.LoadJob(item)
	return l.Jobs[id]
}
