package protocol

import (
	"fmt"
	"time"

	"github.com/segmentio/encoding/json"

	"hitchdoor/internal/reachability"
)

// PeerMessage is a message between controllers, one JSON line on the wire: PeerHeartbeat,
// LeaseGrant, VoteRequest, Vote, ForwardedRequest, ForwardedResponse or AdmissionLoad.
type PeerMessage interface {
	// toWire returns the wire form of the message.
	line() peerLine
}

// PeerHeartbeat is sent periodically by each controller to each other controller. It carries the
// sender's role, capacity and connectivity.
type Heartbeat struct {
	Term       uint64        // leader term, if the sender leads
	Leads      bool          // the sender holds the leader lease
	WantsGrant bool          // the leader can't renew its lease and requests lease grants
	Sent       time.Duration // by the sender's clock
	Uptime     time.Duration // of the sender's process
	Process    uint64        // distinguishes the sender's process from earlier ones of the same node
	Heard      uint64        // the receiver's process from which the sender last received a heartbeat
	Level      int           // level of records and messages that the sender understands
	Slowed     bool          // the sender's rate of writes is throttled
	Full       bool          // the sender has no connections left for more workers
	Room       int           // how many more workers the sender accepts; 0: not stated
	Links      *LinkReport   // the sender's view of the links; nil: not stated
	Policy     uint64        // revision of the latest admission policy that the sender knows
}

// LeaseGrant is the response to a heartbeat that requests it: for the duration of a leader lease
// the sender neither becomes a candidate nor votes.
type LeaseGrant struct {
	Term uint64
	Sent time.Duration // when the heartbeat was sent, by its sender's clock
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
	RequestSubmit  RequestKind = "submit"
	RequestQuery   RequestKind = "query"
	RequestCancel  RequestKind = "cancel"
	RequestReport  RequestKind = "report"
	RequestStatus  RequestKind = "status"
	RequestHealth  RequestKind = "health"
	RequestMetrics RequestKind = "metrics"
	// RequestAdmission reads the admission policy that a node applies.
	RequestAdmission RequestKind = "admission"
	// RequestLinks reads a node's view of the links between controllers.
	RequestLinks RequestKind = "links"
	// RequestRecovery reads the progress of a new leader's recovery.
	RequestRecovery RequestKind = "recovery"
)

// ForwardedRequest is a request that a follower forwards to the leader.
type ForwardedRequest struct {
	ID   uint64
	Kind RequestKind
	Job  string          // empty in a worker's heartbeat
	Body json.RawMessage // the submission or the worker's heartbeat
}

// ForwardedResponse is the leader's response to the ForwardedRequest with the same ID.
type ForwardedAnswer struct {
	ID         uint64
	Status     int
	RetryAfter int // in seconds; 0: not stated
	Body       json.RawMessage
}

// MaxGroupLoads bounds the number of job groups in an AdmissionLoad, and in a node's counters.
const MaxGroupLoads = 512

// GroupLoad counts the rejected submissions of one group of jobs.
type GroupLoad struct {
	Team       string `json:"team"`
	Class      string `json:"class"`
	Rank       int    `json:"rank"`
	TurnedAway int    `json:"away,omitempty"`    // admitted by the policy, rejected for lack of capacity
	Refused    int    `json:"refused,omitempty"` // attempts rejected by the policy
}

// AdmissionLoad reports to the leader the submissions that the sender has rejected since its
// previous AdmissionLoad, all under the same revision of the admission policy.
type AdmissionLoad struct {
	Version uint64 // of the policy's record; 0: no policy was in force
	Groups  []GroupLoad
}

// LinkReport is a node's view of the links between controllers and to workers.
type LinkReport struct {
	Hears    []reachability.Heard `json:"hears"`
	State    bool                 `json:"state"`              // the key-value store responds to the sender
	Workers  int                  `json:"workers,omitempty"`  // sent heartbeats to the sender lately
	Stranded int                  `json:"stranded,omitempty"` // of these, workers that it could not serve
	// MostStranded is the node with the most stranded workers that the sender knows of.
	Worst *reachability.Elsewhere `json:"worst,omitempty"`
}

// ReachabilityReport converts the report for a reachability.Matrix.
func (r *LinkReport) Report() reachability.Report {
	report := reachability.Report{Hears: r.Hears, State: r.State, Workers: r.Workers, Stranded: r.Stranded}
	if r.Worst != nil {
		report.Worst = *r.Worst
	}
	return report
}

// wirePeerMessage is the wire form of every PeerMessage. The tags are fixed by earlier versions,
// as controllers of two versions exchange messages during an upgrade.
type peerLine struct {
	Type  peerType        `json:"type"`
	Term  uint64          `json:"term,omitempty"`
	Lead  bool            `json:"lead,omitempty"`
	Want  bool            `json:"want,omitempty"`
	Sent  int64           `json:"sent,omitempty"`
	Up    int64           `json:"up,omitempty"`
	Run   uint64          `json:"run,omitempty"`
	Heard uint64          `json:"heard,omitempty"`
	OK    bool            `json:"ok,omitempty"`
	Level int             `json:"level,omitempty"`
	Slow  bool            `json:"slow,omitempty"`
	Full  bool            `json:"full,omitempty"`
	Room  int             `json:"room,omitempty"`
	Links *LinkReport     `json:"links,omitempty"`
	Rev   uint64          `json:"policy,omitempty"`
	Loads []GroupLoad     `json:"loads,omitempty"`
	ID    uint64          `json:"id,omitempty"`
	Kind  RequestKind     `json:"kind,omitempty"`
	Job   string          `json:"job,omitempty"`
	Code  int             `json:"code,omitempty"`
	Retry int             `json:"retry,omitempty"`
	Body  json.RawMessage `json:"body,omitempty"`
}

// peerMessageType identifies the message in its wire form.
type peerType string

// Message types, with the names that earlier versions gave them on the wire.
const (
	typeHeartbeat   peerType = "beat"
	typeLeaseGrant  peerType = "promise"
	typeVoteRequest peerType = "clear"
	typeVote        peerType = "cleared"
	typeRequest     peerType = "ask"
	typeAnswer      peerType = "answer"
	typeLoad        peerType = "load"
)

// toWire implements PeerMessage.
func (m Heartbeat) line() peerLine {
	return peerLine{Type: typeHeartbeat, Term: m.Term, Lead: m.Leads, Want: m.WantsGrant,
		Sent: int64(m.Sent), Up: int64(m.Uptime),
		Run: m.Process, Heard: m.Heard, Level: m.Level,
		Slow: m.Slowed, Full: m.Full, Room: m.Room,
		Links: m.Links, Rev: m.Policy}
}

// toWire implements PeerMessage.
func (m LeaseGrant) line() peerLine {
	return peerLine{Type: typeLeaseGrant, Term: m.Term, Sent: int64(m.Sent)}
}

// toWire implements PeerMessage.
func (m VoteRequest) line() peerLine { return peerLine{Type: typeVoteRequest, Term: m.Term} }

// toWire implements PeerMessage.
func (m Vote) line() peerLine { return peerLine{Type: typeVote, Term: m.Term, OK: m.Granted} }

// toWire implements PeerMessage.
func (m ForwardedRequest) line() peerLine {
	return peerLine{Type: typeRequest, ID: m.ID, Kind: m.Kind, Job: m.Job, Body: m.Body}
}

// toWire implements PeerMessage.
func (m ForwardedAnswer) line() peerLine {
	return peerLine{Type: typeAnswer, ID: m.ID, Code: m.Status, Retry: m.RetryAfter, Body: m.Body}
}

// toWire implements PeerMessage.
func (m AdmissionLoad) line() peerLine {
	return peerLine{Type: typeLoad, Rev: m.Version, Loads: m.Groups}
}

// PeerMessageError reports why a message of another controller is malformed.
type PeerLineError struct{ Reason string }

// Error implements error.
func (e *PeerLineError) Error() string { return "line between controllers: " + e.Reason }

// UnknownPeerMessageError reports a message type, or a kind of request, that this version does
// not know. A later version may send it, so receivers ignore the message.
type UnknownPeerTypeError struct{ Type, Kind string }

// Error implements error.
func (e *UnknownPeerTypeError) Error() string {
	return fmt.Sprintf("line between controllers: unknown type %q, kind %q", e.Type, e.Kind)
}

// EncodePeerMessage encodes a message as JSON, without a line break.
func EncodePeer(m PeerMessage) ([]byte, error) { return json.Marshal(m.line()) }

// DecodePeerMessage decodes and validates a message. The error is a *PeerMessageError or an
// *UnknownPeerMessageError.
func DecodePeer(raw []byte) (PeerMessage, error) {
	var l peerLine
	if err := json.Unmarshal(raw, &l); err != nil {
		return nil, &PeerLineError{err.Error()}
	}
	message, reason := l.message()
	switch {
	case reason != "":
		return nil, &PeerLineError{fmt.Sprintf("%s: %s", l.Type, reason)}
	case message == nil:
		return nil, &UnknownPeerTypeError{Type: string(l.Type), Kind: string(l.Kind)}
	}
	return message, nil
}

// decode returns the typed message, or the reason why it is malformed; neither if the type is
// unknown.
func (l *peerLine) message() (m PeerMessage, reason string) {
	switch l.Type {
	case typeHeartbeat:
		return l.heartbeat()
	case typeLeaseGrant:
		if l.Term == 0 || l.Sent < 0 {
			return nil, "without a term or a time"
		}
		return LeaseGrant{Term: l.Term, Sent: time.Duration(l.Sent)}, ""
	case typeVoteRequest:
		if l.Term == 0 {
			return nil, "without a term"
		}
		return VoteRequest{Term: l.Term}, ""
	case typeVote:
		if l.Term == 0 {
			return nil, "without a term"
		}
		return Vote{Term: l.Term, Granted: l.OK}, ""
	case typeRequest:
		return l.request()
	case typeLoad:
		return l.admissionLoad()
	case typeAnswer:
		if l.ID == 0 || l.Code < 100 || l.Code > 599 || l.Retry < 0 {
			return nil, "without a number or a status"
		}
		return ForwardedAnswer{ID: l.ID, Status: l.Code, RetryAfter: l.Retry, Body: l.Body}, ""
	}
	return nil, ""
}

// decodePeerHeartbeat is decode for a PeerHeartbeat.
func (l *peerLine) heartbeat() (m PeerMessage, reason string) {
	if l.Sent < 0 || l.Up < 0 || l.Level < 0 || l.Room < 0 || (l.Lead && l.Term == 0) {
		return nil, "a negative amount, or a leader without a term"
	}
	return Heartbeat{Term: l.Term, Leads: l.Lead, WantsGrant: l.Want,
		Sent: time.Duration(l.Sent), Uptime: time.Duration(l.Up),
		Process: l.Run, Heard: l.Heard, Level: l.Level,
		Slowed: l.Slow, Full: l.Full, Room: l.Room,
		Links: l.Links, Policy: l.Rev}, ""
}

// decodeForwardedRequest is decode for a ForwardedRequest.
func (l *peerLine) request() (m PeerMessage, reason string) {
	if l.ID == 0 {
		return nil, "without a number"
	}
	switch l.Kind {
	case RequestQuery, RequestCancel:
		if l.Job == "" {
			return nil, "without a job"
		}
	case RequestSubmit, RequestReport:
		if len(l.Body) == 0 {
			return nil, "without a body"
		}
	default:
		return nil, "" // a kind of a later version
	}
	return ForwardedRequest{ID: l.ID, Kind: l.Kind, Job: l.Job, Body: l.Body}, ""
}

// decodeAdmissionLoad is decode for an AdmissionLoad.
func (l *peerLine) admissionLoad() (m PeerMessage, reason string) {
	if len(l.Loads) == 0 || len(l.Loads) > MaxGroupLoads {
		return nil, "no groups, or too many"
	}
	for _, g := range l.Loads {
		if g.TurnedAway < 0 || g.Refused < 0 || g.Rank < 0 {
			return nil, "a negative amount"
		}
	}
	return AdmissionLoad{Version: l.Rev, Groups: l.Loads}, ""
}
