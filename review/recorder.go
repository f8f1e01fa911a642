package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// event is one start or end of a run, or a change of its worker, as the worker has seen it.
type event struct {
	at      time.Time
	kind    string // one of the event kinds below
	worker  string
	life    int // number of the worker's boot
	task    string
	attempt int
	how     string // for an end: how the run ended; else a detail
	number  uint64 // for an end and its ack: its number
}

// Event kinds.
const (
	eventStart = "start"
	eventEnd   = "end"
	eventAck   = "ack"   // the worker was told to forget an end
	eventLapse = "lapse" // the worker's lease ran out
	eventCrash = "crash"
	eventBoot  = "boot"
)

// recorder keeps the events of the workers and the lines of the record.
type recorder struct {
	mutex  sync.Mutex
	began  time.Time
	events []event
	lines  []string
}

func newRecorder() *recorder { return &recorder{began: time.Now()} }

func (r *recorder) add(e event) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	e.at = time.Now()
	r.events = append(r.events, e)
	r.line(fmt.Sprintf("worker %s boot %d: %s %s run %d %s", e.worker, e.life, e.kind, e.task, e.attempt, e.how))
}

// note adds a line to the record.
func (r *recorder) note(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.line(fmt.Sprintf(format, arguments...))
}

func (r *recorder) line(text string) {
	r.lines = append(r.lines, fmt.Sprintf("%8.3f s  %s", time.Since(r.began).Seconds(), strings.TrimSpace(text)))
}

// all returns the events so far, in order of time.
func (r *recorder) all() []event {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return append([]event(nil), r.events...)
}

// since returns the time of an event since the start of the case, for texts.
func (r *recorder) since(at time.Time) string {
	return fmt.Sprintf("%.3f s", at.Sub(r.began).Seconds())
}

func (r *recorder) write(path string) error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return os.WriteFile(path, []byte(strings.Join(r.lines, "\n")+"\n"), 0o600)
}
