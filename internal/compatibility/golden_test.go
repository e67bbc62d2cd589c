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

// goldenLine is one named value of a golden file.
type goldenLine struct{ name, value string }

// checkGolden compares named values, in their order, with a golden file.
func checkGolden(t *testing.T, file string, got []goldenLine) {
	t.Helper()
	path := filepath.Join("testdata", file)
	if *update {
		var content strings.Builder
		for _, l := range got {
			if strings.ContainsAny(l.name+l.value, "\n") || strings.Contains(l.name, "\t") {
				t.Fatalf("%s: %q does not fit a line", l.name, l.value)
			}
			content.WriteString(l.name + "\t" + l.value + "\n")
		}
		if err := os.WriteFile(path, []byte(content.String()), 0o644); err != nil {
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
func readGolden(t *testing.T, file string) []goldenLine {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("testdata", file))
	if err != nil {
		t.Fatal(err)
	}
	var lines []goldenLine
	for row := range strings.Lines(string(raw)) {
		name, value, ok := strings.Cut(strings.TrimSuffix(row, "\n"), "\t")
		if !ok {
			t.Fatalf("%s: %q has no name", file, row)
		}
		lines = append(lines, goldenLine{name, value})
	}
	return lines
}

// jsonCase is a value with its form as JSON.
type jsonCase struct {
	name  string
	value any
	// allFieldsSet: no field has its zero value, so that every name is pinned.
	allFieldsSet bool
	decode       func(raw []byte) (any, error)
}

// fullCase is a message with a value in each field.
func fullCase[T any](name string, value T) jsonCase {
	c := partialCase(name, value)
	c.allFieldsSet = true
	return c
}

// partialCase is a message without some of the fields.
func partialCase[T any](name string, value T) jsonCase {
	return jsonCase{name: name, value: value, decode: func(raw []byte) (any, error) {
		var v T
		err := json.Unmarshal(raw, &v)
		return v, err
	}}
}

// checkJSONCases compares the encoded messages with a golden file, and decodes and encodes the
// file's lines again.
func checkJSONCases(t *testing.T, file string, cases []jsonCase) {
	t.Helper()
	var got []goldenLine
	for _, c := range cases {
		got = append(got, goldenLine{c.name, string(storage.Encode(c.value))})
		if c.allFieldsSet {
			checkAllFieldsSet(t, c.name, reflect.ValueOf(c.value))
		}
	}
	checkGolden(t, file, got)
	want := readGolden(t, file)
	if len(want) != len(cases) {
		return
	}
	for i, c := range cases {
		decoded, err := c.decode([]byte(want[i].value))
		if err != nil || !reflect.DeepEqual(decoded, c.value) {
			t.Errorf("%s: %s is read as %+v, not %+v: %v", c.name, want[i].value, decoded, c.value, err)
			continue
		}
		if reencoded := string(storage.Encode(decoded)); reencoded != want[i].value {
			t.Errorf("%s: read and written again:\n got %s\nwant %s", c.name, reencoded, want[i].value)
		}
	}
}

// checkAllFieldsSet fails for a field with its zero value.
func checkAllFieldsSet(t *testing.T, name string, v reflect.Value) {
	t.Helper()
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			if field := v.Type().Field(i); field.IsExported() {
				checkAllFieldsSet(t, name+"."+field.Name, v.Field(i))
			}
		}
	case reflect.Pointer:
		if v.IsNil() {
			t.Errorf("%s has no value", name)
			return
		}
		checkAllFieldsSet(t, name, v.Elem())
	case reflect.Slice, reflect.Map:
		if v.Len() == 0 {
			t.Errorf("%s is empty", name)
		}
		if v.Kind() == reflect.Slice && v.Type().Elem().Kind() == reflect.Struct {
			for i := range v.Len() {
				checkAllFieldsSet(t, name, v.Index(i))
			}
		}
	default:
		if v.IsZero() {
			t.Errorf("%s is not set", name)
		}
	}
}

// pointerTo is a pointer to a value.
func pointerTo[T any](v T) *T { return &v }
