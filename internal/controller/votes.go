package controller

import (
	"strings"

	"github.com/segmentio/encoding/json"

	"hitchdoor/internal/clock"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// freeToVote reports whether no lease grant binds this node, so that it may vote. A restarted
// node does not remember its grants, so it waits for the span of one. The wait is skipped if
// no leader can depend on such a grant: every peer has reported, after hearing from this
// process, that it does not lead. A leader that stepped down never resumes its term, and a
// grant holds for one term only.
func (n *Node) freeToVote() bool {
	return (n.now >= clock.WithDrift(n.leaderLease()) || n.noPeerLeads()) && n.now >= n.election.grantedUntil
}

// noPeerLeads reports whether every peer has told this process that it does not lead.
func (n *Node) noPeerLeads() bool {
	for _, p := range n.peers {
		if !p.knownNotLeading {
			return false
		}
	}
	return true
}

// voteThroughStore writes a vote to the key-value store for a candidate that can't reach this
// node. Without it a failed leader could not be replaced while connections between controllers
// fail, as no candidate would receive a quorum of votes. The vote binds this node just as a vote
// message does. This node becomes a candidate only if there is none to vote for: otherwise
// each node would raise the term over the one that others vote for, and a cluster of
// disconnected controllers would stay without a leader.
func (n *Node) voteThroughStore() {
	election := &n.election
	n.readTerm(func(lastTerm storage.Term, _ uint64, ok bool) {
		if n.leader != nil || election.candidacy != nil || !ok || !n.freeToVote() {
			return
		}
		termTaken := false // some peer has led in the last term or in a later one
		for _, p := range n.peers {
			termTaken = termTaken || lastTerm.Term <= p.term
		}
		if termTaken || lastTerm.Node == "" || lastTerm.Node == n.cfg.Node || !n.mayVoteInTerm(lastTerm.Term) {
			n.startCandidacyInTurn()
			return
		}
		election.votedTerm = lastTerm.Term
		election.candidacyAt = n.now + n.leaderLease() // leave the time to that candidate
		n.storeCall("POST", "/multi", storage.Txn{
			Writes: []storage.Write{storage.Put(storage.VotePrefix+n.cfg.Node,
				storage.VoteRecord{Term: lastTerm.Term})},
		}, func(CallResult) {})
	})
}

// readStoredVotes counts the votes that other nodes wrote to the key-value store.
func (n *Node) readStoredVotes(current *candidacy) {
	current.votesReadAt = n.now
	n.storeCall("GET", storage.ListPath(storage.VotePrefix, "", n.cfg.Cluster.ControllerCount), nil, func(result CallResult) {
		var page storage.ListResponse
		if n.election.candidacy != current || result.Status != 200 || json.Unmarshal(result.Body, &page) != nil {
			return
		}
		for _, item := range page.Items {
			var vote storage.VoteRecord
			name := strings.TrimPrefix(item.Key, storage.VotePrefix)
			if json.Unmarshal(item.Value, &vote) == nil && vote.Term == current.term && n.peers[name] != nil {
				current.votes[name] = true
			}
		}
		n.tickCandidate()
	})
}

// mayVoteInTerm reports whether this node may vote for a candidate of a term.
func (n *Node) mayVoteInTerm(term uint64) bool {
	return n.freeToVote() && term > n.election.votedTerm &&
		(n.leader == nil || n.leader.term < term && !n.holdsLeaderLease())
}

// onVoteRequest votes for a candidate if this node is free to, or has voted in its term before.
func (n *Node) onVoteRequest(sender *peer, request protocol.VoteRequest) {
	if n.mayVoteInTerm(request.Term) || request.Term == n.election.votedTerm {
		n.election.votedTerm = request.Term
		n.send(sender.name, protocol.Vote{Term: request.Term, Granted: true})
	}
}

// onVote counts a vote for this node's candidacy.
func (n *Node) onVote(sender *peer, vote protocol.Vote) {
	if current := n.election.candidacy; current != nil && current.term == vote.Term && vote.Granted {
		current.votes[sender.name] = true
		n.tickCandidate()
	}
}
