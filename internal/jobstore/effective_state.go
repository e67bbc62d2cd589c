package jobstore

import (
	"net/http"
	"slices"

	"hitchdoor/internal/json"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/rejection"
	"hitchdoor/internal/storage"
)

// ReadEffectiveState reads a job's state from the stored records: an open job counts as cancelled if
// any of its direct or indirect dependencies is cancelled. All controllers answer users by this rule,
// so none contradicts an earlier answer of another.
func (r *Reader) ReadEffectiveState(jobID string, onRead Callback) {
	r.ReadJob(jobID, func(openItem *storage.Item, terminal *storage.TerminalRecord, err error) {
		if openItem == nil {
			onRead(nil, terminal, err)
			return
		}
		search := cancellationSearch{reader: r, visited: map[string]bool{}}
		search.onResult = func(cancelled bool, err error) {
			switch {
			case err != nil:
				onRead(nil, nil, err)
			case cancelled:
				onRead(nil, &storage.TerminalRecord{State: protocol.JobCancelled}, nil)
			default:
				onRead(openItem, nil, nil)
			}
		}
		search.checkDependencies(openItem, nil)
	})
}

// cancellationSearch determines whether any direct or indirect dependency of a job is cancelled. It
// reads the record of each dependency once, one after the other.
type cancellationSearch struct {
	reader   *Reader
	visited  map[string]bool                 // ids of jobs that were read
	onResult func(cancelled bool, err error) // err is not nil if a record could not be read
}

// checkDependencies searches for a cancelled job among the jobs otherIDs, then among the dependencies of
// the open job whose record is openItem.
func (s *cancellationSearch) checkDependencies(openItem *storage.Item, otherIDs []string) {
	s.reader.readDependencies(openItem, func(ids []string, err error) {
		if err != nil {
			s.onResult(false, err)
			return
		}
		s.checkJobs(append(slices.Clone(otherIDs), ids...))
	})
}

// checkJobs searches for a cancelled job among the given jobs and their dependencies. The dependencies of
// a completed job need no check, because all of them were completed before it.
func (s *cancellationSearch) checkJobs(ids []string) {
	next := slices.IndexFunc(ids, func(id string) bool { return !s.visited[id] })
	if next < 0 {
		s.onResult(false, nil)
		return
	}
	id, remaining := ids[next], ids[next+1:]
	s.visited[id] = true
	s.reader.ReadJob(id, func(openItem *storage.Item, terminal *storage.TerminalRecord, err error) {
		switch {
		case err != nil:
			s.onResult(false, err)
		case terminal != nil && terminal.State == protocol.JobCancelled:
			s.onResult(true, nil)
		case openItem != nil:
			s.checkDependencies(openItem, remaining)
		default:
			s.checkJobs(remaining)
		}
	})
}

// readDependencies reads the ids of the jobs on which an open job directly depends.
func (r *Reader) readDependencies(openItem *storage.Item, onRead func(ids []string, err error)) {
	record, err := storage.ReadJob(*openItem)
	if err != nil {
		// If this job may have dependencies, one of them may be cancelled, and this job with it.
		if storage.MayHaveDependencies(*openItem) {
			onRead(nil, &ReadError{rejection.UnreadableRecord})
			return
		}
		onRead(nil, nil)
		return
	}
	if record.RestoreDependencies(nil) {
		onRead(record.Spec.Dependencies, nil)
		return
	}
	path := storage.ListPath(storage.DependenciesPrefix+record.Spec.ID+"/", "", record.DependencyRecords)
	r.host.Get(path, func(status int, body []byte) {
		var page storage.ListResponse
		if status != http.StatusOK || json.Unmarshal(body, &page) != nil || !record.RestoreDependencies(page.Items) {
			onRead(nil, &ReadError{rejection.StoreFailed})
			return
		}
		onRead(record.Spec.Dependencies, nil)
	})
}
