package main

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"
)

// job is what a user submits, with what was answered.
type job struct {
	body  map[string]any
	spec  *jobSpec
	id    string
	needs []string
	first *job // the job that it needs; nil: none

	mu         sync.Mutex
	acceptedAt time.Time
	final      string // done or withdrawn, once a user was told
	finalAt    time.Time
	cancelAsk  time.Time
}

// users submit, poll and cancel, and note the answers that break a rule.
type users struct {
	f   *fleet
	c   *cluster
	rec *record

	// closeLooks: ask all controllers at once whenever a job was accepted or has ended.
	closeLooks bool

	mu     sync.Mutex
	broken []string
}

func (u *users) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	u.mu.Lock()
	u.broken = append(u.broken, text)
	u.mu.Unlock()
	u.rec.printf("BROKEN %s", text)
}

// newJob returns a submission with the usual fields.
func newJob(id, class, team string, tasks int, cores, run float64) *job {
	spec := &jobSpec{id: id, team: team, tasks: tasks, cores: cores, pull: 0.5, run: []float64{run}}
	return &job{id: id, spec: spec, body: map[string]any{"uid": id, "lote": class, "dono": team, "feitio": "batch",
		"vez": "standard", "pecas": tasks, "cores": cores, "accelerators": 0.0, "ramGb": 1.0, "molde": "img-1",
		"pullGb": 0.5, "portes": nil, "praca": nil, "samePlace": false, "apart": false, "avulsas": true,
		"previstoS": run, "marcoS": 0.0, "guardaS": 0.0, "prazoS": nil}}
}

type situation struct {
	UID      string `json:"uid"`
	Situacao string `json:"situacao"`
	Done     int    `json:"done"`
	Running  int    `json:"running"`
}

// told checks one answer about a job. asked is when the request was sent.
func (u *users) told(j *job, by, what string, status int, raw string, asked time.Time) string {
	var s situation
	json.Unmarshal([]byte(raw), &s)
	j.mu.Lock()
	defer j.mu.Unlock()
	accepted := !j.acceptedAt.IsZero() && asked.After(j.acceptedAt)
	switch {
	case status == 404 && accepted && what != "cancel":
		u.breaks("forgotten: %s of %s at %s gets 404", what, j.id, by)
	case (status == 400 || status == 422) && accepted:
		u.breaks("forgotten: %s of %s at %s gets %d", what, j.id, by, status)
	}
	if status != 200 && status != 201 {
		return ""
	}
	if s.UID != j.id {
		u.breaks("foreign answer: %s of %s at %s names %q", what, j.id, by, s.UID)
	}
	if j.final != "" && asked.After(j.finalAt) && s.Situacao != j.final {
		u.breaks("went_back: %s of %s at %s says %s after %s", what, j.id, by, s.Situacao, j.final)
	}
	if first := j.first; first != nil && (s.Situacao == "queued" || s.Situacao == "running") {
		first.mu.Lock()
		cancelled := first.final == "withdrawn" && asked.Sub(first.finalAt).Seconds() > u.f.s.cancelS
		first.mu.Unlock()
		if cancelled {
			u.breaks("orphaned: %s is called %s by %s more than %v s after the cancellation of %s", j.id, s.Situacao, by,
				u.f.s.cancelS, first.id)
		}
	}
	if s.Situacao == "done" && u.f.doneTasks(j.id, j.spec.tasks) < j.spec.tasks {
		u.breaks("not_done: %s is called done by %s with %d of %d tasks done", j.id, by, u.f.doneTasks(j.id, j.spec.tasks), j.spec.tasks)
	}
	if j.acceptedAt.IsZero() {
		j.acceptedAt = time.Now()
		u.lookClosely(j)
	}
	if j.final == "" && (s.Situacao == "done" || s.Situacao == "withdrawn") {
		j.final, j.finalAt = s.Situacao, time.Now()
		u.lookClosely(j)
		if s.Situacao == "withdrawn" {
			u.f.mu.Lock()
			u.f.cancelled[j.id] = time.Now()
			u.f.mu.Unlock()
		}
	}
	return s.Situacao
}

// submit sends a submission until it is accepted, as the pages say, for up to limit.
func (u *users) submit(j *job, node int, limit time.Duration) bool {
	u.f.upload(j.spec)
	raw := submission(j.body)
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(time.Second) {
		m := u.c.controllers[node%len(u.c.controllers)]
		node++
		asked := time.Now()
		status, body := m.call("POST", "/work", raw, 5*time.Second)
		u.rec.printf("submit %s at %s: %d %s", j.id, m.name, status, body)
		u.told(j, m.name, "submission", status, body, asked)
		switch status {
		case 200, 201:
			return true
		case 400, 422:
			return false
		}
	}
	return false
}

// poll asks one controller about a job.
func (u *users) poll(j *job, node int) string {
	m := u.c.controllers[node%len(u.c.controllers)]
	asked := time.Now()
	status, body := m.call("GET", "/work/"+j.id, nil, 2*time.Second)
	u.rec.printf("poll %s at %s: %d %s", j.id, m.name, status, body)
	return u.told(j, m.name, "poll", status, body, asked)
}

// cancel repeats a cancellation until it is answered.
func (u *users) cancel(j *job, node int, limit time.Duration) string {
	j.mu.Lock()
	j.cancelAsk = time.Now()
	j.mu.Unlock()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(time.Second) {
		m := u.c.controllers[node%len(u.c.controllers)]
		node++
		asked := time.Now()
		status, body := m.call("POST", "/work/"+j.id+"/cancel", nil, 5*time.Second)
		u.rec.printf("cancel %s at %s: %d %s", j.id, m.name, status, body)
		if s := u.told(j, m.name, "cancel", status, body, asked); s == "withdrawn" || s == "done" {
			return s
		}
	}
	return ""
}

// submission encodes a submission. Its fields come in no particular order on the wire; here those that
// begin with a capital letter, which the pages don't name, come last.
func submission(body map[string]any) []byte {
	known, unknown := map[string]any{}, map[string]any{}
	for name, value := range body {
		if name[0] >= 'A' && name[0] <= 'Z' {
			unknown[name] = value
		} else {
			known[name] = value
		}
	}
	raw, _ := json.Marshal(known)
	if len(unknown) > 0 {
		more, _ := json.Marshal(unknown)
		raw = append(append(raw[:len(raw)-1], ','), more[1:]...)
	}
	return raw
}

// lookClosely asks all controllers about a job, and repeats its submission, within milliseconds.
func (u *users) lookClosely(j *job) {
	if !u.closeLooks {
		return
	}
	for node := range u.c.controllers {
		go func() {
			for range 4 {
				u.poll(j, node)
			}
		}()
		go func() {
			m := u.c.controllers[node]
			asked := time.Now()
			status, body := m.call("POST", "/work", submission(j.body), 5*time.Second)
			u.told(j, m.name, "submission", status, body, asked)
		}()
	}
}
