// Package json encodes and decodes JSON as the protocols require it. It is the only package that uses a
// JSON library, so that one rule holds for the messages of users, workers, other controllers, the cloud
// and the key-value store, and for stored records: the name of a field is compared exactly, with regard
// to case, and a field with any other name is ignored.
//
// The library by itself falls back to comparing names without regard to case. A field that a receiver
// does not know would then replace the value of a field that it knows.
package json

import (
	"errors"
	"fmt"
	"io"

	"github.com/segmentio/encoding/json"
)

// RawMessage is an encoded JSON value, which is decoded later or passed on as it is.
type RawMessage = json.RawMessage

// UnmarshalTypeError reports a JSON value that can't be decoded into a Go value of the given type.
type UnmarshalTypeError = json.UnmarshalTypeError

// TrailingDataError reports text after the end of a JSON value.
type TrailingDataError struct {
	First byte // first byte after the value and white space
}

// Error implements error.
func (e *TrailingDataError) Error() string {
	return fmt.Sprintf("json: invalid character %q after the value", e.First)
}

// Unmarshal decodes data, which must be exactly one JSON value of at most maxDepth levels, into the variable
// that value points to.
func Unmarshal(data []byte, value any) error {
	if err := checkDepth(data); err != nil {
		return err
	}
	rest, err := json.Parse(data, value, json.DontMatchCaseInsensitiveStructFields)
	if err == nil && len(rest) > 0 {
		err = &TrailingDataError{First: rest[0]}
	}
	return err
}

// Marshal encodes a value. JSON has no infinite numbers and no NaN: an infinite number is encoded as the
// largest finite one of its sign, and NaN as 0. A computed number therefore never prevents a message or a
// record from being encoded.
func Marshal(value any) ([]byte, error) {
	raw, err := json.Marshal(value)
	if err != nil && isUnsupportedNumber(err) {
		return json.Marshal(finiteCopy(value))
	}
	return raw, err
}

// isUnsupportedNumber reports whether a value could not be encoded because it contains a number that JSON can't
// hold.
func isUnsupportedNumber(err error) bool {
	var unsupported *json.UnsupportedValueError
	return errors.As(err, &unsupported) && unsupported.Value.IsValid() && unsupported.Value.CanFloat()
}

// MarshalIndent encodes a value for people to read. Each line begins with the prefix, followed by the
// indentation.
func MarshalIndent(value any, prefix, indent string) ([]byte, error) {
	return json.MarshalIndent(value, prefix, indent)
}

// Valid reports whether data is exactly one JSON value.
func Valid(data []byte) bool { return json.Valid(data) }

// Decoder decodes the JSON values of a stream.
type Decoder struct{ decoder *json.Decoder }

// NewDecoder returns a decoder that reads from r.
func NewDecoder(r io.Reader) *Decoder {
	decoder := json.NewDecoder(r)
	decoder.DontMatchCaseInsensitiveStructFields()
	return &Decoder{decoder}
}

// Decode decodes the next value of the stream into the variable that value points to.
func (d *Decoder) Decode(value any) error { return d.decoder.Decode(value) }
