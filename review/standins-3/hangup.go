package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	waitingJobs   = 8000 // jobs that wait for room, all in one queue
	hangupLink    = 10   // Mbit/s of the entries' links
	lossSlack     = 200 * time.Millisecond
	hangupClients = 48
	hangupTries   = 6
	storeAnswer   = 4 * time.Millisecond             // of the platform's store, by its page
	hangupAfter   = lossSlack + 100*time.Millisecond // from the request to the SIGHUP
)

// hangupWhileStopping stops an entry as planned and tells it of new settings while it finishes its requests. The requests ask how many jobs of a
// long queue wait, which takes some tenths of a second in calm.
func hangupWhileStopping(sim *simulation, trouble bool) (broken []string, err error) {
	sim.services = []map[string]any{{"name": "intake"}}
	sim.settings["limits"] = map[string]any{"cpuShare": 0.8, "cores": 1, "memoryMb": 536, "maxFds": 4100, "linkMbps": hangupLink}
	sim.addRoute("plain", "intake", 2, 0, nil)
	if err = sim.begin(3, 1); err != nil {
		return nil, err
	}
	for _, e := range sim.entries {
		e.faults.SetDelay(storeAnswer)
	}
	if err = sim.fillQueue("/plain/"); err != nil {
		return nil, err
	}
	lost, asked := 0, 0
	for i := range hangupTries {
		lostNow, err := sim.stopWithRequests(sim.entries[i%len(sim.entries)], "/plain/", trouble)
		if err != nil {
			return nil, err
		}
		asked++
		if lostNow {
			lost++
		}
		time.Sleep(contactTime + time.Second)
	}
	sim.record("%d of %d requests lost", lost, asked)
	return sim.judge.broke, nil
}

// fillQueue hands in jobs that have to wait, since the first ones take all room.
func (s *simulation) fillQueue(path string) error {
	c := newClient(s)
	ids := make(chan int)
	refused := make(chan int, waitingJobs)
	var clients sync.WaitGroup
	for range hangupClients {
		clients.Go(func() {
			for range ids {
				of := &job{id: newID(), path: path, pool: "intake", attempts: 2, spec: jobSpec{
					Spec:  encodeBehaviour(behaviour{WorkMS: time.Hour.Milliseconds()}),
					Steps: []stepSpec{{Count: 1, CPU: 64000, MemMB: 1000, EstimateMS: int(time.Hour.Milliseconds())}},
				}}
				if !c.submit(of) {
					refused <- 1
				}
			}
		})
	}
	for i := range waitingJobs {
		ids <- i
	}
	close(ids)
	clients.Wait()
	if len(refused) > waitingJobs/2 {
		return errors.New("most jobs were refused in calm")
	}
	return nil
}

// ask asks an entry on a new channel for the count of a queue, and returns the status line and how long the answer took. It fails if the channel ends
// without a whole answer.
func (s *simulation) ask(e *entryProcess, path string) (status string, took time.Duration, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	channel, err := (&net.Dialer{}).DialContext(ctx, "tcp", e.ip+":8624")
	if err != nil {
		return "", 0, fmt.Errorf("%w: %w", errNoChannel, err)
	}
	defer func() { _ = channel.Close() }() // an error on close has no consequence
	request := "GET " + path + " HTTP/1.1\r\nHost: jobs.example\r\nAcaciatally-Deadline-Ms: 3000\r\n\r\n"
	if _, err = io.WriteString(channel, request); err != nil {
		return "", 0, err
	}
	sent := time.Now()
	if err = channel.SetReadDeadline(sent.Add(callTimeout)); err != nil {
		return "", 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(channel), nil)
	if err != nil {
		return "", time.Since(sent), err
	}
	defer func() { _ = response.Body.Close() }() // an error on close has no consequence
	content, err := io.ReadAll(response.Body)
	return response.Status + " " + strings.TrimSpace(string(content)), time.Since(sent), err
}

var errNoChannel = errors.New("no channel")

// stopWithRequests sends SIGTERM to an entry, asks it for a count while it still takes channels, and sends SIGHUP while it counts. It reports whether
// the request was lost.
func (s *simulation) stopWithRequests(e *entryProcess, path string, trouble bool) (lost bool, err error) {
	status, took, err := s.ask(e, path)
	s.record("GET %s at %s in calm: %s, error %v, after %s", path, e.name, status, err, took)
	if err != nil {
		return false, err
	}
	if took < hangupAfter+50*time.Millisecond {
		return false, errors.New("the count is too fast for the case")
	}
	s.record("SIGTERM to %s", e.name)
	e.signal(syscall.SIGTERM)
	time.Sleep(300 * time.Millisecond)
	if trouble {
		time.AfterFunc(hangupAfter, func() {
			s.record("SIGHUP to %s", e.name)
			e.signal(syscall.SIGHUP)
		})
	}
	status, took, err = s.ask(e, path)
	s.record("GET %s at %s after SIGTERM: %s, error %v, after %s", path, e.name, status, err, took)
	if errors.Is(err, errNoChannel) {
		return false, err
	}
	if err != nil && took > lossSlack && took < callTimeout*7/10 {
		s.judge.mutex.Lock()
		s.judge.broken("LOST", "%s ended the channel %s after the last byte of a whole request, without an answer: %v", e.name, took, err)
		s.judge.mutex.Unlock()
		lost = true
	}
	e.await()
	time.Sleep(restartTime)
	return lost, e.start()
}
