package protocol

import (
	"fmt"
	"net/url"
	"strings"

	"github.com/segmentio/encoding/json"
)

// CloudError says why an answer can't be the cloud's.
type CloudError struct {
	Call   string // method and path
	Reason string
}

func (e *CloudError) Error() string { return e.Call + ": " + e.Reason }

// CheckCloudAnswer tells whether the cloud can have given an answer of 200: one that was cut
// short or that contradicts itself is treated as no answer.
func CheckCloudAnswer(method, path string, status int, body []byte) error {
	if status != 200 {
		return nil
	}
	reason := ""
	switch {
	case path == "/catalog":
		reason = checkCatalog(body)
	case path == "/hosts" && method == "POST":
		reason = checkNames(body)
	case strings.HasPrefix(path, "/hosts?"):
		reason = checkHosts(path, body)
	}
	if reason == "" {
		return nil
	}
	return &CloudError{Call: method + " " + path, Reason: reason}
}

func checkCatalog(body []byte) string {
	var catalog Catalog
	if json.Unmarshal(body, &catalog) != nil || len(catalog.Usable()) == 0 {
		return "no machine type that can be used"
	}
	return ""
}

func checkNames(body []byte) string {
	var names MachineNames
	if json.Unmarshal(body, &names) != nil {
		return "not a list of machines"
	}
	for _, name := range names.Machines {
		if name == "" {
			return "a machine without a name"
		}
	}
	return ""
}

// checkHosts looks for machines in order and beyond where the page begins: a page that does
// not advance would be asked for again and again.
func checkHosts(path string, body []byte) string {
	var list HostList
	if json.Unmarshal(body, &list) != nil {
		return "not a list of machines"
	}
	_, query, _ := strings.Cut(path, "?")
	values, err := url.ParseQuery(query)
	if err != nil {
		return err.Error()
	}
	last := values.Get("since")
	for _, host := range list.Machines {
		if host.UID <= last {
			return fmt.Sprintf("machine %q after %q", host.UID, last)
		}
		last = host.UID
	}
	if list.Truncated && len(list.Machines) == 0 {
		return "cut off before the first machine"
	}
	return ""
}

// The least that is believed of a machine type. Prices and rates are divided by, so that a
// type that is given away, or that never fetches an image, would spoil every comparison.
const (
	leastPrice   = 1e-6
	leastPullGBs = 1e-3
)

// Usable lists the types of the catalogue that can hold a task.
func (c *Catalog) Usable() []MachineType {
	var usable []MachineType
	for _, t := range c.Types {
		if t.Name == "" || !(t.Cores > 0) || !(t.RAM > 0) || t.Accelerators < 0 {
			continue
		}
		t.Rate, t.SpotRate = max(t.Rate, leastPrice), max(t.SpotRate, leastPrice)
		t.PullGBPerS = max(t.PullGBPerS, leastPullGBs)
		t.CacheGB, t.ReadyS = max(t.CacheGB, 0), max(t.ReadyS, 0)
		usable = append(usable, t)
	}
	return usable
}
