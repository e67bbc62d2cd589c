package controller

import (
	"slices"

	"github.com/segmentio/encoding/json"

	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// readJobRecord reads a job's stored record, open or terminal. The open record is read first,
// because a job moves from open to terminal and never back. The callback gets ok = false if
// the key-value store did not answer, and neither record if the job is unknown.
func (n *Node) readJobRecord(jobID string,
	onRead func(ok bool, openItem *storage.Item, terminal *storage.TerminalRecord)) {
	if record, ok := n.terminalJobs.byID[jobID]; ok {
		onRead(true, nil, &record)
		return
	}
	if n.election.storeUnavailable() || !n.userReadBudget.Take(n.now, 2) {
		onRead(false, nil, nil)
		return
	}
	n.storeCall("GET", "/store/"+storage.JobKey(jobID), nil, func(result CallResult) {
		var item storage.Item
		if result.Status == 200 && json.Unmarshal(result.Body, &item) == nil {
			n.acceptedJobs.put(jobID, true)
			onRead(true, &item, nil)
			return
		}
		if result.Status != 404 {
			onRead(false, nil, nil)
			return
		}
		n.readTerminalRecord(jobID, func(ok bool, terminal *storage.TerminalRecord) { onRead(ok, nil, terminal) })
	})
}

// readTerminalRecord reads a job's terminal record. The callback gets nil if there is none.
func (n *Node) readTerminalRecord(jobID string, onRead func(ok bool, terminal *storage.TerminalRecord)) {
	n.storeCall("GET", "/store/"+storage.TerminalKey(jobID), nil, func(result CallResult) {
		var item storage.Item
		if result.Status == 200 && json.Unmarshal(result.Body, &item) == nil {
			n.onTerminalRecord(item)
		}
		terminal, known := n.terminalJobs.byID[jobID]
		switch {
		case known:
			onRead(true, &terminal)
		case result.Status == 404:
			onRead(true, nil)
		default:
			onRead(false, nil)
		}
	})
}

// readDependencies reads the IDs of the jobs on which an open job depends.
func (n *Node) readDependencies(open *storage.Item, then func(ok bool, ids []string)) {
	record, err := storage.ReadJob(*open)
	if err != nil {
		// If the job may have dependencies, one may be cancelled, which cancels this job too.
		then(!storage.MayHaveDependencies(*open), nil)
		return
	}
	if record.RestoreDependencies(nil) {
		then(true, record.Spec.Dependencies)
		return
	}
	n.storeCall("GET", storage.ListPath(storage.DependenciesPrefix+record.Spec.ID+"/", "", record.DependencyRecords), nil, func(r CallResult) {
		var page storage.ListResponse
		ok := r.Status == 200 && json.Unmarshal(r.Body, &page) == nil && record.RestoreDependencies(page.Items)
		then(ok, record.Spec.Dependencies)
	})
}

// readEffectiveState reads a job's state from the records: an open job is cancelled if any of its
// direct or indirect dependencies is. All controllers answer by this rule, so none contradicts
// what another has told a user.
func (n *Node) readEffectiveState(id string, then func(ok bool, open *storage.Item, final *storage.TerminalRecord)) {
	n.readJobRecord(id, func(ok bool, open *storage.Item, final *storage.TerminalRecord) {
		if open == nil {
			then(ok, open, final)
			return
		}
		n.anyDependencyCancelled(open, nil, map[string]bool{}, func(ok, cancelled bool) {
			switch {
			case !ok:
				then(false, nil, nil)
			case cancelled:
				then(true, nil, &storage.TerminalRecord{State: protocol.JobCancelled})
			default:
				then(true, open, nil)
			}
		})
	})
}

// anyDependencyCancelled reads whether a direct or indirect dependency of an open job, or one of
// otherIDs, is cancelled. A completed job needs no check, as all its dependencies were completed
// before.
func (n *Node) anyDependencyCancelled(open *storage.Item, otherIDs []string, visited map[string]bool, then func(ok, cancelled bool)) {
	n.readDependencies(open, func(ok bool, ids []string) {
		if !ok {
			then(false, false)
			return
		}
		n.anyJobCancelled(append(slices.Clone(otherIDs), ids...), visited, then)
	})
}

// anyJobCancelled reads whether any of some jobs, or of their dependencies, is cancelled.
func (n *Node) anyJobCancelled(ids []string, visited map[string]bool, then func(ok, cancelled bool)) {
	for i, id := range ids {
		if visited[id] {
			continue
		}
		visited[id] = true
		n.readJobRecord(id, func(ok bool, open *storage.Item, final *storage.TerminalRecord) {
			switch {
			case !ok:
				then(false, false)
			case final != nil && final.State == protocol.JobCancelled:
				then(true, true)
			case open != nil:
				n.anyDependencyCancelled(open, ids[i+1:], visited, then)
			default:
				n.anyJobCancelled(ids[i+1:], visited, then)
			}
		})
		return
	}
	then(true, false)
}

// withoutKnownAcceptance returns the IDs that this node does not know to be accepted. Acceptance
// is never withdrawn, so a known one needs no further check.
func (n *Node) withoutKnownAcceptance(ids []string) []string {
	return slices.DeleteFunc(slices.Clone(ids), func(id string) bool {
		_, ended := n.terminalJobs.byID[id]
		return ended || n.acceptedJobs.byID[id] || (n.leader != nil && n.leader.Jobs[id] != nil)
	})
}

// maxDirectJobReads is the number of jobs whose acceptance a node reads itself instead of asking
// the leader.
const maxDirectJobReads = 4

// readAcceptance reads whether all of some jobs were accepted by any node. Only the key-value
// store counts: another node may have accepted one a moment ago.
func (n *Node) readAcceptance(ids []string, then func(ok, allAccepted bool)) {
	pendingReads, readable, allAccepted := len(ids), true, true
	if pendingReads == 0 {
		then(true, true)
		return
	}
	for _, id := range ids {
		n.readJobRecord(id, func(ok bool, open *storage.Item, final *storage.TerminalRecord) {
			readable = readable && ok
			allAccepted = allAccepted && (open != nil || final != nil)
			if pendingReads--; pendingReads == 0 {
				then(readable, allAccepted)
			}
		})
	}
}
