package election

import (
	"strings"

	"hitchdoor/internal/json"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// freeToVote reports whether no lease grant prevents this node from voting. A restarted node does
// not remember its grants, so it waits for the duration of one. The wait is skipped if no leader can
// rely on such a grant, see noPeerLeads.
func (e *Election) freeToVote() bool {
	return (e.earlierCommitmentsExpired() || e.noPeerLeads()) && e.host.Now() >= e.grantedUntil
}

// mayVoteInTerm reports whether this node may vote for the candidate of a term. It may vote once in a
// term, and not while it holds the leader lease.
func (e *Election) mayVoteInTerm(term uint64) bool {
	return e.freeToVote() && term > e.votedTerm &&
		(e.leadership == nil || e.leadership.term < term && !e.HoldsLeaderLease())
}

// onVoteRequest votes for a candidate if this node may vote in its term. A repeated request in the term
// of the last vote gets the same response, as each term has only one candidate.
func (e *Election) onVoteRequest(sender *Peer, request protocol.VoteRequest) {
	if !e.mayVoteInTerm(request.Term) && request.Term != e.votedTerm {
		return
	}
	e.votedTerm = request.Term
	e.host.SendMessage(sender.Name, protocol.Vote{Term: request.Term, Granted: true})
}

// onVote counts a vote for this node's candidacy.
func (e *Election) onVote(sender *Peer, vote protocol.Vote) {
	current := e.candidacy
	if current == nil || current.term != vote.Term || !vote.Granted {
		return
	}
	current.votes[sender.Name] = true
	e.tickCandidate()
}

// voteThroughStore writes a vote to the key-value store for a candidate that can't reach this
// node. Otherwise a failed leader could not be replaced while connections between controllers
// fail, because no candidate would receive a quorum of votes. The stored vote binds this node just as a
// vote message does. This node becomes a candidate only if there is no other candidate to vote for.
// Otherwise each node would raise the term above the one that others vote for, and a cluster of
// disconnected controllers would stay without a leader.
func (e *Election) voteThroughStore() {
	e.readTerm(func(last *storedTerm) {
		if e.leadership != nil || e.candidacy != nil || last == nil || !e.freeToVote() {
			return
		}
		lastTerm := last.term
		if !e.isOpenCandidacy(lastTerm) || !e.mayVoteInTerm(lastTerm.Term) {
			e.startCandidacyAfterDelay()
			return
		}
		e.votedTerm = lastTerm.Term
		e.candidacyAt = e.host.Now() + e.LeaderLease() // gives that candidate time to win
		vote := storage.Put(storage.VotePrefix+e.node, storage.VoteRecord{Term: lastTerm.Term})
		e.host.CallStore("POST", "/multi", storage.Txn{Writes: []storage.Write{vote}}, ignoreResponse)
	})
}

// isOpenCandidacy reports whether another node raised the term and no peer is known to lead in this
// term or in a later one.
func (e *Election) isOpenCandidacy(term storage.Term) bool {
	return !e.hasLeaderSince(term.Term) && term.Node != "" && term.Node != e.node
}

// readStoredVotes reads the votes that peers wrote to the key-value store, and counts those for this
// node's candidacy.
func (e *Election) readStoredVotes(current *candidacy) {
	current.votesReadAt = e.host.Now()
	path := storage.ListPath(storage.VotePrefix, "", e.cluster.ControllerCount)
	e.host.CallStore("GET", path, nil, func(response storage.Response) {
		var page storage.ListResponse
		if e.candidacy != current || !response.Decode(&page) {
			return
		}
		for _, item := range page.Items {
			var vote storage.VoteRecord
			name := strings.TrimPrefix(item.Key, storage.VotePrefix)
			if json.Unmarshal(item.Value, &vote) == nil && vote.Term == current.term && e.peers[name] != nil {
				current.votes[name] = true
			}
		}
		e.tickCandidate()
	})
}
