// Package compatibility pins what must stay as it is between versions: the bytes of messages
// and stored records, the keys, and the settings files with their error texts. It has tests only,
// and they use the exported API of the other packages.
//
// The golden files in testdata were written by the code of commit 5adb309. The flag -update writes
// them anew; that is a change of the wire or of the stored data and needs a reason of its own.
package compatibility

import (
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/segmentio/encoding/json"

	"hitchdoor/internal/storage"
)

var update = flag.Bool("update", false, "write the golden files anew")

// line is one named value of a golden file.
type line struct{ name, value string }

// checkGolden compares named values, in their order, with a golden file.
func checkGolden(t *testing.T, file string, got []line) {
	t.Helper()
	path := filepath.Join("testdata", file)
	if *update {
		var text strings.Builder
		for _, l := range got {
			if strings.ContainsAny(l.name+l.value, "\n") || strings.Contains(l.name, "\t") {
				t.Fatalf("%s: %q does not fit a line", l.name, l.value)
			}
			text.WriteString(l.name + "\t" + l.value + "\n")
		}
		if err := os.WriteFile(path, []byte(text.String()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want := readGolden(t, file)
	for i := range max(len(want), len(got)) {
		switch {
		case i >= len(want):
			t.Errorf("%s: %s is not in the file", file, got[i].name)
		case i >= len(got):
			t.Errorf("%s: %s is in the file only", file, want[i].name)
		case got[i] != want[i]:
			t.Errorf("%s: %s:\n got %s\nwant %s: %s", file, got[i].name, got[i].value, want[i].name, want[i].value)
		}
	}
}

// readGolden reads the named values of a golden file.
func readGolden(t *testing.T, file string) []line {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("testdata", file))
	if err != nil {
		t.Fatal(err)
	}
	var lines []line
	for text := range strings.Lines(string(raw)) {
		name, value, ok := strings.Cut(strings.TrimSuffix(text, "\n"), "\t")
		if !ok {
			t.Fatalf("%s: %q has no name", file, text)
		}
		lines = append(lines, line{name, value})
	}
	return lines
}

// message is a value with its form as JSON.
type message struct {
	name  string
	value any
	// full: no field has its zero value, so that every name is pinned.
	full bool
	read func(raw []byte) (any, error)
}

// full is a message with a value in each field.
func full[T any](name string, value T) message {
	m := part(name, value)
	m.full = true
	return m
}

// part is a message without some of the fields.
func part[T any](name string, value T) message {
	return message{name: name, value: value, read: func(raw []byte) (any, error) {
		var v T
		err := json.Unmarshal(raw, &v)
		return v, err
	}}
}

// checkMessages compares the encoded messages with a golden file, and decodes and encodes the
// file's lines again.
func checkMessages(t *testing.T, file string, messages []message) {
	t.Helper()
	var got []line
	for _, m := range messages {
		got = append(got, line{m.name, string(storage.Encode(m.value))})
		if m.full {
			checkAllSet(t, m.name, reflect.ValueOf(m.value))
		}
	}
	checkGolden(t, file, got)
	want := readGolden(t, file)
	if len(want) != len(messages) {
		return
	}
	for i, m := range messages {
		read, err := m.read([]byte(want[i].value))
		if err != nil || !reflect.DeepEqual(read, m.value) {
			t.Errorf("%s: %s is read as %+v, not %+v: %v", m.name, want[i].value, read, m.value, err)
			continue
		}
		if again := string(storage.Encode(read)); again != want[i].value {
			t.Errorf("%s: read and written again:\n got %s\nwant %s", m.name, again, want[i].value)
		}
	}
}

// checkAllSet fails for a field with its zero value.
func checkAllSet(t *testing.T, name string, v reflect.Value) {
	t.Helper()
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			if field := v.Type().Field(i); field.IsExported() {
				checkAllSet(t, name+"."+field.Name, v.Field(i))
			}
		}
	case reflect.Pointer:
		if v.IsNil() {
			t.Errorf("%s has no value", name)
			return
		}
		checkAllSet(t, name, v.Elem())
	case reflect.Slice, reflect.Map:
		if v.Len() == 0 {
			t.Errorf("%s is empty", name)
		}
		if v.Kind() == reflect.Slice && v.Type().Elem().Kind() == reflect.Struct {
			for i := range v.Len() {
				checkAllSet(t, name, v.Index(i))
			}
		}
	default:
		if v.IsZero() {
			t.Errorf("%s is not set", name)
		}
	}
}

// of is a pointer to a value.
func of[T any](v T) *T { return &v }
