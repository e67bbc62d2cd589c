package protocol

import (
	"time"

	"github.com/segmentio/encoding/json"

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
	Term              uint64        // leader term, if the sender leads
	IsLeader          bool          // the sender holds the leader lease
	WantsLeaseGrant   bool          // the leader can't renew its lease and requests lease grants
	SentAt            time.Duration // by the sender's clock
	Uptime            time.Duration // of the sender's process
	ProcessID         uint64        // distinguishes the sender's process from earlier ones of the same node
	ReceiverProcessID uint64        // the receiver's process from which the sender last received a heartbeat
	VersionLevel      int           // level of records and messages that the sender understands
	WritesThrottled   bool          // the sender's rate of writes is throttled
	ConnectionsFull   bool          // the sender has no connections left for more workers
	SpareConnections  int           // how many more workers the sender accepts; 0: not stated
	Links             *LinkReport   // the sender's view of the links; nil: not stated
	PolicyRevision    uint64        // revision of the latest admission policy that the sender knows
}

// LeaseGrant is the response to a heartbeat that requests it: for the duration of a leader lease
// the sender neither becomes a candidate nor votes.
type LeaseGrant struct {
	Term            uint64
	HeartbeatSentAt time.Duration // when the heartbeat was sent, by its sender's clock
}

// VoteRequest requests a vote for the candidate's term.
type VoteRequest struct {
	Term uint64
}

// Vote is the response to a VoteRequest.
type Vote struct {
	Term    uint64
	Granted bool
}

// RequestKind is the kind of a request of a user, a worker, the load balancer or an operator.
type RequestKind string

// Kinds of requests. Only the first four are forwarded to the leader.
const (
	RequestSubmit    RequestKind = "submit"
	RequestQuery     RequestKind = "query"
	RequestCancel    RequestKind = "cancel"
	RequestHeartbeat RequestKind = "report"
	RequestStatus    RequestKind = "status"
	RequestHealth    RequestKind = "health"
	RequestMetrics   RequestKind = "metrics"
	// RequestAdmission reads the admission policy that a node applies.
	RequestAdmission RequestKind = "admission"
	// RequestLinks reads a node's view of the links between controllers.
	RequestLinks RequestKind = "links"
	// RequestRecovery reads the progress of a new leader's recovery.
	RequestRecovery RequestKind = "recovery"
)

// ForwardedRequest is a request that a follower forwards to the leader.
type ForwardedRequest struct {
	ID    uint64
	Kind  RequestKind
	JobID string          // empty in a worker's heartbeat
	Body  json.RawMessage // the submission or the worker's heartbeat
}

// ForwardedResponse is the leader's response to the ForwardedRequest with the same ID.
type ForwardedResponse struct {
	ID         uint64
	Status     int
	RetryAfter int // in seconds; 0: not stated
	Body       json.RawMessage
}

// MaxGroupLoads bounds the number of job groups in an AdmissionLoad, and in a node's counters.
const MaxGroupLoads = 512

// GroupLoad counts the rejected submissions of one group of jobs.
type GroupLoad struct {
	Team                string `json:"team"`
	Class               string `json:"class"`
	PriorityRank        int    `json:"rank"`
	RejectedForCapacity int    `json:"away,omitempty"`    // admitted by the policy, rejected for lack of capacity
	RejectedByPolicy    int    `json:"refused,omitempty"` // attempts rejected by the policy
}

// AdmissionLoad reports to the leader the submissions that the sender has rejected since its
// previous AdmissionLoad, all under the same revision of the admission policy.
type AdmissionLoad struct {
	PolicyRevision uint64 // of the policy's record; 0: no policy was in force
	Groups         []GroupLoad
}

// LinkReport is a node's view of the links between controllers and to workers.
type LinkReport struct {
	IncomingLinks   []reachability.IncomingLink `json:"hears"`
	StoreReachable  bool                        `json:"state"`              // the store responds to the sender
	RecentWorkers   int                         `json:"workers,omitempty"`  // sent heartbeats to the sender lately
	StrandedWorkers int                         `json:"stranded,omitempty"` // of these, workers that it could not serve
	// MostStranded is the node with the most stranded workers that the sender knows of.
	MostStranded *reachability.StrandedCount `json:"worst,omitempty"`
}

// ReachabilityReport converts the report for a reachability.Matrix.
func (r *LinkReport) ReachabilityReport() reachability.NodeReport {
	report := reachability.NodeReport{IncomingLinks: r.IncomingLinks, StoreReachable: r.StoreReachable,
		RecentWorkers: r.RecentWorkers, StrandedWorkers: r.StrandedWorkers}
	if r.MostStranded != nil {
		report.MostStranded = *r.MostStranded
	}
	return report
}

// wirePeerMessage is the wire form of every PeerMessage. The tags are fixed by earlier versions,
// as controllers of two versions exchange messages during an upgrade.
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

// wireForwarding are the fields of forwarded requests and their responses.
type wireForwarding struct {
	ID          uint64          `json:"id,omitempty"`
	RequestKind RequestKind     `json:"kind,omitempty"`
	JobID       string          `json:"job,omitempty"`
	Status      int             `json:"code,omitempty"`
	RetryAfter  int             `json:"retry,omitempty"`
	Body        json.RawMessage `json:"body,omitempty"`
}

// peerMessageType identifies the message in its wire form.
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
		ProcessID: m.ProcessID, ReceiverProcessID: m.ReceiverProcessID, ProtocolLevel: m.VersionLevel,
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

// EncodePeerMessage encodes a message as JSON, without a line break.
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

// decode returns the typed message, or the reason why it is malformed; neither if the type is
// unknown.
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

// decodeElection is decode for a LeaseGrant, a VoteRequest and a Vote.
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

// decodePeerHeartbeat is decode for a PeerHeartbeat.
func (w *wirePeerMessage) decodePeerHeartbeat() (message PeerMessage, reason string) {
	if w.SentAt < 0 || w.Uptime < 0 || w.ProtocolLevel < 0 || w.SpareConnections < 0 || (w.IsLeader && w.Term == 0) {
		return nil, "a negative amount, or a leader without a term"
	}
	return PeerHeartbeat{Term: w.Term, IsLeader: w.IsLeader, WantsLeaseGrant: w.WantsLeaseGrant,
		SentAt: time.Duration(w.SentAt), Uptime: time.Duration(w.Uptime),
		ProcessID: w.ProcessID, ReceiverProcessID: w.ReceiverProcessID, VersionLevel: w.ProtocolLevel,
		WritesThrottled: w.WritesThrottled, ConnectionsFull: w.ConnectionsFull, SpareConnections: w.SpareConnections,
		Links: w.Links, PolicyRevision: w.PolicyRevision}, ""
}

// decodeForwardedRequest is decode for a ForwardedRequest.
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
		return nil, "" // a kind of a later version
	}
	return ForwardedRequest{ID: w.ID, Kind: w.RequestKind, JobID: w.JobID, Body: w.Body}, ""
}

// decodeForwardedResponse is decode for a ForwardedResponse.
func (w *wirePeerMessage) decodeForwardedResponse() (message PeerMessage, reason string) {
	if w.ID == 0 || w.Status < 100 || w.Status > 599 || w.RetryAfter < 0 {
		return nil, "without a number or a status"
	}
	return ForwardedResponse{ID: w.ID, Status: w.Status, RetryAfter: w.RetryAfter, Body: w.Body}, ""
}

// decodeAdmissionLoad is decode for an AdmissionLoad.
func (w *wirePeerMessage) decodeAdmissionLoad() (message PeerMessage, reason string) {
	if len(w.GroupLoads) == 0 || len(w.GroupLoads) > MaxGroupLoads {
		return nil, "no groups, or too many"
	}
	for _, group := range w.GroupLoads {
		if group.RejectedForCapacity < 0 || group.RejectedByPolicy < 0 || group.PriorityRank < 0 {
			return nil, "a negative amount"
		}
	}
	return AdmissionLoad{PolicyRevision: w.PolicyRevision, Groups: w.GroupLoads}, ""
}
