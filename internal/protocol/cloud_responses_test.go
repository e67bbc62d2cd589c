package protocol

import (
	"errors"
	"fmt"
	"testing"
)

// What the cloud can't have answered is told from what it can.
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
				t.Errorf("%s %s: %d %s: %v", c.method, c.path, c.status, c.body, err)
			}
		})
	}
}

// A type that is given away, or that never fetches an image, stays, with figures that can
// be divided by; one that holds no task does not.
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
		t.Fatalf("%d types can be used, not 3", len(usable))
	}
	for _, machineType := range usable {
		if !(machineType.PricePerCore(true) > 0) || !(machineType.PricePerCore(false) > 0) ||
			!(machineType.PullGBPerSecond > 0) {
			t.Errorf("%+v", machineType)
		}
	}
}
