package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run, one line each, with the seconds since the start.
type recorder struct {
	mutex   sync.Mutex
	file    *os.File
	started time.Time
}

func newRecorder(path string) (r *recorder, err error) {
	file, err := os.Create(path)
	return &recorder{file: file, started: time.Now()}, err
}

// printf writes one line.
func (r *recorder) printf(format string, args ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...)) // the verdict is also the exit code
}

func (r *recorder) close() { _ = r.file.Close() }
