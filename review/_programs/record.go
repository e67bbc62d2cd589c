package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// record writes what was sent, answered and run to record.txt.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
	logs    string
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	logs, err := os.MkdirTemp("", "review-logs-")
	if err != nil {
		return nil, err
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		logs = keep
		os.MkdirAll(keep, 0o755)
	}
	return &record{file: file, started: time.Now(), logs: logs}, nil
}

func (r *record) logPath(name string) string { return filepath.Join(r.logs, name+".log") }

// line adds a line with the time since the start.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) close() {
	r.file.Close()
	if os.Getenv("KEEP_LOGS") == "" {
		os.RemoveAll(r.logs)
	}
}
