// Package compatibility tests what must not change between versions: the bytes of messages and
// stored records, the keys of the key-value store, and the settings files with their error texts. It
// contains only tests, which use the exported API of the other packages.
//
// The golden files in testdata were written by the code of commit 5adb309. The flag -update rewrites
// them; that changes the wire format or the stored data and needs a reason of its own.
package compatibility

import (
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"hitchdoor/internal/json"
	"hitchdoor/internal/storage"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// goldenLine is one line of a golden file: a name, a tab and a value.
type goldenLine struct{ name, value string }

// checkGolden compares lines, including their order, with a golden file. With -update it first
// rewrites the file.
func checkGolden(t *testing.T, file string, got []goldenLine) {
	t.Helper()
	path := filepath.Join("testdata", file)
	if *update {
		var content strings.Builder
		for _, l := range got {
			if strings.ContainsAny(l.name+l.value, "\n") || strings.Contains(l.name, "\t") {
				t.Fatalf("line %q with value %q: want no newline, and no tab in the name", l.name, l.value)
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
			t.Errorf("%s: got line %s, want the end of the file", file, got[i].name)
		case i >= len(got):
			t.Errorf("%s: got no more lines, want line %s", file, want[i].name)
		case got[i] != want[i]:
			t.Errorf("%s: %s:\n got %s\nwant %s: %s", file, got[i].name, got[i].value, want[i].name, want[i].value)
		}
	}
}

// readGolden returns the lines of a golden file.
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
			t.Fatalf("%s: line %q: want a tab between name and value", file, row)
		}
		lines = append(lines, goldenLine{name, value})
	}
	return lines
}

// jsonCase is a value whose JSON encoding is compared with a line of a golden file.
type jsonCase struct {
	name  string
	value any
	// allFieldsSet requires that no field has its zero value, so that the golden file contains the
	// name of every field.
	allFieldsSet bool
	decode       func(raw []byte) (any, error)
}

// fullCase returns the case of a value in which every field is set.
func fullCase[T any](name string, value T) jsonCase {
	c := partialCase(name, value)
	c.allFieldsSet = true
	return c
}

// partialCase returns the case of a value in which some fields may have their zero value.
func partialCase[T any](name string, value T) jsonCase {
	return jsonCase{name: name, value: value, decode: func(raw []byte) (any, error) {
		var v T
		err := json.Unmarshal(raw, &v)
		return v, err
	}}
}

// checkJSONCases compares the encoded values with a golden file. It also checks that each line of the
// file is decoded to the case's value, and that the decoded value is encoded to the same bytes again.
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
		return // checkGolden has reported the difference
	}
	for i, c := range cases {
		decoded, err := c.decode([]byte(want[i].value))
		if err != nil || !reflect.DeepEqual(decoded, c.value) {
			t.Errorf("%s: decoding %s: got %+v, want %+v; error: %v", c.name, want[i].value, decoded, c.value, err)
			continue
		}
		if reencoded := string(storage.Encode(decoded)); reencoded != want[i].value {
			t.Errorf("%s: decoded and encoded again:\n got %s\nwant %s", c.name, reencoded, want[i].value)
		}
		c.checkExactNames(t, want[i].value)
	}
}

// fieldName matches the name of a field in a JSON text.
var fieldName = regexp.MustCompile(`"\w+":`)

// checkExactNames checks that no field is decoded whose name differs from a known one in case: without a
// field that it knows, a decoder returns an error or the zero value. The keys of maps are data, not names.
func (c jsonCase) checkExactNames(t *testing.T, raw string) {
	t.Helper()
	if reflect.TypeOf(c.value).Kind() == reflect.Map {
		return
	}
	renamed := fieldName.ReplaceAllStringFunc(raw, strings.ToUpper)
	decoded, err := c.decode([]byte(renamed))
	if err == nil && renamed != raw && !reflect.ValueOf(decoded).IsZero() {
		t.Errorf("%s: decoding %s: got %+v, want the zero value or an error", c.name, renamed, decoded)
	}
}

// checkAllFieldsSet reports the exported fields that have their zero value, and empty slices and
// maps. It includes the fields of nested structs, but not of the values of maps.
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
			t.Errorf("%s: got a nil pointer, want a value", name)
			return
		}
		checkAllFieldsSet(t, name, v.Elem())
	case reflect.Slice, reflect.Map:
		if v.Len() == 0 {
			t.Errorf("%s: got an empty slice or map, want elements", name)
		}
		if v.Kind() == reflect.Slice && v.Type().Elem().Kind() == reflect.Struct {
			for i := range v.Len() {
				checkAllFieldsSet(t, name, v.Index(i))
			}
		}
	default:
		if v.IsZero() {
			t.Errorf("%s: got the zero value, want a value", name)
		}
	}
}

// pointerTo returns a pointer to a copy of v.
func pointerTo[T any](v T) *T { return &v }
