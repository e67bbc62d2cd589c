package main

import (
	"encoding/json"
	"time"
)

// types plays the case of a submission with an empty list of allowed machine types.
func types(rec *record, trouble bool) int {
	c, p, store, ok := setUp(rec, cavalcanti(), func(p *platform) {
		p.types = []machineType{saveiro()}
		p.capacity[offering{"saveiro", "boa-viagem", true}] = 1
	})
	defer tearDown(c, p, store)
	if !ok {
		return cannot
	}
	u := newUsers(rec)
	j := fleetJob("j-000001", "saude-baterias", "standard", 2, 1, 1.7, 5)
	j["portes"] = []string{"saveiro"}
	if trouble {
		j["portes"] = []string{}
	}
	p.upload(j)
	raw, _ := json.Marshal(j)
	rec.line("user sends %s", raw)
	code := 0
	waitUntil(30*time.Second, func() bool {
		code, _, _ = u.send("POST", c.nodes[0].client, "/work", raw, 5*time.Second)
		return code == 201 || code == 200 || code == 400 || code == 422
	})
	switch {
	case code == 400 || code == 422:
		return held
	case code != 201 && code != 200:
		return cannot
	}
	waitUntil(30*time.Second, func() bool { return p.allCompleted("j-000001") })
	u.send("GET", c.nodes[0].client, "/work/j-000001", nil, 2*time.Second)
	if all, _ := p.startsOf("j-000001", time.Time{}); trouble && all > 0 {
		rec.line("broken: %d starts of a job that allows no machine type", all)
		return broken
	}
	if !trouble && !p.allCompleted("j-000001") {
		return cannot
	}
	return held
}

func init() { cases["types"] = types }
