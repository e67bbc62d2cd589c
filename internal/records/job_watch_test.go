package records

import (
	"strings"
	"testing"
	"time"

	"hitchdoor/internal/storage"
)

// newTestWatch returns a watch that has sent its first long poll.
func newTestWatch() (*JobWatch, *testHost) {
	host := &testHost{}
	jobs := &Jobs{Access: NewAccess(nil, nil, nil, host)}
	watch := NewJobWatch(NewLoader(host, nil, jobs), host, host)
	watch.Tick()
	return watch, host
}

// isJobListing reports whether a request lists the open jobs from the first one.
func isJobListing(request storeRequest) bool {
	return request.method == "GET" && request.path == storage.ListPath(storage.JobPrefix, "", MaxPageItems)
}

// A watch continues at the revision of the last events, with one long poll at a time.
func TestJobWatchContinuesAtRevision(t *testing.T) {
	watch, host := newTestWatch()
	watch.Tick()
	if len(host.requests) != 1 {
		t.Fatalf("%d long polls at a time", len(host.requests))
	}
	deletion := storage.WatchEvent{DeletedKey: storage.JobKey("j-1")}
	host.respond(200, storage.WatchResponse{Revision: 12, Events: []storage.WatchEvent{deletion}})
	watch.Tick()
	if want := storage.WatchPath(storage.JobPrefix, 12, (host.WorkerLease() / 2).Milliseconds()); host.last().path != want {
		t.Fatalf("watched %s, want %s", host.last().path, want)
	}
}

// The pause after a watch that returned early without anything new doubles, up to a limit.
func TestJobWatchPausesWithoutEvents(t *testing.T) {
	watch, host := newTestWatch()
	base := host.WorkerLease() / 100
	for i, want := range []time.Duration{2 * base, 4 * base, 8 * base, 16 * base, 16 * base} {
		host.respond(200, storage.WatchResponse{})
		watch.Tick()
		if len(host.requests) != i+1 || len(host.delayedCalls) != i+1 || host.delayedCalls[i].delay != want {
			t.Fatalf("%d requests, delayed calls %v; want the pause %v", len(host.requests), host.delayedCalls, want)
		}
		host.delayedCalls[i].run()
		watch.Tick()
	}
}

// The open jobs are listed again after a compaction, and after the second failure in a row.
func TestJobWatchListsJobsAgain(t *testing.T) {
	cases := []struct {
		name        string
		statuses    []int // of the long polls
		wantListing bool
	}{
		{"compacted", []int{410}, true},
		{"first failure", []int{500}, false},
		{"second failure", []int{500, 0}, true},
		{"unavailable twice", []int{503, 503}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			watch, host := newTestWatch()
			for i, status := range c.statuses {
				host.respond(status, nil)
				if i < len(c.statuses)-1 {
					host.delayedCalls[i].run()
					watch.Tick()
				}
			}
			if got := isJobListing(host.last()); got != c.wantListing {
				t.Fatalf("last request %s: listing %v, want %v", host.last().path, got, c.wantListing)
			}
			if c.wantListing {
				host.respond(200, storage.ListResponse{Revision: 40})
				host.delayedCalls[len(host.delayedCalls)-1].run()
				watch.Tick()
				if !strings.Contains(host.last().path, "40") || watch.loader.JobsRevision() != 40 {
					t.Fatalf("watched %s after a listing at revision 40", host.last().path)
				}
			}
		})
	}
}
