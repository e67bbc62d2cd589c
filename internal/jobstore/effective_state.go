package jobstore

import (
	"net/http"
	"slices"

	"github.com/segmentio/encoding/json"

	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// ReadEffectiveState reads a job's state from the records: an open job is cancelled if any of its
// direct or indirect dependencies is. All controllers answer by this rule, so none contradicts
// what another has told a user.
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

// searchResult is the result of a cancellationSearch.
type searchResult int

// The results of a search.
const (
	searchFailed searchResult = iota // some record could not be read
	noCancellation
	cancellationFound
)

// cancellationSearch reads whether any of some jobs, or of their direct and indirect dependencies,
// is cancelled. It reads each job once, one after the other.
type cancellationSearch struct {
	reader   *Reader
	visited  map[string]bool // ids of jobs that were read
	onResult func(searchResult)
}

// checkDependencies checks the jobs with the given ids and the dependencies of an open job.
func (s *cancellationSearch) checkDependencies(openItem *storage.Item, otherIDs []string) {
	s.reader.readDependencies(openItem, func(ok bool, ids []string) {
		if !ok {
			s.onResult(searchFailed)
			return
		}
		s.checkJobs(append(slices.Clone(otherIDs), ids...))
	})
}

// checkJobs checks some jobs, in order. A completed job needs no further check, as all its
// dependencies were completed before.
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

// readDependencies reads the IDs of the jobs on which an open job depends.
func (r *Reader) readDependencies(openItem *storage.Item, onRead func(ok bool, ids []string)) {
	record, err := storage.ReadJob(*openItem)
	if err != nil {
		// If the job may have dependencies, one may be cancelled, which cancels this job too.
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
