package records

import (
	"errors"
	"maps"
	"slices"
	"strings"

	"hitchdoor/internal/cluster"
	"hitchdoor/internal/storage"
)

// Loader reads the stored records of earlier leaders into the cluster state, and those of jobs that
// are accepted later.
type Loader struct {
	*Access
	host     LoaderHost
	machines *Machines
	jobs     *Jobs

	revision            uint64                    // revision up to which the open jobs were read
	dependencyRecords   map[string][]storage.Item // dependency records read before their jobs, by job id
	loadingDependencies map[string]bool           // jobs whose dependency records are being read
	dependencyReadCount map[string]int            // reads of a job's dependency records
	deferredBitmaps     map[string][]storage.Item // bitmap parts of jobs that are not loaded yet
}

// LoaderHost is what the loader needs from the leader.
type LoaderHost interface {
	Store
	Delayer
	// RecordsLoaded reports whether all records were read that were stored at the start of the term.
	RecordsLoaded() bool
}

// NewLoader returns the loader of a new leader, with nothing loaded.
func NewLoader(host LoaderHost, machines *Machines, jobs *Jobs) *Loader {
	return &Loader{
		Access: jobs.Access, host: host, machines: machines, jobs: jobs,
		dependencyRecords: map[string][]storage.Item{}, loadingDependencies: map[string]bool{},
		dependencyReadCount: map[string]int{}, deferredBitmaps: map[string][]storage.Item{},
	}
}

// JobsRevision returns the revision of the key-value store up to which the open jobs were read.
func (l *Loader) JobsRevision() uint64 { return l.revision }

// Listing is a set of records to read: those whose keys have a prefix.
type Listing struct {
	Prefix string
	Apply  func([]storage.Item) // called with each page
}

// ReadListings reads listings one after the other and then calls onDone.
func (l *Loader) ReadListings(listings []Listing, onDone func()) {
	if len(listings) == 0 {
		onDone()
		return
	}
	l.readPages(listings[0], "", func() { l.ReadListings(listings[1:], onDone) })
}

// MaxPageItems limits one page of a listing, to bound memory use.
const MaxPageItems = 200

// readPages reads the records of a listing whose keys are after a key, page by page, and then calls
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

// LoadJobs adds the jobs of a page of records to the open jobs.
func (l *Loader) LoadJobs(items []storage.Item) {
	for _, item := range items {
		l.LoadJob(item)
	}
}

// LoadJob adds a job to the open jobs, once all its dependency records are read.
func (l *Loader) LoadJob(item storage.Item) {
	id := strings.TrimPrefix(item.Key, storage.JobPrefix)
	if l.quarantine.IsUnreadableJob(id) {
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
		l.quarantine.AddRecord(item, errOpenAndTerminal)
		return
	}
	if l.jobs.Add(record, item.ModRevision) != nil {
		bitmaps := l.deferredBitmaps[id]
		delete(l.deferredBitmaps, id)
		l.LoadBitmaps(bitmaps)
	}
}

// LoadDependencies keeps the records of dependencies that do not fit into the records of their
// jobs, until those jobs are loaded.
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

// readDependencies reads the dependency records of one job that was accepted since, and loads the
// job after that. A job loaded without its dependencies would start at once.
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

// maxDependencyReads limits the reads of a job's dependency records. They are written in one
// transaction with the job, so all of them exist unless a page was read before that.
const maxDependencyReads = 3

// errDependenciesMissing is the reason to quarantine a job whose dependency records are incomplete.
var errDependenciesMissing = errors.New("names more records of the jobs that it needs than there are")

// isLoadDeferred reports whether an open job is not in the job table yet, because its dependency
// records are being read or one of its records is unreadable.
func (l *Loader) isLoadDeferred(jobID string) bool {
	return l.loadingDependencies[jobID] || l.quarantine.IsUnreadableJob(jobID)
}

// DropStaleDependencies deletes the dependency records of jobs that are no longer open.
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

// LoadBitmaps marks the tasks done that the bitmap parts list.
func (l *Loader) LoadBitmaps(items []storage.Item) {
	for _, item := range items {
		l.writer.SetModRevision(item.Key, item.ModRevision)
		l.loadBitmap(item)
	}
}

// loadBitmap marks the tasks done that a bitmap part lists. The part of a job that is not loaded yet
// is kept until it is; a part of an unknown job is deleted.
func (l *Loader) loadBitmap(item storage.Item) {
	id, firstTask, ok := storage.ParseBitmapKey(item.Key, l.jobs.layout.legacyTasksPerPart)
	if !ok {
		return // unknown key format, perhaps of a newer version
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

// applyBitmap marks the tasks done that a readable bitmap part lists. A part of another layout is
// deleted after that; its bits are written to the new parts first.
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

// markTasksDone marks the tasks done whose bits are set. The first bit is the one of firstTask.
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
