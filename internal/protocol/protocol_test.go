package protocol

import (
	"errors"
	"reflect"
	"strings"
	"testing"
)

// validSubmission is a submission with an unknown field ("later"), which is ignored.
const validSubmission = `{"uid":"j-000412","lote":"train","dono":"vision","feitio":"batch","vez":"urgent","pecas":16,
 "cores":8.0,"accelerators":1.0,"ramGb":64.0,"molde":"img-07","pullGb":6.2,
 "portes":["g8"],"praca":null,"samePlace":true,"apart":false,"avulsas":true,
 "previstoS":240.0,"marcoS":30.0,"guardaS":4.0,"prazoS":900.0,"later":{"x":1}}`

// changeSubmission returns validSubmission with a part replaced.
func changeSubmission(t *testing.T, old, replacement string) string {
	t.Helper()
	if !strings.Contains(validSubmission, old) {
		t.Fatalf("%q is not in validSubmission", old)
	}
	return strings.Replace(validSubmission, old, replacement, 1)
}

// A valid submission must be accepted, even if it has a field of a later version or lacks a field that may
// be null.
func TestParseJob(t *testing.T) {
	job, err := ParseJob([]byte(validSubmission))
	if err != nil || job.ID != "j-000412" || *job.DeadlineSeconds != 900 || !job.SpotAllowed || job.PriorityRank() != 1 {
		t.Fatalf("valid submission: got %+v, error %v; want j-000412, deadline 900 s, spot allowed, rank 1", job, err)
	}
	if _, err := ParseJob([]byte(changeSubmission(t, `"praca":null,`, ""))); err != nil {
		t.Errorf("submission without praca (zone), which may be null: got error %v, want none", err)
	}
}

// Guards against a user's submission without a zone that is encoded with an empty one, which allows no machine.
func TestEncodeSubmission(t *testing.T) {
	for _, zone := range []string{"", "b"} {
		want, err := ParseJob([]byte(validSubmission))
		if err != nil {
			t.Fatal(err)
		}
		want.Zone = zone
		body, err := EncodeSubmission(want)
		if err != nil {
			t.Fatal(err)
		}
		if job, err := ParseJob(body); err != nil || !reflect.DeepEqual(job, want) {
			t.Errorf("submission %s: got %+v, error %v; want %+v", body, job, err, want)
		}
	}
}

// otherFields are unknown fields whose names differ from those of a submission only in case.
const otherFields = `,"UID":"j-000999","Lote":"other","DONO":"other","Feitio":"other","VEZ":"low","Pecas":1,"CORES":1,
 "Accelerators":9,"RAMGB":1,"ramGB":1,"Molde":"other","pullGB":9,"PORTES":["other"],"Praca":"other","sameplace":false,
 "APART":true,"Avulsas":false,"previstos":1,"marcos":1,"GUARDAS":9,"prazos":1,"Aguarda":["j-000999"]}`

// A field whose name differs in case from a known one must be ignored. Taken for the known one, it changed the
// job: of four tasks only one ran, and the job was reported as done.
func TestParseJobComparesNamesExactly(t *testing.T) {
	want, err := ParseJob([]byte(validSubmission))
	if err != nil {
		t.Fatal(err)
	}
	job, err := ParseJob([]byte(strings.TrimSuffix(validSubmission, "}") + otherFields))
	if err != nil || !reflect.DeepEqual(job, want) {
		t.Errorf("submission with unknown fields: got %+v, error %v; want %+v", job, err, want)
	}
}

// Each kind of invalid submission must be rejected. If accepted, the submission would be stored, and its
// values would be used as keys, sizes and durations.
func TestParseJobRejects(t *testing.T) {
	change := func(old, replacement string) string { return changeSubmission(t, old, replacement) }
	for name, body := range map[string]string{
		"not JSON":                 "{",
		"not an object":            "[1]",
		"null":                     "null",
		"missing field":            change(`"pecas":16,`, ""),
		"missing cores":            change(`"cores":8.0,`, ""),
		"null field":               change(`"dono":"vision"`, `"dono":null`),
		"wrong type":               change(`"pecas":16`, `"pecas":"16"`),
		"fraction":                 change(`"pecas":16`, `"pecas":1.5`),
		"no tasks":                 change(`"pecas":16`, `"pecas":0`),
		"too many tasks":           change(`"pecas":16`, `"pecas":100001`),
		"unknown kind":             change(`"batch"`, `"other"`),
		"unknown priority":         change(`"urgent"`, `"high"`),
		"bad id":                   change(`"j-000412"`, `"412"`),
		"id with a slash":          change(`"j-000412"`, `"j-1/2"`),
		"negative":                 change(`"cores":8.0`, `"cores":-1`),
		"negative deadline":        change(`"prazoS":900.0`, `"prazoS":-1`),
		"dependencies are no list": change(`"prazoS"`, `"aguarda":"j-1","prazoS"`),
		"dependency is a number":   change(`"prazoS"`, `"aguarda":[1],"prazoS"`),
		"dependency is null":       change(`"prazoS"`, `"aguarda":["j-1",null],"prazoS"`),
		"dependency is no job id":  change(`"prazoS"`, `"aguarda":["1"],"prazoS"`),
		"too large":                change(`"x":1`, `"x":"`+strings.Repeat("a", MaxBodyBytes)+`"`),
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := ParseJob([]byte(body)); err == nil {
				t.Error("invalid submission is accepted, want an error")
			}
		})
	}
}

// A submission without dependencies may contain null or an empty list. A job that the list (aguarda on the
// wire) names twice must count as one dependency.
func TestParseJobDependencies(t *testing.T) {
	for _, c := range []struct{ name, list, want string }{
		{"null", "null", ""},
		{"empty", "[]", ""},
		{"a job named twice counts once", `["j-2","j-1","j-2"]`, "j-2 j-1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			job, err := ParseJob([]byte(changeSubmission(t, `"prazoS"`, `"aguarda":`+c.list+`,"prazoS"`)))
			if err != nil || strings.Join(job.Dependencies, " ") != c.want {
				t.Errorf("dependency list %s: got job %+v, error %v; want dependencies %q", c.list, job, err, c.want)
			}
		})
	}
}

// An error must carry the name of the invalid field, even if the error text does not contain it. The
// texts must stay as they are, as users get them in responses.
func TestParseJobErrors(t *testing.T) {
	for _, c := range []struct{ old, new, field, text string }{
		{`"pecas":16,`, ``, "pecas", "pecas: missing"},
		{`"lote":"train"`, `"lote":""`, "lote", "lote: empty"},
		{`"urgent"`, `"high"`, "vez", "vez: unknown"},
		{`"prazoS":900.0`, `"prazoS":-1`, "prazoS", "prazoS: negative"},
		{`"cores":8.0`, `"cores":-1`, "cores", "an amount is negative"},
		{`"guardaS":4.0`, `"guardaS":-1`, "guardaS", "an amount is negative"},
		{`"pecas":16`, `"pecas":"16"`, "", "a field has the wrong type"},
	} {
		t.Run(c.new, func(t *testing.T) {
			_, err := ParseJob([]byte(changeSubmission(t, c.old, c.new)))
			if err == nil || err.Error() != c.text {
				t.Fatalf("submission with %s for %s: got error %v, want %s", c.new, c.old, err, c.text)
			}
			field := ""
			var invalid *InvalidFieldError
			var negative *NegativeAmountError
			var body *InvalidBodyError
			switch {
			case errors.As(err, &invalid):
				field = invalid.Field
			case errors.As(err, &negative):
				field = negative.Field
			case !errors.As(err, &body) || body.Err == nil:
				t.Errorf("got an error of type %T, want an InvalidBodyError with the error of the decoder", err)
			}
			if field != c.field {
				t.Errorf("field named by the error: got %q, want %q", field, c.field)
			}
		})
	}
}
