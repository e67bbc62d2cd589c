package controller

import (
	"hitchdoor/internal/cluster"
	"hitchdoor/internal/ratelimit"
	"hitchdoor/internal/records"
	"hitchdoor/internal/storage"
)

// loadState is the progress of a leader that loads the stored records, and what depends on it.
type loadState struct {
	recordsLoaded   bool                  // all records have been loaded
	lookupBudget    ratelimit.TokenBucket // limits reads of dependencies and of quarantined records
	earlyHeartbeats []Request             // workers' heartbeats received while loading
}

// newLoadState returns the state at the start of a term, with nothing loaded.
func newLoadState(node *Node) loadState {
	readRate := node.cfg.Cluster.Store.RequestsPerS * dependencyLookupShare
	return loadState{lookupBudget: ratelimit.NewTokenBucket(readRate, readRate)}
}

// initRecords creates the parts that store the leader's records. leaderKeyVersion is the version of
// the leader key.
func (l *leader) initRecords(leaderKeyVersion uint64) {
	node, host := l.node, recordsHost{l}
	queue := storage.NewWriter(node.cfg.Cluster.Store.MaxTxnOps(), leaderKeyVersion)
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
		// Before the jobs: later dependencies are read with their job.
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

// storeCatalog stores a confirmed catalog of machine types for the next start.
func (l *leader) storeCatalog() {
	if l.recordsLoaded && l.node.catalog.Confirmed {
		l.machineRecords.StoreCatalog()
	}
}

// adoptStoredJob adds a job that was read from the key-value store to the job table.
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
