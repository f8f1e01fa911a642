package main

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// machine is one machine of the platform.
type machine struct {
	id, pool, rack string
	state          string // up, moving, upkeep or down
	worker         *worker
	fence          uint64
	waves          map[int]bool // waves in which its upkeep has begun
}

// upkeep is one upkeep that has begun.
type upkeep struct {
	machine string
	wave    int
	at      time.Time
	down    []string // other machines of the wave that were down for theirs at that moment
}

// machineControl follows the section on machines of the platform's protocol.
type machineControl struct {
	record   *recorder
	downtime time.Duration
	// begin ends the worker of a machine; the machine is up again, with a worker that up returns, after the downtime.
	end func(w *worker)
	up  func(m *machine) *worker
	// late returns after how long an order that gets no answer is carried out, or nil if it is answered at once. The channel is closed when the
	// order is to be carried out.
	late func(path, machineID, holder string) <-chan struct{}

	mutex    sync.Mutex
	machines []*machine
	upkeeps  []upkeep
}

// ServeHTTP serves the list and the orders.
func (c *machineControl) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path == "/-/machines" {
		c.list(writer)
		return
	}
	var body struct {
		Machine string `json:"machine"`
		Pool    string `json:"pool"`
		Wave    int    `json:"wave"`
	}
	holder := request.Header.Get("Acaciatally-Lease-Holder")
	fence, err := strconv.ParseUint(request.Header.Get("Acaciatally-Fencing-Token"), 10, 64)
	if err != nil || json.NewDecoder(request.Body).Decode(&body) != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	if c.late != nil {
		if due := c.late(request.URL.Path, body.Machine, holder); due != nil {
			c.record.printf("control: %s %s from %s fence %d -> no answer, carried out later", request.URL.Path, body.Machine, holder, fence)
			go func() {
				<-due
				status, reason := c.execute(body.Machine, body.Pool, body.Wave, fence)
				c.record.printf("control: late %s %s from %s fence %d carried out: %d %s", request.URL.Path, body.Machine, holder, fence, status, reason)
			}()
			<-request.Context().Done()
			panic(http.ErrAbortHandler)
		}
	}
	status, reason := c.execute(body.Machine, body.Pool, body.Wave, fence)
	c.record.printf("control: %s %s from %s fence %d -> %d %s", request.URL.Path, body.Machine, holder, fence, status, reason)
	respond(writer, status, map[string]string{"reason": reason})
}

func (c *machineControl) list(writer http.ResponseWriter) {
	c.mutex.Lock()
	rows := []map[string]any{}
	for _, m := range c.machines {
		row := map[string]any{
			"machine": m.id, "pool": m.pool, "state": m.state, "zone": zone, "labels": []string{"a", m.rack},
			"capacity": map[string]int{"cpu": workerCPU, "memMb": workerMemory, "gpu": 0},
		}
		if m.worker != nil {
			row["id"] = m.worker.id
		}
		rows = append(rows, row)
	}
	c.mutex.Unlock()
	respond(writer, http.StatusOK, map[string]any{"machines": rows, "nextToken": nil})
}

func (c *machineControl) execute(id, pool string, wave int, fence uint64) (status int, reason string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var m *machine
	for _, candidate := range c.machines {
		if candidate.id == id {
			m = candidate
		}
	}
	switch {
	case m == nil:
		return http.StatusBadRequest, ""
	case fence < m.fence:
		return http.StatusConflict, "fence"
	}
	m.fence = fence
	switch {
	case pool != "" && m.pool == pool, pool == "" && m.waves[wave]:
		return http.StatusOK, "already done"
	case m.state != "up":
		return http.StatusConflict, "busy"
	case pool != "":
		m.state, m.pool = "moving", pool
	default:
		c.beginUpkeep(m, wave)
	}
	if m.worker != nil {
		c.end(m.worker)
		m.worker = nil
	}
	time.AfterFunc(c.downtime, func() {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		m.state = "up"
		m.worker = c.up(m)
		c.record.printf("control: %s is up again", m.id)
	})
	return http.StatusOK, ""
}

func (c *machineControl) beginUpkeep(m *machine, wave int) {
	begun := upkeep{machine: m.id, wave: wave, at: time.Now(), down: c.down(wave)}
	m.state, m.waves[wave] = "upkeep", true
	c.upkeeps = append(c.upkeeps, begun)
	c.record.printf("control: upkeep of %s begins in wave %d while %v are down for theirs", m.id, wave, begun.down)
}

// down returns the machines that are down for their upkeep in the wave.
func (c *machineControl) down(wave int) (list []string) {
	for _, m := range c.machines {
		if m.state == "upkeep" && m.waves[wave] {
			list = append(list, m.id)
		}
	}
	return list
}

// anyDown reports whether a machine is down for its upkeep in the wave.
func (c *machineControl) anyDown(wave int) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.down(wave)) > 0
}

// begun returns the upkeeps that have begun so far.
func (c *machineControl) begun() []upkeep {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return append([]upkeep(nil), c.upkeeps...)
}

// replaceWorker gives the machine a new life.
func (c *machineControl) replaceWorker(id string, w *worker) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, m := range c.machines {
		if m.id == id {
			m.worker = w
		}
	}
}
