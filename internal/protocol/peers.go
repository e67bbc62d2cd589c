package protocol

import (
	"fmt"
	"time"

	"github.com/segmentio/encoding/json"

	"hitchdoor/internal/reachability"
)

// PeerMessage is a message between controllers, one JSON line on the wire: Heartbeat,
// LeaseGrant, VoteRequest, Vote, ForwardedRequest, ForwardedAnswer or AdmissionLoad.
type PeerMessage interface {
	// line is the message as it stands on the wire.
	line() peerLine
}

// Heartbeat says that its sender is there, and whether it leads.
type Heartbeat struct {
	Term       uint64        // of the leadership, if the sender leads
	Leads      bool          // the sender has authority
	WantsGrant bool          // a leader that can't renew its lease asks for lease grants
	Sent       time.Duration // by the sender's clock
	Uptime     time.Duration // of the sender
	Process    uint64        // tells the sender's process from earlier ones of the same node
	Heard      uint64        // the receiver's process that the sender has heard last
	Level      int           // of the sender's version
	Slowed     bool          // the lower rate of changes holds
	Full       bool          // the sender has no connection to spare for more workers
	Room       int           // how many more it takes in; 0 if it does not say
	Links      *LinkReport   // what the sender sees of the links; nil if it does not say
	Policy     uint64        // revision of the last change of the admission policy that it knows
}

// LeaseGrant answers a heartbeat that asks for it: the sender is bound not to stand or vote.
type LeaseGrant struct {
	Term uint64
	Sent time.Duration // of the heartbeat, by its sender's clock
}

// VoteRequest asks for a vote for a candidate's term.
type VoteRequest struct {
	Term uint64
}

// Vote answers a vote request.
type Vote struct {
	Term    uint64
	Granted bool
}

// RequestKind is what a user, a worker, the load balancer or an operator asks for.
type RequestKind string

// Kinds of requests. Only the first four are forwarded.
const (
	RequestSubmit  RequestKind = "submit"
	RequestQuery   RequestKind = "query"
	RequestCancel  RequestKind = "cancel"
	RequestReport  RequestKind = "report"
	RequestStatus  RequestKind = "status"
	RequestHealth  RequestKind = "health"
	RequestMetrics RequestKind = "metrics"
	// RequestAdmission asks for the policy by which a node judges.
	RequestAdmission RequestKind = "admission"
	// RequestLinks asks for what a node sees of the links.
	RequestLinks RequestKind = "links"
	// RequestRecovery asks for how far a leader's recovery is.
	RequestRecovery RequestKind = "recovery"
)

// ForwardedRequest is a request that a node hands to the leader.
type ForwardedRequest struct {
	ID   uint64
	Kind RequestKind
	Job  string          // its id; none in a report
	Body json.RawMessage // the submission or the report
}

// ForwardedAnswer is the leader's answer to it.
type ForwardedAnswer struct {
	ID         uint64
	Status     int
	RetryAfter int // in seconds; 0: not said
	Body       json.RawMessage
}

// MaxGroupLoads bounds the groups of jobs that a message, or a node, counts submissions of.
const MaxGroupLoads = 512

// GroupLoad is what a node had to turn away of the submissions of a group of jobs.
type GroupLoad struct {
	Team       string `json:"team"`
	Class      string `json:"class"`
	Rank       int    `json:"rank"`
	TurnedAway int    `json:"away,omitempty"`    // jobs that were admitted, but there was no room
	Refused    int    `json:"refused,omitempty"` // attempts that were not admitted
}

// AdmissionLoad tells the leader of submissions that its sender had to turn away since it
// said so last, all of them judged by the policy of one version.
type AdmissionLoad struct {
	Version uint64 // of the policy's record; 0: there was none
	Groups  []GroupLoad
}

// LinkReport is what a node sees of the links between controllers and to workers.
type LinkReport struct {
	Hears    []reachability.Heard `json:"hears"`
	State    bool                 `json:"state"`              // the state service answers it
	Workers  int                  `json:"workers,omitempty"`  // that came to it lately
	Stranded int                  `json:"stranded,omitempty"` // of these, that it could not serve
	// Worst is the node with the most stranded workers that the sender has heard of.
	Worst *reachability.Elsewhere `json:"worst,omitempty"`
}

// Report is the same for a matrix of links.
func (r *LinkReport) Report() reachability.Report {
	report := reachability.Report{Hears: r.Hears, State: r.State, Workers: r.Workers, Stranded: r.Stranded}
	if r.Worst != nil {
		report.Worst = *r.Worst
	}
	return report
}

// peerLine is the wire form of all of them. Its words are those of earlier versions.
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

// peerType is the word by which the wire tells the messages apart.
type peerType string

const (
	typeHeartbeat   peerType = "beat"
	typeLeaseGrant  peerType = "promise"
	typeVoteRequest peerType = "clear"
	typeVote        peerType = "cleared"
	typeRequest     peerType = "ask"
	typeAnswer      peerType = "answer"
	typeLoad        peerType = "load"
)

func (m Heartbeat) line() peerLine {
	return peerLine{Type: typeHeartbeat, Term: m.Term, Lead: m.Leads, Want: m.WantsGrant, Sent: int64(m.Sent), Up: int64(m.Uptime),
		Run: m.Process, Heard: m.Heard, Level: m.Level, Slow: m.Slowed, Full: m.Full, Room: m.Room, Links: m.Links, Rev: m.Policy}
}

func (m LeaseGrant) line() peerLine {
	return peerLine{Type: typeLeaseGrant, Term: m.Term, Sent: int64(m.Sent)}
}

func (m VoteRequest) line() peerLine { return peerLine{Type: typeVoteRequest, Term: m.Term} }

func (m Vote) line() peerLine { return peerLine{Type: typeVote, Term: m.Term, OK: m.Granted} }

func (m ForwardedRequest) line() peerLine {
	return peerLine{Type: typeRequest, ID: m.ID, Kind: m.Kind, Job: m.Job, Body: m.Body}
}

func (m ForwardedAnswer) line() peerLine {
	return peerLine{Type: typeAnswer, ID: m.ID, Code: m.Status, Retry: m.RetryAfter, Body: m.Body}
}

func (m AdmissionLoad) line() peerLine {
	return peerLine{Type: typeLoad, Rev: m.Version, Loads: m.Groups}
}

// PeerLineError says why a line of another controller can't be read.
type PeerLineError struct{ Reason string }

func (e *PeerLineError) Error() string { return "line between controllers: " + e.Reason }

// UnknownPeerTypeError names a message, or a kind of request, that a later version may send.
// It is to be ignored.
type UnknownPeerTypeError struct{ Type, Kind string }

func (e *UnknownPeerTypeError) Error() string {
	return fmt.Sprintf("line between controllers: unknown type %q, kind %q", e.Type, e.Kind)
}

// EncodePeer turns a message into JSON, without a line break.
func EncodePeer(m PeerMessage) ([]byte, error) { return json.Marshal(m.line()) }

// DecodePeer reads a message and checks it. It fails with a *PeerLineError, or with an
// *UnknownPeerTypeError.
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

// message is the typed message of a line, or what is wrong with it; neither if its type is
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

func (l *peerLine) heartbeat() (m PeerMessage, reason string) {
	if l.Sent < 0 || l.Up < 0 || l.Level < 0 || l.Room < 0 || (l.Lead && l.Term == 0) {
		return nil, "a negative amount, or a leader without a term"
	}
	return Heartbeat{Term: l.Term, Leads: l.Lead, WantsGrant: l.Want, Sent: time.Duration(l.Sent), Uptime: time.Duration(l.Up),
		Process: l.Run, Heard: l.Heard, Level: l.Level, Slowed: l.Slow, Full: l.Full, Room: l.Room, Links: l.Links, Policy: l.Rev}, ""
}

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
		return nil, "" // of a later version
	}
	return ForwardedRequest{ID: l.ID, Kind: l.Kind, Job: l.Job, Body: l.Body}, ""
}

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
