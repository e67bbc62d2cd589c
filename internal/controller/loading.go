package controller

import (
	"errors"
	"maps"
	"slices"
	"strings"

	"hitchdoor/internal/cluster"
	"hitchdoor/internal/storage"
)

// loader reads the stored records of earlier leaders into the cluster state, and those of jobs that
// are accepted later.
type loader struct {
	*recordAccess
	host     loaderHost
	machines *machineRecords
	jobs     *jobRecords

	revision            uint64                    // revision up to which the open jobs were read
	dependencyRecords   map[string][]storage.Item // dependency records read before their jobs, by job id
	loadingDependencies map[string]bool           // jobs whose dependency records are being read
	dependencyReadCount map[string]int            // reads of a job's dependency records
	deferredBitmaps     map[string][]storage.Item // bitmap parts of jobs that are not loaded yet
}

// loaderHost is what the loader needs from the leader.
type loaderHost interface {
	recordStore
	delayer
	// RecordsLoaded reports whether all records were read that were stored at the start of the term.
	RecordsLoaded() bool
}

// newLoader returns the loader of a new leader, with nothing loaded.
func newLoader(host loaderHost, machines *machineRecords, jobs *jobRecords) *loader {
	return &loader{
		recordAccess: jobs.recordAccess, host: host, machines: machines, jobs: jobs,
		dependencyRecords: map[string][]storage.Item{}, loadingDependencies: map[string]bool{},
		dependencyReadCount: map[string]int{}, deferredBitmaps: map[string][]storage.Item{},
	}
}

// jobsRevision returns the revision of the key-value store up to which the open jobs were read.
func (l *loader) jobsRevision() uint64 { return l.revision }

// recordListing is a set of records to read: those whose keys have a prefix.
type recordListing struct {
	Prefix string
	Apply  func([]storage.Item) // called with each page
}

// readListings reads listings one after the other and then calls onDone.
func (l *loader) readListings(listings []recordListing, onDone func()) {
	if len(listings) == 0 {
		onDone()
		return
	}
	l.readPages(listings[0], "", func() { l.readListings(listings[1:], onDone) })
}

// maxPageItems limits one page of a listing, to bound memory use.
const maxPageItems = 200

// readPages reads the records of a listing whose keys are after a key, page by page, and then calls
// onDone. A failed read is retried until this leader's term ends.
func (l *loader) readPages(listing recordListing, afterKey string, onDone func()) {
	path := storage.ListPath(listing.Prefix, afterKey, maxPageItems)
	l.host.CallStore("GET", path, nil, func(response storage.Response) {
		var page storage.ListResponse
		if !response.Decode(&page) {
			l.scheduleRetry(func() { l.readPages(listing, afterKey, onDone) })
			return
		}
		if listing.Prefix == storage.JobPrefix && afterKey == "" {
			l.revision = page.Revision
		}
		listing.Apply(page.Items)
		if page.Truncated && len(page.Items) > 0 {
			l.readPages(listing, page.Items[len(page.Items)-1].Key, onDone)
			return
		}
		onDone()
	})
}

// scheduleRetry calls retry after a short delay.
func (l *loader) scheduleRetry(retry func()) { l.host.CallAfter(retryDelay(l.clock), retry) }

// rereadJobs lists the open jobs again, loads the new ones and then calls onDone.
func (l *loader) rereadJobs(onDone func()) {
	l.readPages(recordListing{Prefix: storage.JobPrefix, Apply: l.loadJobs}, "", onDone)
}

// loadJobs adds the jobs of a page of records to the open jobs.
func (l *loader) loadJobs(items []storage.Item) {
	for _, item := range items {
		l.loadJob(item)
	}
}

// loadJob adds a job to the open jobs, once all its dependency records are read.
func (l *loader) loadJob(item storage.Item) {
	id := strings.TrimPrefix(item.Key, storage.JobPrefix)
	if l.quarantine.isUnreadableJob(id) {
		// The quarantined record was repaired, or is read again. The revision of a repaired
		// one would imply that no earlier leader has started the job, so only the next leader
		// loads it.
		l.quarantine.checkSoon()
		return
	}
	record, err := storage.ReadJob(item)
	if err != nil {
		l.quarantine.addUnreadableJob(id, item, err)
		return
	}
	if !record.RestoreDependencies(l.dependencyRecords[id]) {
		l.readDependencies(item, record.DependencyRecords)
		return
	}
	delete(l.dependencyRecords, id)
	if l.jobs.host.IsTerminal(id) && !l.host.RecordsLoaded() {
		l.quarantine.addRecord(item, errOpenAndTerminal)
		return
	}
	if l.jobs.addJob(record, item.ModRevision) != nil {
		bitmaps := l.deferredBitmaps[id]
		delete(l.deferredBitmaps, id)
		l.loadBitmaps(bitmaps)
	}
}

// loadDependencies keeps the records of dependencies that do not fit into the records of their
// jobs, until those jobs are loaded.
func (l *loader) loadDependencies(items []storage.Item) {
	l.writer.noteRevisions(items)
	for _, item := range items {
		id := storage.JobIDOfDependenciesKey(item.Key)
		if _, err := storage.ReadDependencies(item); err != nil {
			l.quarantine.addUnreadableJob(id, item, err)
		}
		l.dependencyRecords[id] = append(l.dependencyRecords[id], item)
	}
}

// readDependencies reads the dependency records of one job that was accepted since, and loads the
// job after that. A job loaded without its dependencies would start at once.
func (l *loader) readDependencies(job storage.Item, recordCount int) {
	id := strings.TrimPrefix(job.Key, storage.JobPrefix)
	if l.state.Jobs[id] != nil || l.isLoadDeferred(id) {
		return
	}
	if l.dependencyReadCount[id]++; l.dependencyReadCount[id] > maxDependencyReads {
		l.quarantine.addUnreadableJob(id, job, errDependenciesMissing)
		return
	}
	l.loadingDependencies[id] = true
	delete(l.dependencyRecords, id)
	listing := recordListing{Prefix: storage.DependenciesPrefix + id + "/", Apply: l.loadDependencies}
	l.readPages(listing, "", func() {
		delete(l.loadingDependencies, id)
		if len(l.dependencyRecords[id]) != recordCount {
			l.scheduleRetry(func() { l.readDependencies(job, recordCount) })
			return
		}
		l.loadJobs([]storage.Item{job})
	})
}

// maxDependencyReads limits the reads of a job's dependency records. They are written in one
// transaction with the job, so all of them exist unless a page was read before that.
const maxDependencyReads = 3

// errDependenciesMissing is the reason to quarantine a job whose dependency records are incomplete.
var errDependenciesMissing = errors.New("names more records of the jobs that it needs than there are")

// isLoadDeferred reports whether an open job is not in the job table yet, because its dependency
// records are being read or one of its records is unreadable.
func (l *loader) isLoadDeferred(jobID string) bool {
	return l.loadingDependencies[jobID] || l.quarantine.isUnreadableJob(jobID)
}

// dropStaleDependencies deletes the dependency records of jobs that are no longer open.
func (l *loader) dropStaleDependencies() {
	for _, id := range slices.Sorted(maps.Keys(l.dependencyRecords)) {
		for _, item := range l.dependencyRecords[id] {
			if l.state.Jobs[id] == nil && !l.isLoadDeferred(id) {
				l.dropStoredKey(item.Key)
			}
		}
		delete(l.dependencyRecords, id)
	}
}

// loadBitmaps marks the tasks done that the bitmap parts list.
func (l *loader) loadBitmaps(items []storage.Item) {
	for _, item := range items {
		l.writer.SetModRevision(item.Key, item.ModRevision)
		l.loadBitmap(item)
	}
}

// loadBitmap marks the tasks done that a bitmap part lists. The part of a job that is not loaded yet
// is kept until it is; a part of an unknown job is deleted.
func (l *loader) loadBitmap(item storage.Item) {
	id, firstTask, ok := storage.ParseBitmapKey(item.Key, l.jobs.layout.legacyTasksPerPart)
	if !ok {
		return // unknown key format, perhaps of a newer version
	}
	if l.isLoadDeferred(id) {
		l.deferredBitmaps[id] = append(l.deferredBitmaps[id], item)
		return
	}
	j := l.state.Jobs[id]
	if j == nil {
		l.dropStoredKey(item.Key)
		return
	}
	bits, err := storage.ReadBitmap(item)
	if err != nil {
		l.quarantine.addJob(j, item, err)
		return
	}
	if firstTask >= j.Spec.TaskCount {
		l.dropStoredKey(item.Key)
		return
	}
	l.applyBitmap(j, item.Key, firstTask, bits)
}

// applyBitmap marks the tasks done that a readable bitmap part lists. A part of another layout is
// deleted after that; its bits are written to the new parts first.
func (l *loader) applyBitmap(j *cluster.Job, key string, firstTask int, bits []byte) {
	partIndex := slices.IndexFunc(j.BitmapParts, func(part *cluster.BitmapPart) bool { return part.Key == key })
	if partIndex >= 0 {
		j.BitmapParts[partIndex].StoredBits = bits
	}
	l.markTasksDone(j, firstTask, bits)
	if partIndex < 0 {
		l.dropStoredKey(key)
	}
}

// markTasksDone marks the tasks done whose bits are set. The first bit is the one of firstTask.
func (l *loader) markTasksDone(j *cluster.Job, firstTask int, bits []byte) {
	for i := range bits {
		for bit := range 8 {
			index := firstTask + i*8 + bit
			if bits[i]&(1<<bit) != 0 && index < j.Spec.TaskCount {
				l.jobs.markTaskDone(j, index)
			}
		}
	}
}
