package json

import (
	"math"
	"strings"
	"testing"
)

// record has a number in every place where finiteCopy looks for one.
type record struct {
	Number  float64            `json:"number"`
	Pointer *float64           `json:"pointer"`
	List    []float64          `json:"list"`
	ByName  map[string]float64 `json:"byName"`
	Any     any                `json:"any"`
	Nested  *record            `json:"nested"`
	Raw     RawMessage         `json:"raw,omitempty"`
}

// A computed number that JSON can't hold must not prevent a message from being encoded, and the value that is
// encoded must not change.
func TestMarshalNumbersThatJSONCannotHold(t *testing.T) {
	infinite, notANumber := math.Inf(1), math.NaN()
	value := record{Number: notANumber, Pointer: &infinite, List: []float64{1.5, math.Inf(-1)},
		ByName: map[string]float64{"a": infinite}, Any: infinite, Nested: &record{Number: infinite}, Raw: RawMessage(`[1]`)}
	raw, err := Marshal(&value)
	const largest = "1.7976931348623157e308"
	const nested = `{"number":` + largest + `,"pointer":null,"list":null,"byName":null,"any":null,"nested":null}`
	const want = `{"number":0,"pointer":` + largest + `,"list":[1.5,-` + largest + `],"byName":{"a":` + largest +
		`},"any":` + largest + `,"nested":` + nested + `,"raw":[1]}`
	if got := strings.ReplaceAll(string(raw), "e+", "e"); err != nil || got != want {
		t.Errorf("encoded: got %s, error %v; want %s", got, err, want)
	}
	if !math.IsInf(*value.Pointer, 1) || !math.IsInf(value.Nested.Number, 1) {
		t.Errorf("value after encoding: got %+v, want it unchanged", value)
	}
	if _, err := Marshal(make(chan int)); err == nil {
		t.Error("a channel is encoded, want an error")
	}
}

// A text must not take more stack than a controller has memory: 500 KB of brackets in an unknown field once took 128 MB.
// Many values side by side, and brackets within strings, are no levels.
func TestNestingIsLimited(t *testing.T) {
	nested := func(depth int) string { return strings.Repeat("[", depth) + strings.Repeat("]", depth) }
	for name, c := range map[string]struct {
		text  string
		valid bool
	}{
		"at the limit":       {`{"unknown":` + nested(maxDepth-1) + `}`, true},
		"over the limit":     {`{"unknown":` + nested(maxDepth) + `}`, false},
		"lists":              {nested(250_000), false},
		"objects":            {strings.Repeat(`{"a":`, 50_000) + "1" + strings.Repeat("}", 50_000), false},
		"unclosed lists":     {strings.Repeat("[", 250_000), false},
		"side by side":       {`{"unknown":[` + strings.Repeat("[],", 5000) + `{}]}`, true},
		"within a string":    {`{"unknown":"` + strings.Repeat(`[\"{`, 5000) + `"}`, true},
		"escaped at the end": {`{"unknown":"\\","other":` + nested(maxDepth) + `}`, false},
	} {
		var decoded record
		if err := Unmarshal([]byte(c.text), &decoded); (err == nil) != c.valid {
			t.Errorf("%s: got error %v, want it decoded: %v", name, err, c.valid)
		}
	}
}

// A decoder must compare names exactly and must not accept text after the value.
func TestUnmarshal(t *testing.T) {
	var decoded record
	err := Unmarshal([]byte(` {"number":1,"Number":2,"NUMBER":3} `), &decoded)
	if err != nil || decoded.Number != 1 {
		t.Errorf("decoded: got %+v, error %v; want the number 1", decoded, err)
	}
	if err := NewDecoder(strings.NewReader(`{"number":4,"Number":5}`)).Decode(&decoded); err != nil || decoded.Number != 4 {
		t.Errorf("decoded from a stream: got %+v, error %v; want the number 4", decoded, err)
	}
	for _, text := range []string{"", "{", `{"number":"1"}`, `{"number":1}{}`, `{"number":1e999}`} {
		if err := Unmarshal([]byte(text), &decoded); err == nil {
			t.Errorf("%q is decoded, want an error", text)
		}
	}
}
