package storage

import (
	"errors"
	"fmt"
	"strings"

	"hitchdoor/internal/json"
	"hitchdoor/internal/protocol"
)

// RecordError reports a stored record that can't be used, because it can't be decoded, contradicts its
// key or has invalid values.
type RecordError struct {
	Key    string
	Reason string
	Err    error // underlying error of a decoder or of a validation, or nil
}

// Error implements error.
func (e *RecordError) Error() string { return e.Key + ": " + e.Reason }

// Unwrap returns the underlying error, or nil.
func (e *RecordError) Unwrap() error { return e.Err }

// newRecordError returns a RecordError for an item. The format may wrap an underlying error with %w.
func newRecordError(item Item, format string, args ...any) error {
	reason := fmt.Errorf(format, args...)
	return &RecordError{Key: item.Key, Reason: reason.Error(), Err: errors.Unwrap(reason)}
}

// decodeObject decodes an item's value, which must be a JSON object. The error is a *RecordError.
func decodeObject(item Item, value any) error {
	if raw := strings.TrimSpace(string(item.Value)); !strings.HasPrefix(raw, "{") {
		return newRecordError(item, "is no JSON object")
	}
	if err := json.Unmarshal(item.Value, value); err != nil {
		return newRecordError(item, "can't be decoded: %w", err)
	}
	return nil
}

// ReadJob decodes and validates the record of an open job, and reduces the job's amounts to their limits,
// which earlier versions did not do. The error is a *RecordError.
func ReadJob(item Item) (JobRecord, error) {
	var record JobRecord
	if err := decodeObject(item, &record); err != nil {
		return record, err
	}
	if JobKey(record.Spec.ID) != item.Key {
		return record, newRecordError(item, "holds the job %q", record.Spec.ID)
	}
	if err := record.Spec.Validate(); err != nil {
		return record, newRecordError(item, "holds no possible job: %w", err)
	}
	if record.DependencyRecords < 0 {
		return record, newRecordError(item, "names %d records of the jobs that it needs", record.DependencyRecords)
	}
	record.Spec.LimitAmounts()
	return record, nil
}

// MayHaveDependencies reports whether a job's open record names dependencies. It searches the raw text for
// the names of the fields, because the record may be corrupt: "aguarda" is the list of dependencies, and
// "more" is the number of separate dependency records.
func MayHaveDependencies(item Item) bool {
	raw := string(item.Value)
	return strings.Contains(raw, `"aguarda"`) || strings.Contains(raw, `"more"`)
}

// ReadTerminal decodes and validates the record of a terminal job. The error is a *RecordError.
func ReadTerminal(item Item) (TerminalRecord, error) {
	var record TerminalRecord
	if err := decodeObject(item, &record); err != nil {
		return record, err
	}
	if !record.State.IsTerminal() {
		return record, newRecordError(item, "holds the state %q", record.State)
	}
	return record, nil
}

// ReadDependencies decodes and validates one part of a job's dependencies. The error is a
// *RecordError.
func ReadDependencies(item Item) ([]string, error) {
	var dependencies []string
	if err := json.Unmarshal(item.Value, &dependencies); err != nil || dependencies == nil {
		return nil, newRecordError(item, "is no list of jobs")
	}
	for _, id := range dependencies {
		if !protocol.ValidJobID(id) {
			return nil, newRecordError(item, "names %q, which is no job", id)
		}
	}
	return dependencies, nil
}

// ReadBitmap decodes and validates one part of a bitmap of finished tasks. The error is a
// *RecordError.
func ReadBitmap(item Item) ([]byte, error) {
	var record BitmapRecord
	if err := decodeObject(item, &record); err != nil {
		return nil, err
	}
	bits, err := DecodeBitmap(record)
	if err != nil {
		return nil, newRecordError(item, "holds a bitmap that is not valid base64: %w", err)
	}
	if len(bits) == 0 {
		return nil, newRecordError(item, "holds an empty bitmap")
	}
	return bits, nil
}

// ReadMachineGroup decodes and validates the record of a machine group. unreadable contains the names
// of the machines whose entries are invalid, in no particular order. The error, a *RecordError, means
// that the whole record is invalid, so that not even the names are known.
func ReadMachineGroup(item Item) (group MachineGroupRecord, unreadable []string, err error) {
	var entries map[string]json.RawMessage
	if err := decodeObject(item, &entries); err != nil {
		return nil, nil, err
	}
	group = make(MachineGroupRecord, len(entries))
	for name, raw := range entries {
		var record MachineRecord
		if json.Unmarshal(raw, &record) != nil || record.Type == "" {
			unreadable = append(unreadable, name)
			continue
		}
		group[name] = record
	}
	return group, unreadable, nil
}

// ReadRental decodes and validates the record of a pending rental. The error is a *RecordError.
func ReadRental(item Item) (protocol.RentalRequest, error) {
	var rental protocol.RentalRequest
	if err := decodeObject(item, &rental); err != nil {
		return rental, err
	}
	if RentalPrefix+rental.RequestID != item.Key {
		return rental, newRecordError(item, "holds the rental %q", rental.RequestID)
	}
	return rental, nil
}
