package protocol

import (
	"time"

	"hitchdoor/internal/json"
	"hitchdoor/internal/reachability"
)

// PeerMessage is a message between controllers, one JSON line on the wire: PeerHeartbeat,
// LeaseGrant, VoteRequest, Vote, ForwardedRequest, ForwardedResponse or AdmissionLoad.
type PeerMessage interface {
	// toWire returns the wire form of the message.
	toWire() wirePeerMessage
}

// PeerHeartbeat is sent periodically by each controller to each other controller. It carries the
// sender's role, capacity and connectivity.
type PeerHeartbeat struct {
	Term              uint64        // term of the sender as the leader; 0: it does not lead
	IsLeader          bool          // the sender holds the leader lease
	WantsLeaseGrant   bool          // the leader failed to renew its lease and requests lease grants
	SentAt            time.Duration // time of sending by the sender's clock
	Uptime            time.Duration // time since the sender's process started
	ProcessID         uint64        // distinguishes the sender's process from earlier ones of the same node
	ReceiverProcessID uint64        // ProcessID in the last heartbeat that the sender got from the receiver; 0: none
	ProtocolLevel     int           // protocol level of the sender: records and messages that it understands
	WritesThrottled   bool          // the sender limits its writes to the lower rate of the settings
	ConnectionsFull   bool          // the sender has no connections left for more workers
	SpareConnections  int           // number of further workers that the sender accepts; 0: none, or not stated
	Links             *LinkReport   // the sender's view of its links; nil: not stated
	PolicyRevision    uint64        // revision of the latest admission policy that the sender knows
}

// LeaseGrant is the response to a leader's PeerHeartbeat with WantsLeaseGrant. For the duration of a leader
// lease, the node that sends the grant casts no new vote, neither for another node nor for itself. It may
// still begin a candidacy, but it does not take the leader key before the grant ends.
type LeaseGrant struct {
	Term            uint64        // term of the leader that gets the grant
	HeartbeatSentAt time.Duration // SentAt of that PeerHeartbeat; for the leader, the grant begins at this time
}

// VoteRequest is sent by a candidate, which requests a vote for its term.
type VoteRequest struct {
	Term uint64 // term for which the sender is a candidate
}

// Vote is the response to a VoteRequest.
type Vote struct {
	Term    uint64 // term of the VoteRequest
	Granted bool   // the sender votes for the candidate
}

// RequestKind is the kind of a request that a user, a worker, the load balancer or an operator sends.
type RequestKind string

// Kinds of requests. Followers forward only the first four to the leader.
const (
	RequestSubmit    RequestKind = "submit"
	RequestQuery     RequestKind = "query"
	RequestCancel    RequestKind = "cancel"
	RequestHeartbeat RequestKind = "report" // a worker's heartbeat
	RequestStatus    RequestKind = "status"
	RequestHealth    RequestKind = "health"
	RequestMetrics   RequestKind = "metrics"
	// RequestAdmission requests the admission policy that a node applies.
	RequestAdmission RequestKind = "admission"
	// RequestLinks requests a node's view of the links between controllers.
	RequestLinks RequestKind = "links"
	// RequestRecovery requests the progress of a new leader's recovery.
	RequestRecovery RequestKind = "recovery"
)

// ForwardedRequest is a request that a follower forwards to the leader.
type ForwardedRequest struct {
	ID    uint64 // chosen by the follower, not 0; the response carries the same ID
	Kind  RequestKind
	JobID string          // empty if Kind is RequestHeartbeat
	Body  json.RawMessage // a submission or a worker's heartbeat; empty for the other kinds
}

// ForwardedResponse is the leader's response to the ForwardedRequest with the same ID.
type ForwardedResponse struct {
	ID         uint64
	Status     int // HTTP status
	RetryAfter int // seconds after which the client should retry; 0: not stated
	Body       json.RawMessage
}

// MaxGroupLoads is the largest number of job groups in an AdmissionLoad, and in a node's counters.
const MaxGroupLoads = 512

// GroupLoad counts the rejected submissions of one group of jobs, those of the same team, class and
// priority.
type GroupLoad struct {
	Team                string `json:"team"`
	Class               string `json:"class"`
	PriorityRank        int    `json:"rank"`
	RejectedForCapacity int    `json:"away,omitempty"`    // admitted jobs that the sender can't store in time
	RejectedByPolicy    int    `json:"refused,omitempty"` // submissions that the admission policy rejects
}

// AdmissionLoad reports to the leader the submissions that the sender has rejected since its
// previous AdmissionLoad, all under the same revision of the admission policy.
type AdmissionLoad struct {
	PolicyRevision uint64      // revision of the policy's record; 0: no policy was in force
	Groups         []GroupLoad // 1 to MaxGroupLoads groups
}

// LinkReport is a node's view of the links between controllers and to workers.
type LinkReport struct {
	IncomingLinks  []reachability.IncomingLink `json:"hears"` // from the peers that reached the sender lately
	StoreReachable bool                        `json:"state"` // the key-value store responds to the sender
	// RecentWorkers is the number of workers that sent heartbeats to the sender lately. StrandedWorkers
	// is how many of these the sender could neither serve nor relay to the leader.
	RecentWorkers   int `json:"workers,omitempty"`
	StrandedWorkers int `json:"stranded,omitempty"`
	// MostStranded is the other node that reported the most stranded workers to the sender; nil: none
	// did.
	MostStranded *reachability.StrandedCount `json:"worst,omitempty"`
}

// ReachabilityReport converts the report to the form that a reachability.Matrix records.
func (r *LinkReport) ReachabilityReport() reachability.NodeReport {
	report := reachability.NodeReport{IncomingLinks: r.IncomingLinks, StoreReachable: r.StoreReachable,
		RecentWorkers: r.RecentWorkers, StrandedWorkers: r.StrandedWorkers}
	if r.MostStranded != nil {
		report.MostStranded = *r.MostStranded
	}
	return report
}

// wirePeerMessage is the wire form of every PeerMessage. The tags are fixed by earlier versions,
// as controllers of two versions exchange messages during an upgrade. Each message type uses the fields
// that it has in its Go type, with the same meaning; times are in nanoseconds.
type wirePeerMessage struct {
	Type              peerMessageType `json:"type"`
	Term              uint64          `json:"term,omitempty"`
	IsLeader          bool            `json:"lead,omitempty"`
	WantsLeaseGrant   bool            `json:"want,omitempty"`
	SentAt            int64           `json:"sent,omitempty"`
	Uptime            int64           `json:"up,omitempty"`
	ProcessID         uint64          `json:"run,omitempty"`
	ReceiverProcessID uint64          `json:"heard,omitempty"`
	Granted           bool            `json:"ok,omitempty"`
	ProtocolLevel     int             `json:"level,omitempty"`
	WritesThrottled   bool            `json:"slow,omitempty"`
	ConnectionsFull   bool            `json:"full,omitempty"`
	SpareConnections  int             `json:"room,omitempty"`
	Links             *LinkReport     `json:"links,omitempty"`
	PolicyRevision    uint64          `json:"policy,omitempty"`
	GroupLoads        []GroupLoad     `json:"loads,omitempty"`
	wireForwarding
}

// wireForwarding holds the fields of forwarded requests and their responses.
type wireForwarding struct {
	ID          uint64          `json:"id,omitempty"`
	RequestKind RequestKind     `json:"kind,omitempty"`
	JobID       string          `json:"job,omitempty"`
	Status      int             `json:"code,omitempty"`
	RetryAfter  int             `json:"retry,omitempty"`
	Body        json.RawMessage `json:"body,omitempty"`
}

// peerMessageType identifies the type of a message in its wire form.
type peerMessageType string

// Message types, with the names that earlier versions gave them on the wire.
const (
	typePeerHeartbeat     peerMessageType = "beat"
	typeLeaseGrant        peerMessageType = "promise"
	typeVoteRequest       peerMessageType = "clear"
	typeVote              peerMessageType = "cleared"
	typeForwardedRequest  peerMessageType = "ask"
	typeForwardedResponse peerMessageType = "answer"
	typeAdmissionLoad     peerMessageType = "load"
)

// toWire implements PeerMessage.
func (m PeerHeartbeat) toWire() wirePeerMessage {
	return wirePeerMessage{Type: typePeerHeartbeat,
		Term: m.Term, IsLeader: m.IsLeader, WantsLeaseGrant: m.WantsLeaseGrant,
		SentAt: int64(m.SentAt), Uptime: int64(m.Uptime),
		ProcessID: m.ProcessID, ReceiverProcessID: m.ReceiverProcessID, ProtocolLevel: m.ProtocolLevel,
		WritesThrottled: m.WritesThrottled, ConnectionsFull: m.ConnectionsFull, SpareConnections: m.SpareConnections,
		Links: m.Links, PolicyRevision: m.PolicyRevision}
}

// toWire implements PeerMessage.
func (m LeaseGrant) toWire() wirePeerMessage {
	return wirePeerMessage{Type: typeLeaseGrant, Term: m.Term, SentAt: int64(m.HeartbeatSentAt)}
}

// toWire implements PeerMessage.
func (m VoteRequest) toWire() wirePeerMessage {
	return wirePeerMessage{Type: typeVoteRequest, Term: m.Term}
}

// toWire implements PeerMessage.
func (m Vote) toWire() wirePeerMessage {
	return wirePeerMessage{Type: typeVote, Term: m.Term, Granted: m.Granted}
}

// toWire implements PeerMessage.
func (m ForwardedRequest) toWire() wirePeerMessage {
	return wirePeerMessage{Type: typeForwardedRequest,
		wireForwarding: wireForwarding{ID: m.ID, RequestKind: m.Kind, JobID: m.JobID, Body: m.Body}}
}

// toWire implements PeerMessage.
func (m ForwardedResponse) toWire() wirePeerMessage {
	return wirePeerMessage{Type: typeForwardedResponse,
		wireForwarding: wireForwarding{ID: m.ID, Status: m.Status, RetryAfter: m.RetryAfter, Body: m.Body}}
}

// toWire implements PeerMessage.
func (m AdmissionLoad) toWire() wirePeerMessage {
	return wirePeerMessage{Type: typeAdmissionLoad, PolicyRevision: m.PolicyRevision, GroupLoads: m.Groups}
}

// EncodePeerMessage encodes a message as one line of JSON, without the line break.
func EncodePeerMessage(message PeerMessage) ([]byte, error) { return json.Marshal(message.toWire()) }

// DecodePeerMessage decodes and validates a message. The error is a *PeerMessageError or an
// *UnknownPeerMessageError.
func DecodePeerMessage(raw []byte) (PeerMessage, error) {
	var wire wirePeerMessage
	if err := json.Unmarshal(raw, &wire); err != nil {
		return nil, &PeerMessageError{Reason: err.Error(), Err: err}
	}
	message, reason := wire.decode()
	switch {
	case reason != "":
		return nil, &PeerMessageError{Type: string(wire.Type), Reason: reason}
	case message == nil:
		return nil, &UnknownPeerMessageError{Type: string(wire.Type), RequestKind: string(wire.RequestKind)}
	}
	return message, nil
}

// decode returns the typed message, or the reason why it is malformed. Both results are zero if this
// version does not know the type of the message or the kind of a forwarded request.
func (w *wirePeerMessage) decode() (message PeerMessage, reason string) {
	switch w.Type {
	case typePeerHeartbeat:
		return w.decodePeerHeartbeat()
	case typeLeaseGrant, typeVoteRequest, typeVote:
		return w.decodeElection()
	case typeForwardedRequest:
		return w.decodeForwardedRequest()
	case typeForwardedResponse:
		return w.decodeForwardedResponse()
	case typeAdmissionLoad:
		return w.decodeAdmissionLoad()
	}
	return nil, ""
}

// decodeElection decodes a LeaseGrant, a VoteRequest or a Vote.
func (w *wirePeerMessage) decodeElection() (message PeerMessage, reason string) {
	switch {
	case w.Type == typeLeaseGrant && (w.Term == 0 || w.SentAt < 0):
		return nil, "without a term or a time"
	case w.Term == 0:
		return nil, "without a term"
	case w.Type == typeLeaseGrant:
		return LeaseGrant{Term: w.Term, HeartbeatSentAt: time.Duration(w.SentAt)}, ""
	case w.Type == typeVoteRequest:
		return VoteRequest{Term: w.Term}, ""
	default:
		return Vote{Term: w.Term, Granted: w.Granted}, ""
	}
}

// decodePeerHeartbeat decodes a PeerHeartbeat.
func (w *wirePeerMessage) decodePeerHeartbeat() (message PeerMessage, reason string) {
	if w.SentAt < 0 || w.Uptime < 0 || w.ProtocolLevel < 0 || w.SpareConnections < 0 || (w.IsLeader && w.Term == 0) {
		return nil, "a negative amount, or a leader without a term"
	}
	return PeerHeartbeat{Term: w.Term, IsLeader: w.IsLeader, WantsLeaseGrant: w.WantsLeaseGrant,
		SentAt: time.Duration(w.SentAt), Uptime: time.Duration(w.Uptime),
		ProcessID: w.ProcessID, ReceiverProcessID: w.ReceiverProcessID, ProtocolLevel: w.ProtocolLevel,
		WritesThrottled: w.WritesThrottled, ConnectionsFull: w.ConnectionsFull, SpareConnections: w.SpareConnections,
		Links: w.Links, PolicyRevision: w.PolicyRevision}, ""
}

// decodeForwardedRequest decodes a ForwardedRequest. Both results are zero if its kind is unknown.
func (w *wirePeerMessage) decodeForwardedRequest() (message PeerMessage, reason string) {
	if w.ID == 0 {
		return nil, "without a number"
	}
	switch w.RequestKind {
	case RequestQuery, RequestCancel:
		if w.JobID == "" {
			return nil, "without a job"
		}
	case RequestSubmit, RequestHeartbeat:
		if len(w.Body) == 0 {
			return nil, "without a body"
		}
	default:
		return nil, "" // a later version may know the kind
	}
	return ForwardedRequest{ID: w.ID, Kind: w.RequestKind, JobID: w.JobID, Body: w.Body}, ""
}

// decodeForwardedResponse decodes a ForwardedResponse.
func (w *wirePeerMessage) decodeForwardedResponse() (message PeerMessage, reason string) {
	if w.ID == 0 || w.Status < 100 || w.Status > 599 || w.RetryAfter < 0 {
		return nil, "without a number or a status"
	}
	return ForwardedResponse{ID: w.ID, Status: w.Status, RetryAfter: w.RetryAfter, Body: w.Body}, ""
}

// decodeAdmissionLoad decodes an AdmissionLoad.
func (w *wirePeerMessage) decodeAdmissionLoad() (message PeerMessage, reason string) {
	if len(w.GroupLoads) == 0 || len(w.GroupLoads) > MaxGroupLoads {
		return nil, "no groups, or too many"
	}
	for _, group := range w.GroupLoads {
		if group.RejectedForCapacity < 0 || group.RejectedByPolicy < 0 || group.PriorityRank < 0 {
			return nil, "a negative amount"
		}
		if max(group.RejectedForCapacity, group.RejectedByPolicy) > maxRejectionsPerGroup {
			return nil, "an amount over its limit"
		}
	}
	return AdmissionLoad{PolicyRevision: w.PolicyRevision, Groups: w.GroupLoads}, ""
}
