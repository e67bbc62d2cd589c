package protocol

import "fmt"

// InvalidBodyError reports a body that can't be decoded, or that lacks what identifies its sender.
// Its text is part of the response to the sender.
type InvalidBodyError struct {
	Reason string
	Err    error // of the decoder; nil: none
}

// Error implements error.
func (e *InvalidBodyError) Error() string { return e.Reason }

// Unwrap returns the error of the decoder.
func (e *InvalidBodyError) Unwrap() error { return e.Err }

// InvalidFieldError reports a field of a submission, by its name on the wire, with a value that is
// missing or not allowed. Its text is part of the response to the user.
type InvalidFieldError struct {
	Field  string
	Reason string
}

// Error implements error.
func (e *InvalidFieldError) Error() string { return e.Field + ": " + e.Reason }

// NegativeAmountError reports a field of a submission, by its name on the wire, that must not be
// negative. Its text does not name the field, as earlier versions do not either.
type NegativeAmountError struct{ Field string }

// Error implements error.
func (e *NegativeAmountError) Error() string { return "an amount is negative" }

// PeerMessageError reports why a message of another controller is malformed.
type PeerMessageError struct {
	Type   string // of the message; empty if it can't be decoded
	Reason string
	Err    error // of the decoder; nil: none
}

// Error implements error.
func (e *PeerMessageError) Error() string {
	if e.Err != nil {
		return "line between controllers: " + e.Reason
	}
	return fmt.Sprintf("line between controllers: %s: %s", e.Type, e.Reason)
}

// Unwrap returns the error of the decoder.
func (e *PeerMessageError) Unwrap() error { return e.Err }

// UnknownPeerMessageError reports a message type, or a kind of request, that this version does
// not know. A later version may send it, so receivers ignore the message.
type UnknownPeerMessageError struct{ Type, RequestKind string }

// Error implements error.
func (e *UnknownPeerMessageError) Error() string {
	return fmt.Sprintf("line between controllers: unknown type %q, kind %q", e.Type, e.RequestKind)
}

// CloudResponseError reports why a response can't come from the cloud.
type CloudResponseError struct {
	Call   string // method and path
	Reason string
	Err    error // of the decoder; nil: none
}

// Error implements error.
func (e *CloudResponseError) Error() string { return e.Call + ": " + e.Reason }

// Unwrap returns the error of the decoder.
func (e *CloudResponseError) Unwrap() error { return e.Err }
