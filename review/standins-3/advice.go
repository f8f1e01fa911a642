package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const maxWaitingAdvice = 32

// advice is the service that chooses the workers of a step.
type advice struct {
	sim     *simulation
	decide  time.Duration
	each    time.Duration // for each worker named
	valid   time.Duration
	mutex   sync.Mutex
	callers map[string]*adviceCaller
	given   map[string]time.Time // ticket to when it was given
}

// adviceCaller is a calling machine, whose calls are handled in turn.
type adviceCaller struct {
	turn    sync.Mutex
	waiting int
}

// allows reports whether a worker may run a step. It does not change.
func (a *advice) allows(step, worker string) bool {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(step + "|" + worker)) // a hash.Hash never returns an error
	return sum.Sum32()%3 > 0
}

func ticketOf(step, worker string, born time.Time, at time.Time) string {
	return fmt.Sprintf("%s|%s|%d|%d", step, worker, born.UnixNano(), at.UnixNano())
}

// ServeHTTP answers a call.
func (a *advice) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	var order struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if json.NewDecoder(request.Body).Decode(&order) != nil || len(order.Workers) > 100 {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	host, _, _ := net.SplitHostPort(request.RemoteAddr)
	a.mutex.Lock()
	if a.callers[host] == nil {
		a.callers[host] = &adviceCaller{}
	}
	caller := a.callers[host]
	full := caller.waiting >= maxWaitingAdvice
	if !full {
		caller.waiting++
	}
	a.mutex.Unlock()
	if full {
		writer.WriteHeader(http.StatusTooManyRequests)
		return
	}
	caller.turn.Lock()
	a.mutex.Lock()
	caller.waiting--
	a.mutex.Unlock()
	time.Sleep(a.decide + time.Duration(len(order.Workers))*a.each)
	caller.turn.Unlock()
	allowed := [][]string{}
	for _, id := range order.Workers {
		for _, w := range a.sim.workers {
			w.mutex.Lock()
			found, born := w.id == id && !w.down, w.born
			w.mutex.Unlock()
			if found && a.allows(order.Step, id) {
				ticket := ticketOf(order.Step, id, born, time.Now())
				a.mutex.Lock()
				a.given[ticket] = time.Now()
				a.mutex.Unlock()
				allowed = append(allowed, []string{id, ticket})
			}
		}
	}
	a.sim.record("advice on %s: %d of %d", order.Step, len(allowed), len(order.Workers))
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(map[string]any{"allowed": allowed, "validMs": a.valid.Milliseconds()}) // the caller may have left
}

// holds reports whether a ticket lets a worker run a task now.
func (a *advice) holds(task, worker, ticket string, born time.Time) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	at, given := a.given[ticket]
	prefix := fmt.Sprintf("%s|%s|%d|", task[:strings.LastIndexByte(task, '.')], worker, born.UnixNano())
	return given && strings.HasPrefix(ticket, prefix) && time.Since(at) < a.valid
}
