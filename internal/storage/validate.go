package storage

import (
	"fmt"
	"strings"

	"github.com/segmentio/encoding/json"

	"hitchdoor/internal/protocol"
)

// RecordError says that a record can't be used as it is stored: it can't be decoded, or
// contradicts its key or itself.
type RecordError struct {
	Key    string
	Reason string
}

func (e *RecordError) Error() string { return e.Key + ": " + e.Reason }

// recordError makes a RecordError of an item.
func recordError(it Item, format string, args ...any) error {
	return &RecordError{Key: it.Key, Reason: fmt.Sprintf(format, args...)}
}

// decode reads an item's value, which has to be a JSON object.
func decode(it Item, value any) error {
	if raw := strings.TrimSpace(string(it.Value)); !strings.HasPrefix(raw, "{") {
		return recordError(it, "is no JSON object")
	}
	if err := json.Unmarshal(it.Value, value); err != nil {
		return recordError(it, "can't be decoded: %v", err)
	}
	return nil
}

// ReadJob reads the record of an open job. The error is a *RecordError.
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

// MayNeedOthers tells whether the record of a job, which may be damaged, looks like that of
// one that needs others.
func MayNeedOthers(it Item) bool {
	raw := string(it.Value)
	return strings.Contains(raw, `"aguarda"`) || strings.Contains(raw, `"more"`)
}

// ReadFinal reads the record of a job that is over. The error is a *RecordError.
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

// ReadNeeds reads one record of the jobs that a job needs. The error is a *RecordError.
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

// ReadBits reads one part of a bitmap of finished tasks. The error is a *RecordError.
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

// ReadGroup reads a group of machines. Entries that can't be read are named: such a machine
// is known by its name alone. The error, a *RecordError, is of the record as a whole; then not
// even the names are known.
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

// ReadRental reads a rental under way. The error is a *RecordError.
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
