package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Figures of the queue's policy, as the manifest states them.
const (
	adviceDecide = 5 * time.Millisecond
	advicePeriod = time.Millisecond
	adviceValid  = 3 * time.Second
	auditPrefix  = "/audits/"
)

// ticket is a permission to start a step on a worker.
type ticket struct {
	step, worker string
	expires      time.Time
}

// advisor is the advice service.
type advisor struct {
	record *recorder
	// allows reports whether the policy allows the worker of a machine to run a step.
	allows func(machineID string) bool
	// machineOf returns the machine of a worker.
	machineOf func(worker string) string

	calls   sync.Mutex // one call at a time
	mutex   sync.Mutex
	tickets map[string]ticket
}

// ServeHTTP serves one call for advice.
func (a *advisor) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	var body struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if json.NewDecoder(request.Body).Decode(&body) != nil || len(body.Workers) > 100 {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	a.calls.Lock()
	time.Sleep(adviceDecide + time.Duration(len(body.Workers))*advicePeriod)
	a.calls.Unlock()
	a.mutex.Lock()
	allowed := [][]string{}
	for _, id := range body.Workers {
		if a.allows(a.machineOf(id)) {
			name := fmt.Sprintf("t-%06d", len(a.tickets)+1)
			a.tickets[name] = ticket{body.Step, id, time.Now().Add(adviceValid)}
			allowed = append(allowed, []string{id, name})
		}
	}
	a.mutex.Unlock()
	a.record.printf("advice: step %s on %v -> %v", body.Step, body.Workers, allowed)
	respond(writer, http.StatusOK, map[string]any{"allowed": allowed, "validMs": adviceValid.Milliseconds()})
}

// valid reports whether a ticket allows the start of a task on a worker now.
func (a *advisor) valid(name, task, worker string) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	found, known := a.tickets[name]
	return known && strings.HasPrefix(task, found.step+".") && found.worker == worker && time.Now().Before(found.expires)
}
