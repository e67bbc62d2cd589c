package records

import (
	"strings"
	"testing"
	"time"

	"hitchdoor/internal/storage"
)

// newTestWatch returns a watch that has sent its first long poll, and its host.
func newTestWatch() (*JobWatch, *testHost) {
	host := &testHost{}
	jobs := &Jobs{Access: NewAccess(nil, nil, nil, host)}
	watch := NewJobWatch(NewLoader(host, nil, jobs), host, host)
	watch.Tick()
	return watch, host
}

// isJobListing reports whether a request is for the first page of the open jobs.
func isJobListing(request storeRequest) bool {
	return request.method == "GET" && request.path == storage.ListPath(storage.JobPrefix, "", MaxPageItems)
}

// Guards against several concurrent long polls, and against a watch that repeats or misses events: the
// next long poll must start at the revision of the last response, even if its events contain no job.
func TestJobWatchContinuesAtRevision(t *testing.T) {
	watch, host := newTestWatch()
	watch.Tick()
	if len(host.requests) != 1 {
		t.Fatalf("long polls after two ticks without a response: got %d, want 1", len(host.requests))
	}
	deletion := storage.WatchEvent{DeletedKey: storage.JobKey("j-1")}
	host.respond(200, storage.WatchResponse{Revision: 12, Events: []storage.WatchEvent{deletion}})
	watch.Tick()
	if want := storage.WatchPath(storage.JobPrefix, 12, (host.WorkerLease() / 2).Milliseconds()); host.last().path != want {
		t.Fatalf("path of the next long poll: got %s, want %s", host.last().path, want)
	}
}

// Guards against a busy loop of long polls that are answered early without anything new: the pause
// after each of them must double, up to a limit.
func TestJobWatchPausesWithoutEvents(t *testing.T) {
	watch, host := newTestWatch()
	base := host.WorkerLease() / 100
	for i, want := range []time.Duration{2 * base, 4 * base, 8 * base, 16 * base, 16 * base} {
		host.respond(200, storage.WatchResponse{})
		watch.Tick()
		if len(host.requests) != i+1 || len(host.delayedCalls) != i+1 || host.delayedCalls[i].delay != want {
			t.Fatalf("after early response %d: %d requests, delayed calls %v; want as many of each, the last delay %v",
				i+1, len(host.requests), host.delayedCalls, want)
		}
		host.delayedCalls[i].run()
		watch.Tick()
	}
}

// Guards against a watch that never loads newly accepted jobs, because the store has compacted its
// revision or its events are too large for one response. The open jobs must be listed again after a
// compaction and after the second failure in a row, but not while the store is unavailable.
func TestJobWatchListsJobsAgain(t *testing.T) {
	cases := []struct {
		name        string
		statuses    []int // status of each long poll's response
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
				t.Fatalf("last request %s: is a job listing: got %v, want %v", host.last().path, got, c.wantListing)
			}
			if c.wantListing {
				host.respond(200, storage.ListResponse{Revision: 40})
				host.delayedCalls[len(host.delayedCalls)-1].run()
				watch.Tick()
				if !strings.Contains(host.last().path, "40") || watch.loader.JobsRevision() != 40 {
					t.Fatalf("next long poll %s, loader at revision %d; want both at the listing's revision 40",
						host.last().path, watch.loader.JobsRevision())
				}
			}
		})
	}
}
