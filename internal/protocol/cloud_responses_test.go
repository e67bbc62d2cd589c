package protocol

import (
	"errors"
	"fmt"
	"testing"
)

// A truncated or inconsistent response must be told from a valid one. Otherwise, for example, a page of
// the machine list that does not advance would make the caller request it forever.
func TestCheckCloudResponse(t *testing.T) {
	const page = "/hosts?limit=500&since=m-000004"
	for _, c := range []struct {
		method, path string
		status       int
		body         string
		valid        bool
	}{
		{"GET", "/catalog", 200, `{"portes":[{"sku":"c4","cores":4,"ramGb":16}]}`, true},
		{"GET", "/catalog", 200, `{"portes":[{"sku":"c4","cores":0,"ramGb":16}]}`, false},
		{"GET", "/catalog", 200, `{"portes":[]}`, false},
		{"GET", "/catalog", 200, `{"por`, false},
		{"GET", "/catalog", 503, ``, true},
		{"POST", "/hosts", 200, `{"maquinas":["m-000001"]}`, true},
		{"POST", "/hosts", 200, `{"maquinas":[]}`, true},
		{"POST", "/hosts", 200, `{"maquinas":["m-000001",""]}`, false},
		{"POST", "/hosts", 200, `[]`, false},
		{"POST", "/hosts", 503, `{"error":"no capacity"}`, true},
		{"POST", "/hosts/return", 200, ``, true},
		{"GET", page, 200, `{"maquinas":[{"uid":"m-000005"},{"uid":"m-000006"}],"truncated":true}`, true},
		{"GET", page, 200, `{"maquinas":[],"truncated":false}`, true},
		{"GET", page, 200, `{"maquinas":[],"truncated":true}`, false},
		{"GET", page, 200, `{"maquinas":[{"uid":"m-000004"}]}`, false},
		{"GET", page, 200, `{"maquinas":[{"uid":"m-000005"},{"uid":"m-000005"}]}`, false},
		{"GET", page, 200, `{"maquinas":[{"uid":""}]}`, false},
		{"GET", page, 200, `<html>`, false},
	} {
		t.Run(fmt.Sprintf("%s %s %d %s", c.method, c.path, c.status, c.body), func(t *testing.T) {
			err := CheckCloudResponse(c.method, c.path, c.status, []byte(c.body))
			var invalid *CloudResponseError
			if (err == nil) != c.valid || err != nil && !errors.As(err, &invalid) {
				t.Errorf("%s %s: %d %s: got error %v; valid: want %v", c.method, c.path, c.status, c.body, err, c.valid)
			}
		})
	}
}

// A machine type without a price or a pull rate must stay usable, with positive amounts instead, because
// prices and pull rates are used as divisors. A type that can't hold a task, or has no name, must be left out.
func TestUsableTypes(t *testing.T) {
	valid := MachineType{Name: "c4", Cores: 4, MemoryGB: 16, PullGBPerSecond: 1, OnDemandPrice: 1, SpotPrice: 0.5}
	free, withoutPullRate, withoutCores, nameless := valid, valid, valid, valid
	free.OnDemandPrice, free.SpotPrice = -1, 0
	withoutPullRate.PullGBPerSecond = 0
	withoutCores.Cores = 0
	nameless.Name = ""
	catalog := Catalog{Types: []MachineType{valid, free, withoutPullRate, withoutCores, nameless}}
	usable := catalog.UsableTypes()
	if len(usable) != 3 {
		t.Fatalf("usable machine types: got %d, want 3", len(usable))
	}
	for _, machineType := range usable {
		if !(machineType.PricePerCore(true) > 0) || !(machineType.PricePerCore(false) > 0) ||
			!(machineType.PullGBPerSecond > 0) {
			t.Errorf("machine type %+v: want all prices and the pull rate above 0", machineType)
		}
	}
}
