package records

import (
	"errors"
	"maps"
	"slices"
	"strings"

	"hitchdoor/internal/cluster"
	"hitchdoor/internal/storage"
)

// Loader reads stored records into the cluster state: the records of earlier leaders at the start of
// the term, and later those of newly accepted jobs.
type Loader struct {
	*Access
	host     LoaderHost
	machines *Machines
	jobs     *Jobs

	revision            uint64                    // store revision up to which the open jobs were read
	dependencyRecords   map[string][]storage.Item // dependency records read before their jobs, by job id
	loadingDependencies map[string]bool           // ids of jobs whose dependency records are being read
	dependencyReadCount map[string]int            // number of reads of a job's dependency records, by job id
	deferredBitmaps     map[string][]storage.Item // bitmap parts of jobs whose load is deferred, by job id
}

// LoaderHost is the part of the leader that Loader calls.
type LoaderHost interface {
	Store
	Delayer
	// RecordsLoaded reports whether all records that were stored at the start of the term are loaded.
	RecordsLoaded() bool
}

// NewLoader returns the loader of a new leader. Nothing is loaded yet.
func NewLoader(host LoaderHost, machines *Machines, jobs *Jobs) *Loader {
	return &Loader{
		Access: jobs.Access, host: host, machines: machines, jobs: jobs,
		dependencyRecords: map[string][]storage.Item{}, loadingDependencies: map[string]bool{},
		dependencyReadCount: map[string]int{}, deferredBitmaps: map[string][]storage.Item{},
	}
}

// JobsRevision returns the revision of the key-value store up to which the open jobs were read.
func (l *Loader) JobsRevision() uint64 { return l.revision }

// Listing describes a set of records to read: those whose keys have a prefix.
type Listing struct {
	Prefix string
	Apply  func([]storage.Item) // called with the items of each page
}

// ReadListings reads listings one after the other and then calls onDone.
func (l *Loader) ReadListings(listings []Listing, onDone func()) {
	if len(listings) == 0 {
		onDone()
		return
	}
	l.readPages(listings[0], "", func() { l.ReadListings(listings[1:], onDone) })
}

// MaxPageItems is the maximum number of items in one page of a listing. It limits the memory for a page.
const MaxPageItems = 200

// readPages reads the records of a listing whose keys are after afterKey, page by page, and then calls
// onDone. A failed read is retried until this leader's term ends.
func (l *Loader) readPages(listing Listing, afterKey string, onDone func()) {
	path := storage.ListPath(listing.Prefix, afterKey, MaxPageItems)
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
func (l *Loader) scheduleRetry(retry func()) { l.host.CallAfter(retryDelay(l.clock), retry) }

// rereadJobs lists the open jobs again, loads the new ones and then calls onDone.
func (l *Loader) rereadJobs(onDone func()) {
	l.readPages(Listing{Prefix: storage.JobPrefix, Apply: l.LoadJobs}, "", onDone)
}

// LoadJobs adds the jobs of a page of open records to the job table.
func (l *Loader) LoadJobs(items []storage.Item) {
	for _, item := range items {
		l.LoadJob(item)
	}
}

// LoadJob adds the job of an open record to the job table. If the job's dependency records have not all
// been read, they are read first. An unreadable record is quarantined.
func (l *Loader) LoadJob(item storage.Item) {
	id := strings.TrimPrefix(item.Key, storage.JobPrefix)
	if l.quarantine.IsUnreadableJob(id) {
		// The job's record is quarantined, and was either repaired or only read again. The new
		// revision of a repaired record would imply that no earlier leader has started the job,
		// so this leader does not load it. The next leader does.
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
		l.quarantine.AddRecord(item, errOpenAndTerminal)
		return
	}
	if l.jobs.Add(record, item.ModRevision) != nil {
		bitmaps := l.deferredBitmaps[id]
		delete(l.deferredBitmaps, id)
		l.LoadBitmaps(bitmaps)
	}
}

// LoadDependencies validates a page of dependency records and keeps them until their jobs are loaded.
// Such records exist only for jobs whose dependencies do not fit into the record of the job.
func (l *Loader) LoadDependencies(items []storage.Item) {
	l.writer.NoteRevisions(items)
	for _, item := range items {
		id := storage.JobIDOfDependenciesKey(item.Key)
		if _, err := storage.ReadDependencies(item); err != nil {
			l.quarantine.addUnreadableJob(id, item, err)
		}
		l.dependencyRecords[id] = append(l.dependencyRecords[id], item)
	}
}

// readDependencies reads the dependency records of one job, for example of a job that was accepted after
// the initial load, and then loads the job. A job loaded without its dependencies would start at once.
func (l *Loader) readDependencies(job storage.Item, recordCount int) {
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
	listing := Listing{Prefix: storage.DependenciesPrefix + id + "/", Apply: l.LoadDependencies}
	l.readPages(listing, "", func() {
		delete(l.loadingDependencies, id)
		if len(l.dependencyRecords[id]) != recordCount {
			l.scheduleRetry(func() { l.readDependencies(job, recordCount) })
			return
		}
		l.LoadJobs([]storage.Item{job})
	})
}

// maxDependencyReads limits the reads of a job's dependency records. The records are written in one
// transaction with the job, so a read finds all of them unless a page was read before that transaction.
const maxDependencyReads = 3

// errDependenciesMissing is the reason to quarantine a job whose dependency records are incomplete.
var errDependenciesMissing = errors.New("names a different number of dependency records than are stored")

// isLoadDeferred reports whether an open job is not in the job table because its dependency records
// are being read, or because its record or one of its dependency records is unreadable.
func (l *Loader) isLoadDeferred(jobID string) bool {
	return l.loadingDependencies[jobID] || l.quarantine.IsUnreadableJob(jobID)
}

// DropStaleDependencies deletes the dependency records of jobs that are no longer open. The leader calls
// it at the end of the initial load.
func (l *Loader) DropStaleDependencies() {
	for _, id := range slices.Sorted(maps.Keys(l.dependencyRecords)) {
		for _, item := range l.dependencyRecords[id] {
			if l.state.Jobs[id] == nil && !l.isLoadDeferred(id) {
				l.dropStoredKey(item.Key)
			}
		}
		delete(l.dependencyRecords, id)
	}
}

// LoadBitmaps marks the tasks whose bits are set in a page of bitmap parts as done.
func (l *Loader) LoadBitmaps(items []storage.Item) {
	for _, item := range items {
		l.writer.SetModRevision(item.Key, item.ModRevision)
		l.loadBitmap(item)
	}
}

// loadBitmap marks the tasks whose bits are set in one bitmap part as done. If loading the job is
// deferred, the part is kept until the job is loaded. A part of an unknown job is deleted.
func (l *Loader) loadBitmap(item storage.Item) {
	id, firstTask, ok := storage.ParseBitmapKey(item.Key, l.jobs.layout.legacyTasksPerPart)
	if !ok {
		return // the key has an unknown format, perhaps that of a newer version
	}
	if l.isLoadDeferred(id) {
		l.deferredBitmaps[id] = append(l.deferredBitmaps[id], item)
		return
	}
	job := l.state.Jobs[id]
	if job == nil {
		l.dropStoredKey(item.Key)
		return
	}
	bits, err := storage.ReadBitmap(item)
	if err != nil {
		l.quarantine.addJob(job, item, err)
		return
	}
	if firstTask >= job.Spec.TaskCount {
		l.dropStoredKey(item.Key)
		return
	}
	l.applyBitmap(job, item.Key, firstTask, bits)
}

// applyBitmap marks the tasks whose bits are set in a valid bitmap part as done. A part of another layout
// than the job's is deleted after its bits were written to the parts of the job's layout.
func (l *Loader) applyBitmap(job *cluster.Job, key string, firstTask int, bits []byte) {
	partIndex := slices.IndexFunc(job.BitmapParts, func(part *cluster.BitmapPart) bool { return part.Key == key })
	if partIndex >= 0 {
		job.BitmapParts[partIndex].StoredBits = bits
	}
	l.markTasksDone(job, firstTask, bits)
	if partIndex < 0 {
		l.dropStoredKey(key)
	}
}

// markTasksDone marks the tasks whose bits are set as done. The first bit belongs to firstTask.
func (l *Loader) markTasksDone(job *cluster.Job, firstTask int, bits []byte) {
	for i := range bits {
		for bit := range 8 {
			index := firstTask + i*8 + bit
			if bits[i]&(1<<bit) != 0 && index < job.Spec.TaskCount {
				l.jobs.MarkTaskDone(job, index)
			}
		}
	}
}
