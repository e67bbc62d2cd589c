// Package protocol holds the messages of every interface and their checks.
package protocol

import (
	"errors"
	"regexp"
	"slices"
	"strconv"
	"time"

	"github.com/segmentio/encoding/json"
)

// Limits of the wire.
const (
	MaxBody  = 64 << 10
	MaxTasks = 100_000
	// ReportTimeout is how long a worker waits for the answer to a report; it drops a later one.
	ReportTimeout = 4 * time.Second
	// NextNodePause is after what time a worker that got no answer tries the next node.
	NextNodePause = time.Second
	// RetrySpan is for how long users repeat a submission that was not taken.
	RetrySpan = 60 * time.Second
)

// States of a job.
const (
	Queued    = "queued"
	Running   = "running"
	Done      = "done"
	Withdrawn = "withdrawn"
)

// States of a task on a machine.
const (
	TaskFetching = "fetching"
	TaskRunning  = "running"
	TaskSaving   = "saving"
	TaskExited   = "exited"
)

// Why a task exited.
const (
	WhyDone    = "done"
	WhyHalted  = "halted"
	WhyError   = "error"
	WhyFull    = "full"
	WhyInUse   = "in_use"
	WhyUnknown = "unknown"
)

// Commands to a worker.
const (
	OpStart  = "start"
	OpStop   = "stop"
	OpForget = "forget"
)

// Job is a submission.
type Job struct {
	UID          string   `json:"uid"`
	Class        string   `json:"lote"`
	Team         string   `json:"dono"`
	Kind         string   `json:"feitio"`
	Priority     string   `json:"vez"`
	Tasks        int      `json:"pecas"`
	Cores        float64  `json:"cores"`
	Accelerators float64  `json:"accelerators"`
	RAM          float64  `json:"ramGb"`
	Image        string   `json:"molde"`
	ImageGB      float64  `json:"pullGb"`
	Types        []string `json:"portes"`
	Zone         string   `json:"praca"`
	SameZone     bool     `json:"samePlace"`
	Spread       bool     `json:"apart"`
	Spot         bool     `json:"avulsas"`
	EstimateS    float64  `json:"previstoS"`
	CheckpointS  float64  `json:"marcoS"`
	SaveS        float64  `json:"guardaS"`
	DeadlineS    *float64 `json:"prazoS"`
	// Needs are the jobs that have to be done before any task of this one starts,
	// each named once.
	Needs []string `json:"aguarda,omitempty"`
}

var jobID = regexp.MustCompile(`^j-[0-9A-Za-z][0-9A-Za-z._-]{0,99}$`)

// ValidJobID tells whether an id has the form that every job id has.
func ValidJobID(id string) bool { return jobID.MatchString(id) }

// Ranks of the priorities, most pressing first.
var ranks = map[string]int{"prod": 0, "urgent": 1, "standard": 2, "low": 3}

// PriorityOf names the priority of a rank.
func PriorityOf(rank int) string {
	for priority, r := range ranks {
		if r == rank {
			return priority
		}
	}
	return "unknown"
}

// Rank orders priorities; a smaller rank passes ahead.
func (j *Job) Rank() int { return ranks[j.Priority] }

// required are the fields of a submission that can't be null, and so can't be omitted.
var required = []string{"uid", "lote", "dono", "feitio", "vez", "pecas", "cores", "accelerators", "ramGb", "molde",
	"pullGb", "samePlace", "apart", "avulsas", "previstoS", "marcoS", "guardaS"}

// ParseJob reads a submission and checks all that needs no settings. Any error
// means 400.
func ParseJob(body []byte) (*Job, error) {
	if len(body) > MaxBody {
		return nil, errors.New("body over 64 KiB")
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil || fields == nil {
		return nil, errors.New("not a JSON object")
	}
	for _, name := range required {
		if raw, ok := fields[name]; !ok || string(raw) == "null" {
			return nil, errors.New(name + ": missing")
		}
	}
	var j Job
	if err := json.Unmarshal(body, &j); err != nil {
		return nil, errors.New("a field has the wrong type")
	}
	if err := j.Check(); err != nil {
		return nil, err
	}
	named := make(map[string]bool, len(j.Needs))
	j.Needs = slices.DeleteFunc(j.Needs, func(id string) bool {
		again := named[id]
		named[id] = true
		return again
	})
	return &j, nil
}

// Check tells what is impossible about a job, whatever the settings are.
func (j *Job) Check() error {
	_, knownRank := ranks[j.Priority]
	switch {
	case !ValidJobID(j.UID):
		return errors.New("uid: not a job id")
	case j.Class == "":
		return errors.New("lote: empty")
	case j.Team == "":
		return errors.New("dono: empty")
	case j.Kind != "batch":
		return errors.New("feitio: unknown")
	case !knownRank:
		return errors.New("vez: unknown")
	case j.Tasks < 1 || j.Tasks > MaxTasks:
		return errors.New("pecas: must be 1 to 100,000")
	case !(j.Cores >= 0) || !(j.Accelerators >= 0) || !(j.RAM >= 0) || !(j.ImageGB >= 0) ||
		!(j.EstimateS >= 0) || !(j.CheckpointS >= 0) || !(j.SaveS >= 0):
		return errors.New("an amount is negative")
	case j.DeadlineS != nil && !(*j.DeadlineS >= 0):
		return errors.New("prazoS: negative")
	case slices.ContainsFunc(j.Needs, func(id string) bool { return !ValidJobID(id) }):
		return errors.New("aguarda: not a list of job ids")
	}
	return nil
}

// JobState is the answer to a submission, a query and a cancellation.
type JobState struct {
	UID     string `json:"uid"`
	State   string `json:"situacao"`
	Done    *int   `json:"done,omitempty"`
	Running *int   `json:"running,omitempty"`
}

// Report is what a worker says of itself.
type Report struct {
	Machine      string       `json:"maquina"`
	Address      string       `json:"address"`
	Type         string       `json:"porte"`
	Zone         string       `json:"praca"`
	Spot         bool         `json:"avulsas"`
	Session      uint64       `json:"turno"`
	Seq          uint64       `json:"contagem"`
	FencingToken uint64       `json:"bastao"`
	NoticeS      *float64     `json:"avisoS"`
	Tasks        []TaskReport `json:"pecas"`
}

// TaskReport is one task in a report.
type TaskReport struct {
	Task    string `json:"peca"`
	Attempt uint64 `json:"tentativa"`
	State   string `json:"situacao"`
	Why     string `json:"motivo,omitempty"`
	Saved   bool   `json:"saved,omitempty"`
}

// ParseReport reads a worker's report.
func ParseReport(body []byte) (*Report, error) {
	var r Report
	if err := json.Unmarshal(body, &r); err != nil {
		return nil, err
	}
	if r.Machine == "" || r.Session == 0 { // the least that tells one report from another
		return nil, errors.New("report without machine or session")
	}
	return &r, nil
}

// TaskKey is the name of a job's task, by its number.
func TaskKey(job string, index int) string { return job + "/" + strconv.Itoa(index) }

// Command tells a worker what to do with a task.
type Command struct {
	Op      string   `json:"ordem"`
	Task    string   `json:"peca"`
	Attempt uint64   `json:"tentativa"`
	GraceS  *float64 `json:"folgaS,omitempty"`
}

// ReportAnswer is the 200 to a report.
type ReportAnswer struct {
	FencingToken uint64    `json:"bastao"`
	Commands     []Command `json:"ordens"`
}

// Redirect is the 421 to a report.
type Redirect struct {
	ReportTo string `json:"reportaA,omitempty"`
}

// MachineType is one entry of the cloud's catalogue.
type MachineType struct {
	Name         string   `json:"sku"`
	Cores        float64  `json:"cores"`
	Accelerators float64  `json:"accelerators"`
	RAM          float64  `json:"ramGb"`
	CacheGB      float64  `json:"cacheGb"`
	PullGBPerS   float64  `json:"pullGbPerS"`
	Rate         float64  `json:"rate"`
	SpotRate     float64  `json:"marketPrice"`
	ReadyS       float64  `json:"readyS"`
	Zones        []string `json:"pracas"`
}

// Price is the machine's present price per hour.
func (t *MachineType) Price(spot bool) float64 {
	if spot {
		return t.SpotRate
	}
	return t.Rate
}

// PerCore is the machine's present price per core and hour.
func (t *MachineType) PerCore(spot bool) float64 { return t.Price(spot) / t.Cores }

// Catalog is the answer of the cloud's /catalog.
type Catalog struct {
	Types []MachineType `json:"portes"`
}

// Rental asks the cloud for machines.
type Rental struct {
	Request string `json:"pedido"`
	Type    string `json:"porte"`
	Zone    string `json:"praca"`
	Spot    bool   `json:"avulsas"`
	Count   int    `json:"count"`
}

// MachineNames is the answer to a rental and the body of a return.
type MachineNames struct {
	Machines []string `json:"maquinas"`
}

// HostList is one page of the cloud's machine list.
type HostList struct {
	Machines  []Host `json:"maquinas"`
	Truncated bool   `json:"truncated"`
}

// HostFailed is the state of a machine that has stopped on its own.
const HostFailed = "failed"

// Host is one machine of the list.
type Host struct {
	UID     string  `json:"uid"`
	Address string  `json:"address"`
	Type    string  `json:"porte"`
	Zone    string  `json:"praca"`
	Spot    bool    `json:"avulsas"`
	State   string  `json:"situacao"`
	HeldS   float64 `json:"heldS"`
}
