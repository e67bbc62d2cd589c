package main

import (
	"fmt"
	"time"
)

// duplicates returns the tasks that started on a machine while they were on another one.
func (p *platform) duplicates() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	on, found := map[string]map[string]bool{}, []string(nil)
	for _, e := range p.events {
		if on[e.task] == nil {
			on[e.task] = map[string]bool{}
		}
		if e.kind == "start" {
			if len(on[e.task]) > 0 {
				found = append(found, fmt.Sprintf("%s on %s", e.task, e.machine))
			}
			on[e.task][e.machine] = true
		} else {
			delete(on[e.task], e.machine)
		}
	}
	return found
}

// misplaced returns the starts that a job's constraints don't allow.
func (p *platform) misplaced() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	zones, found := map[string]map[string]string{}, []string(nil) // zone by task, by job
	for _, e := range p.events {
		id := jobOf(e.task)
		j := p.jobs[id]
		if zones[id] == nil {
			zones[id] = map[string]string{}
		}
		if e.kind != "start" {
			delete(zones[id], e.task)
			continue
		}
		inZone, elsewhere := 0, 0
		for _, zone := range zones[id] {
			if zone == e.praca {
				inZone++
			} else {
				elsewhere++
			}
		}
		n := j["pecas"].(int)
		if j["samePlace"].(bool) && elsewhere > 0 || j["apart"].(bool) && inZone+1 > (n+1)/2 || e.avulsas && !j["avulsas"].(bool) {
			found = append(found, fmt.Sprintf("%s on %s in %s", e.task, e.machine, e.praca))
		}
		zones[id][e.task] = e.praca
	}
	return found
}

// teamPeak returns the most cores that tasks of a team used at once.
func (p *platform) teamPeak(team string) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	used, peak := 0.0, 0.0
	for _, e := range p.events {
		j := p.jobs[jobOf(e.task)]
		if j["dono"] != team {
			continue
		}
		if e.kind == "start" {
			used += j["cores"].(float64)
		} else {
			used -= j["cores"].(float64)
		}
		peak = max(peak, used)
	}
	return peak
}

// afterCancel returns the starts of a job's tasks later than the limit after a time, and tasks still on a machine then.
func (p *platform) afterCancel(id string, told time.Time, limit time.Duration) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	on, found := map[string]bool{}, []string(nil)
	for _, e := range p.events {
		if jobOf(e.task) != id {
			continue
		}
		if e.kind == "start" {
			on[e.task] = true
			if e.at.After(told.Add(limit)) {
				found = append(found, "start of "+e.task)
			}
		} else {
			delete(on, e.task)
			if e.at.After(told.Add(limit)) {
				found = append(found, "late end of "+e.task)
			}
		}
	}
	if time.Now().After(told.Add(limit)) {
		for id := range on {
			found = append(found, "still on a machine: "+id)
		}
	}
	return found
}
