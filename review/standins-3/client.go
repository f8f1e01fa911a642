package main

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

const (
	callTimeout = 3 * time.Second // time budget of a call
	maxAttempts = 5
)

// client calls the entries as callers do.
type client struct {
	sim  *simulation
	http *http.Client
}

func newClient(sim *simulation) *client {
	return &client{sim: sim, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: 5 * time.Second}}}
}

// pick returns an entry that the platform forwards new channels to.
func (c *client) pick() *entryProcess {
	var ready []*entryProcess
	for _, e := range c.sim.entries {
		if e.failures.Load() < 2 {
			ready = append(ready, e)
		}
	}
	if 2*len(ready) < len(c.sim.entries) {
		ready = c.sim.entries
	}
	return ready[rand.IntN(len(ready))]
}

// call makes one call; status 0 is no answer.
func (c *client) call(method, path string, body any) (status int, content []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var reader io.Reader = http.NoBody
	if body != nil {
		encoded, _ := json.Marshal(body) // plain data always encodes
		reader = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.pick().ip+":8624"+path, reader)
	if err != nil {
		return 0, nil
	}
	request.Host = "jobs.example"
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Acaciatally-Deadline-Ms", "3000")
	response, err := c.http.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }() // an error on close has no consequence
	content, err = io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, content
}

// submit hands a job in, with repetitions, and reports whether it was accepted.
func (c *client) submit(of *job) bool {
	c.sim.judge.mutex.Lock()
	of.sentAt = time.Now()
	c.sim.judge.jobs[of.id] = of
	c.sim.judge.mutex.Unlock()
	rejections, attempts := 0, 0
	for attempts < maxAttempts {
		attempts++
		status, content := c.call(http.MethodPost, of.path+of.id, of.spec)
		c.sim.record("POST %s -> %d %s", of.path+of.id, status, strings.TrimSpace(string(content)))
		switch {
		case status == http.StatusOK:
			c.sim.judge.mutex.Lock()
			of.acceptedAt = time.Now()
			c.sim.judge.mutex.Unlock()
			return true
		case status != 0 && status != http.StatusBadGateway && status != http.StatusGatewayTimeout:
			rejections++
		}
		time.Sleep(time.Duration(200+rand.IntN(400)) * time.Millisecond)
	}
	c.sim.judge.mutex.Lock()
	defer c.sim.judge.mutex.Unlock()
	of.rejected = rejections == attempts
	return false
}

// state asks for the state of a job, keeps it, and returns the status of the answer.
func (c *client) state(of *job) (status int) {
	status, content := c.call(http.MethodGet, of.path+of.id, nil)
	var answer struct {
		State string `json:"state"`
	}
	if status == http.StatusOK && json.Unmarshal(content, &answer) == nil {
		c.sim.judge.mutex.Lock()
		of.state = cmp.Or(answer.State, of.state)
		c.sim.judge.mutex.Unlock()
	}
	return status
}

// cancel cancels a job.
func (c *client) cancel(of *job) {
	c.sim.judge.mutex.Lock()
	of.cancelSent = time.Now()
	c.sim.judge.mutex.Unlock()
	for range maxAttempts {
		status, _ := c.call(http.MethodDelete, of.path+of.id, nil)
		c.sim.record("DELETE %s -> %d", of.path+of.id, status)
		if status == http.StatusOK || status == http.StatusGone {
			c.sim.judge.mutex.Lock()
			of.cancelledAt = time.Now()
			c.sim.judge.mutex.Unlock()
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// newID returns a job ID.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }
