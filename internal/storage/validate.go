package storage

import (
	"fmt"
	"strings"

	"github.com/segmentio/encoding/json"

	"hitchdoor/internal/protocol"
)

// RecordError reports a stored record that can't be used: it can't be decoded, or it is
// inconsistent with its key or in itself.
type RecordError struct {
	Key    string
	Reason string
}

// Error implements error.
func (e *RecordError) Error() string { return e.Key + ": " + e.Reason }

// newRecordError returns a RecordError for an item.
func recordError(it Item, format string, args ...any) error {
	return &RecordError{Key: it.Key, Reason: fmt.Sprintf(format, args...)}
}

// decodeObject decodes an item's value, which must be a JSON object.
func decode(it Item, value any) error {
	if raw := strings.TrimSpace(string(it.Value)); !strings.HasPrefix(raw, "{") {
		return recordError(it, "is no JSON object")
	}
	if err := json.Unmarshal(it.Value, value); err != nil {
		return recordError(it, "can't be decoded: %v", err)
	}
	return nil
}

// ReadJob decodes and validates the record of an open job. The error is a *RecordError.
func ReadJob(it Item) (JobRecord, error) {
	var rec JobRecord
	if err := decode(it, &rec); err != nil {
		return rec, err
	}
	if JobKey(rec.Spec.UID) != it.Key {
		return rec, recordError(it, "holds the job %q", rec.Spec.UID)
	}
	if err := rec.Spec.Check(); err != nil {
		return rec, recordError(it, "holds no possible job: %v", err)
	}
	if rec.More < 0 {
		return rec, recordError(it, "names %d records of the jobs that it needs", rec.More)
	}
	return rec, nil
}

// MayHaveDependencies reports whether the record of a job, which may be corrupt, seems to be that of
// a job with dependencies.
func MayNeedOthers(it Item) bool {
	raw := string(it.Value)
	return strings.Contains(raw, `"aguarda"`) || strings.Contains(raw, `"more"`)
}

// ReadTerminal decodes and validates the record of a terminal job. The error is a *RecordError.
func ReadFinal(it Item) (FinalRecord, error) {
	var rec FinalRecord
	if err := decode(it, &rec); err != nil {
		return rec, err
	}
	if rec.State != protocol.Done && rec.State != protocol.Withdrawn {
		return rec, recordError(it, "holds the state %q", rec.State)
	}
	return rec, nil
}

// ReadDependencies decodes and validates one part of a job's dependencies. The error is a
// *RecordError.
func ReadNeeds(it Item) ([]string, error) {
	var needs []string
	if err := json.Unmarshal(it.Value, &needs); err != nil || needs == nil {
		return nil, recordError(it, "is no list of jobs")
	}
	for _, id := range needs {
		if !protocol.ValidJobID(id) {
			return nil, recordError(it, "names %q, which is no job", id)
		}
	}
	return needs, nil
}

// ReadBitmap decodes and validates one part of a bitmap of finished tasks. The error is a
// *RecordError.
func ReadBits(it Item) ([]byte, error) {
	var rec BitsRecord
	if err := decode(it, &rec); err != nil {
		return nil, err
	}
	bits, err := DecodeBits(rec)
	if err != nil {
		return nil, recordError(it, "holds no bitmap: %v", err)
	}
	if len(bits) == 0 {
		return nil, recordError(it, "holds an empty bitmap")
	}
	return bits, nil
}

// ReadMachineGroup decodes and validates the record of a machine group. Of entries that can't be
// decoded it returns the names only. The error, a *RecordError, concerns the record as a whole; then
// not even the names are known.
func ReadGroup(it Item) (group GroupRecord, unreadable []string, err error) {
	var entries map[string]json.RawMessage
	if err := decode(it, &entries); err != nil {
		return nil, nil, err
	}
	group = make(GroupRecord, len(entries))
	for name, raw := range entries {
		var rec MachineRecord
		if json.Unmarshal(raw, &rec) != nil || rec.Type == "" {
			unreadable = append(unreadable, name)
			continue
		}
		group[name] = rec
	}
	return group, unreadable, nil
}

// ReadRental decodes and validates the record of a pending rental. The error is a *RecordError.
func ReadRental(it Item) (protocol.Rental, error) {
	var rental protocol.Rental
	if err := decode(it, &rental); err != nil {
		return rental, err
	}
	if RentPrefix+rental.Request != it.Key {
		return rental, recordError(it, "holds the rental %q", rental.Request)
	}
	return rental, nil
}
