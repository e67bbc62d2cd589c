package protocol

import "fmt"

// InvalidBodyError reports the body of a submission or of a worker's heartbeat that is too large, can't be
// decoded, or doesn't identify its sender. The error text is part of the response to the sender.
type InvalidBodyError struct {
	Reason string
	Err    error // error of the decoder; nil if the body could be decoded or was not tried
}

// Error implements error.
func (e *InvalidBodyError) Error() string { return e.Reason }

// Unwrap returns the error of the decoder, or nil.
func (e *InvalidBodyError) Unwrap() error { return e.Err }

// InvalidFieldError reports a field of a submission that is missing or has a value that is not
// allowed. The error text is part of the response to the user.
type InvalidFieldError struct {
	Field  string // name on the wire
	Reason string
}

// Error implements error.
func (e *InvalidFieldError) Error() string { return e.Field + ": " + e.Reason }

// NegativeAmountError reports an amount in a submission that is negative or not a number. The error text
// does not name the field, so that the text stays the same as in earlier versions.
type NegativeAmountError struct {
	Field string // name on the wire
}

// Error implements error.
func (e *NegativeAmountError) Error() string { return "an amount is negative" }

// PeerMessageError reports why a message of another controller is malformed.
type PeerMessageError struct {
	Type   string // message type; empty if the message can't be decoded
	Reason string
	Err    error // error of the decoder; nil if the message could be decoded
}

// Error implements error.
func (e *PeerMessageError) Error() string {
	if e.Err != nil {
		return "line between controllers: " + e.Reason
	}
	return fmt.Sprintf("line between controllers: %s: %s", e.Type, e.Reason)
}

// Unwrap returns the error of the decoder, or nil.
func (e *PeerMessageError) Unwrap() error { return e.Err }

// UnknownPeerMessageError reports a message type, or a kind of forwarded request, that this version
// does not know. A later version may have sent the message, so receivers ignore it.
type UnknownPeerMessageError struct{ Type, RequestKind string }

// Error implements error.
func (e *UnknownPeerMessageError) Error() string {
	return fmt.Sprintf("line between controllers: unknown type %q, kind %q", e.Type, e.RequestKind)
}

// CloudResponseError reports why the body of a response of the cloud is invalid: truncated or inconsistent.
type CloudResponseError struct {
	Call   string // method and path of the request
	Reason string
	Err    error // error of the decoder; nil if the body could be decoded
}

// Error implements error.
func (e *CloudResponseError) Error() string { return e.Call + ": " + e.Reason }

// Unwrap returns the error of the decoder, or nil.
func (e *CloudResponseError) Unwrap() error { return e.Err }
