package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// status is the answer to a user.
type status struct {
	UID      string `json:"uid"`
	Situacao string `json:"situacao"`
	Done     int    `json:"done"`
	Running  int    `json:"running"`
}

// users send requests of users to nodes.
type users struct {
	record *record
	client *http.Client
}

func newUsers(rec *record) *users {
	return &users{record: rec, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

// send sends one request. The code is 0 if there is no answer within the limit.
func (u *users) send(method, address, path string, body []byte, limit time.Duration) (int, status, string) {
	client := *u.client
	client.Timeout = limit
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, status{}, ""
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		u.record.line("user %s %s at %s: no answer", method, path, address)
		return 0, status{}, ""
	}
	defer response.Body.Close()
	raw, _ := io.ReadAll(response.Body)
	var answer status
	json.Unmarshal(raw, &answer)
	u.record.line("user %s %s at %s: %d %.200s", method, path, address, response.StatusCode, raw)
	return response.StatusCode, answer, string(raw)
}

// job is a submission.
type job map[string]any

// newJob returns a submission of n tasks.
func newJob(id string, n int, cores float64, seconds float64) job {
	return job{"uid": id, "lote": "render-catalogo", "dono": "plataforma-loja", "feitio": "batch", "vez": "standard", "pecas": n,
		"cores": cores, "accelerators": 0.0, "ramGb": 1.0, "molde": "img-07", "pullGb": 0.5, "portes": nil, "praca": nil,
		"samePlace": false, "apart": false, "avulsas": true, "previstoS": seconds, "marcoS": 0.0, "guardaS": 0.0, "prazoS": nil}
}

// submit repeats a submission at the nodes in turn until it is accepted or a minute has passed.
func (u *users) submit(p *platform, nodes []*node, j job) bool {
	p.upload(j)
	raw, _ := json.Marshal(j)
	for i, deadline := 0, time.Now().Add(time.Minute); time.Now().Before(deadline); i++ {
		code, _, _ := u.send("POST", nodes[i%len(nodes)].client, "/work", raw, 5*time.Second)
		switch code {
		case 200, 201:
			return true
		case 400, 422:
			return false
		}
		time.Sleep(time.Second)
	}
	return false
}

// cancel repeats a cancellation until it is answered.
func (u *users) cancel(nodes []*node, id string, limit time.Duration) string {
	for i, deadline := 0, time.Now().Add(limit); time.Now().Before(deadline); i++ {
		code, answer, _ := u.send("POST", nodes[i%len(nodes)].client, "/work/"+id+"/cancel", nil, 5*time.Second)
		if code == 200 {
			return answer.Situacao
		}
		time.Sleep(time.Second)
	}
	return ""
}
