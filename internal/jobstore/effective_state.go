package jobstore

import (
	"net/http"
	"slices"

	"hitchdoor/internal/json"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// ReadEffectiveState reads a job's state from the stored records: an open job counts as cancelled if
// any of its direct or indirect dependencies is cancelled. All controllers answer users by this rule,
// so none contradicts an earlier answer of another.
func (r *Reader) ReadEffectiveState(jobID string, onRead Callback) {
	r.ReadJob(jobID, func(ok bool, openItem *storage.Item, terminal *storage.TerminalRecord) {
		if openItem == nil {
			onRead(ok, nil, terminal)
			return
		}
		search := cancellationSearch{reader: r, visited: map[string]bool{}}
		search.onResult = func(result searchResult) {
			switch result {
			case searchFailed:
				onRead(false, nil, nil)
			case cancellationFound:
				onRead(true, nil, &storage.TerminalRecord{State: protocol.JobCancelled})
			case noCancellation:
				onRead(true, openItem, nil)
			}
		}
		search.checkDependencies(openItem, nil)
	})
}

// searchResult is the outcome of a cancellationSearch.
type searchResult int

// Results of a cancellationSearch.
const (
	searchFailed searchResult = iota // a record could not be read
	noCancellation
	cancellationFound
)

// cancellationSearch determines whether any direct or indirect dependency of a job is cancelled. It
// reads the record of each dependency once, one after the other.
type cancellationSearch struct {
	reader   *Reader
	visited  map[string]bool // ids of jobs that were read
	onResult func(searchResult)
}

// checkDependencies searches for a cancelled job among the jobs otherIDs, then among the dependencies of
// the open job whose record is openItem.
func (s *cancellationSearch) checkDependencies(openItem *storage.Item, otherIDs []string) {
	s.reader.readDependencies(openItem, func(ok bool, ids []string) {
		if !ok {
			s.onResult(searchFailed)
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
		s.onResult(noCancellation)
		return
	}
	id, remaining := ids[next], ids[next+1:]
	s.visited[id] = true
	s.reader.ReadJob(id, func(ok bool, openItem *storage.Item, terminal *storage.TerminalRecord) {
		switch {
		case !ok:
			s.onResult(searchFailed)
		case terminal != nil && terminal.State == protocol.JobCancelled:
			s.onResult(cancellationFound)
		case openItem != nil:
			s.checkDependencies(openItem, remaining)
		default:
			s.checkJobs(remaining)
		}
	})
}

// readDependencies reads the ids of the jobs on which an open job directly depends.
func (r *Reader) readDependencies(openItem *storage.Item, onRead func(ok bool, ids []string)) {
	record, err := storage.ReadJob(*openItem)
	if err != nil {
		// If this job may have dependencies, one of them may be cancelled, and this job with it.
		onRead(!storage.MayHaveDependencies(*openItem), nil)
		return
	}
	if record.RestoreDependencies(nil) {
		onRead(true, record.Spec.Dependencies)
		return
	}
	path := storage.ListPath(storage.DependenciesPrefix+record.Spec.ID+"/", "", record.DependencyRecords)
	r.host.Get(path, func(status int, body []byte) {
		var page storage.ListResponse
		ok := status == http.StatusOK && json.Unmarshal(body, &page) == nil && record.RestoreDependencies(page.Items)
		onRead(ok, record.Spec.Dependencies)
	})
}
