package protocol

import (
	"errors"
	"reflect"
	"testing"

	"hitchdoor/internal/json"
)

// goldenMessages are messages by their wire form. The wire forms were recorded from the last version that
// had no Go type for each message.
var goldenMessages = map[string]PeerMessage{
	`{"type":"beat","term":4,"lead":true,"want":true,"sent":12,"up":13,"run":5,"heard":7,` +
		`"level":1,"slow":true}`: PeerHeartbeat{Term: 4, IsLeader: true, WantsLeaseGrant: true, SentAt: 12, Uptime: 13,
		ProcessID: 5, ReceiverProcessID: 7, ProtocolLevel: 1, WritesThrottled: true},
	`{"type":"beat","sent":12,"up":12,"run":18446744073709551615}`: PeerHeartbeat{
		SentAt: 12, Uptime: 12, ProcessID: 1<<64 - 1},
	`{"type":"promise","term":4,"sent":12}`: LeaseGrant{Term: 4, HeartbeatSentAt: 12},
	`{"type":"clear","term":5}`:             VoteRequest{Term: 5},
	`{"type":"cleared","term":5,"ok":true}`: Vote{Term: 5, Granted: true},
	`{"type":"ask","id":9,"kind":"query","job":"j-1"}`: ForwardedRequest{
		ID: 9, Kind: RequestQuery, JobID: "j-1"},
	`{"type":"ask","id":9,"kind":"cancel","job":"j-1"}`: ForwardedRequest{
		ID: 9, Kind: RequestCancel, JobID: "j-1"},
	`{"type":"ask","id":9,"kind":"submit","job":"j-1","body":{"uid":"j-1"}}`: ForwardedRequest{
		ID: 9, Kind: RequestSubmit, JobID: "j-1", Body: json.RawMessage(`{"uid":"j-1"}`)},
	`{"type":"ask","id":9,"kind":"report","body":{"maquina":"m-1"}}`: ForwardedRequest{
		ID: 9, Kind: RequestHeartbeat, Body: json.RawMessage(`{"maquina":"m-1"}`)},
	`{"type":"answer","id":9,"code":503,"retry":1}`: ForwardedResponse{ID: 9, Status: 503, RetryAfter: 1},
	`{"type":"answer","id":9,"code":200,"body":{"uid":"j-1"}}`: ForwardedResponse{
		ID: 9, Status: 200, Body: json.RawMessage(`{"uid":"j-1"}`)},
}

// A changed tag or type would cut off the controllers of the earlier version during an upgrade: they
// must decode what this version encodes, and this version must decode what they encode.
func TestPeerMessagesKeepTheirEarlierWireForm(t *testing.T) {
	for line, message := range goldenMessages {
		t.Run(line, func(t *testing.T) {
			raw, err := EncodePeerMessage(message)
			if err != nil || string(raw) != line {
				t.Errorf("%+v: got encoded as %s, error %v; want %s", message, raw, err, line)
			}
			read, err := DecodePeerMessage([]byte(line))
			if err != nil || !reflect.DeepEqual(read, message) {
				t.Errorf("%s: got decoded as %+v, error %v; want %+v", line, read, err, message)
			}
		})
	}
}

// Fields and types added since goldenMessages was recorded must be decoded as they were encoded. A field
// that only the encoding or only the decoding handles would be lost without an error.
func TestAddedPeerMessagesRoundTrip(t *testing.T) {
	for _, message := range []PeerMessage{
		PeerHeartbeat{SentAt: 1, Uptime: 1, ProcessID: 5, ConnectionsFull: true, PolicyRevision: 77},
		PeerHeartbeat{SentAt: 1, Uptime: 1, ProcessID: 5, SpareConnections: 31},
		AdmissionLoad{Groups: []GroupLoad{{Team: "a", Class: "c", PriorityRank: 3,
			RejectedForCapacity: 7, RejectedByPolicy: 9}}},
		AdmissionLoad{PolicyRevision: 12, Groups: []GroupLoad{{Class: "c"}}},
	} {
		raw, err := EncodePeerMessage(message)
		if err != nil {
			t.Fatal(err)
		}
		if read, err := DecodePeerMessage(raw); err != nil || !reflect.DeepEqual(read, message) {
			t.Errorf("%s: got decoded as %+v, error %v; want %+v", raw, read, err, message)
		}
	}
}

// A malformed message, for example one without a term or with a negative time, must be rejected with
// a *PeerMessageError, so that no part of the controller sees it.
func TestMalformedPeerMessagesAreRejected(t *testing.T) {
	for _, line := range []string{
		``, `{`, `[]`, `"beat"`, `{"type":7}`, `{"type":"beat","term":-1}`, `{"type":"beat","sent":-1}`,
		`{"type":"beat","lead":true}`, `{"type":"promise","sent":1}`, `{"type":"promise","term":1,"sent":-1}`,
		`{"type":"clear"}`, `{"type":"cleared","ok":true}`, `{"type":"ask","kind":"query","job":"j-1"}`,
		`{"type":"ask","id":1,"kind":"query"}`, `{"type":"ask","id":1,"kind":"submit","job":"j-1"}`,
		`{"type":"ask","id":1,"kind":"report"}`,
		`{"type":"beat","room":-1}`, `{"type":"load"}`, `{"type":"load","loads":[{"away":-1}]}`,
		`{"type":"load","loads":[{"rank":-1}]}`, `{"type":"load","loads":[{"away":9223372036854775807}]}`,
		`{"type":"load","loads":[{"refused":9223372036854775807}]}`,
		`{"type":"answer","id":1}`, `{"type":"answer","code":200}`, `{"type":"answer","id":1,"code":200,"retry":-1}`,
	} {
		t.Run(line, func(t *testing.T) {
			var malformed *PeerMessageError
			if m, err := DecodePeerMessage([]byte(line)); !errors.As(err, &malformed) || m != nil {
				t.Errorf("%s: got decoded as %+v, error %v; want a PeerMessageError", line, m, err)
			}
		})
	}
}

// A later version may send message types, kinds of forwarded requests and fields that this version does
// not know. The error for an unknown type or kind must differ from that for a malformed message, and an
// unknown field must be ignored. Otherwise an upgrade would disturb the controllers of this version.
func TestPeerMessagesOfLaterVersions(t *testing.T) {
	t.Run("type", func(t *testing.T) {
		var unknown *UnknownPeerMessageError
		_, err := DecodePeerMessage([]byte(`{"type":"later","term":3}`))
		if !errors.As(err, &unknown) || unknown.Type != "later" {
			t.Errorf("unknown type of message: got error %v, want an UnknownPeerMessageError of type later", err)
		}
	})
	t.Run("kind of request", func(t *testing.T) {
		var unknown *UnknownPeerMessageError
		_, err := DecodePeerMessage([]byte(`{"type":"ask","id":1,"kind":"later"}`))
		if !errors.As(err, &unknown) || unknown.RequestKind != "later" {
			t.Errorf("unknown kind of request: got error %v, want an UnknownPeerMessageError of kind later", err)
		}
	})
	t.Run("field", func(t *testing.T) {
		m, err := DecodePeerMessage([]byte(`{"type":"clear","term":5,"new":"x"}`))
		if err != nil || m != (VoteRequest{Term: 5}) {
			t.Errorf("message with an unknown field: got %+v, error %v; want a vote request for term 5", m, err)
		}
	})
}
