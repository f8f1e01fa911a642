package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/acaciatally/acaciatally/platform/emulator"
)

// patience is how long a caller waits for an answer.
const patience = 3 * time.Second

// submitted is what the callers know of one job.
type submitted struct {
	path      string
	accepted  bool // an answer of 2xx was seen
	unsure    bool // an answer was missing, or left the outcome open
	cancelled bool // a cancellation was sent
	completed bool // it was shown as completed
}

// callers send requests over connections that they keep, and remember the answers.
type callers struct {
	d      *deployment
	mutex  sync.Mutex
	jobs   map[string]*submitted // by id
	faults []string              // broken promises, in the order in which they were seen
	number int
}

func newCallers(d *deployment) *callers { return &callers{d: d, jobs: map[string]*submitted{}} }

func (c *callers) broken(format string, arguments ...any) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.faults = append(c.faults, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, arguments...))
}

// run sends requests until ctx ends.
func (c *callers) run(ctx context.Context, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 1))
	client := c.d.client()
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		e := c.d.entries[random.IntN(len(c.d.entries))]
		switch draw := random.IntN(10); {
		case draw < 4:
			c.submit(ctx, client, random)
		case draw < 5:
			c.cancel(client, e, random)
		default:
			c.look(client, e, random)
		}
		time.Sleep(time.Duration(20+random.IntN(60)) * time.Millisecond)
	}
}

// submit hands a new job in, again at other entries while the outcome is open or it is refused.
func (c *callers) submit(ctx context.Context, client *http.Client, random *rand.Rand) {
	queue := []string{"quotes", "plans"}[random.IntN(2)]
	body := emulator.Job(emulator.Step(1+random.IntN(4), 1000))
	if random.IntN(3) == 0 {
		body = emulator.Job(emulator.Step(2, 1000), emulator.StepAfter(0, 2, 1000))
	}
	c.mutex.Lock()
	c.number++
	id := fmt.Sprintf("%016x", c.number)
	job := &submitted{path: "/" + queue + "/" + id}
	c.jobs[id] = job
	c.mutex.Unlock()
	for try := 0; try < 4 && ctx.Err() == nil; try++ {
		e := c.d.entries[random.IntN(len(c.d.entries))]
		status, _, err := c.call(client, e, http.MethodPost, job.path, body)
		c.mutex.Lock()
		job.accepted = job.accepted || status == http.StatusOK
		job.unsure = job.unsure || (status == 0 && !errors.Is(err, errNotSent)) || status == http.StatusGatewayTimeout
		accepted := job.accepted
		c.mutex.Unlock()
		if accepted {
			return
		}
		time.Sleep(time.Duration(100+random.IntN(200)) * time.Millisecond)
	}
}

// pick returns a job that was accepted and not cancelled; nil without one.
func (c *callers) pick(random *rand.Rand) (job *submitted) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.number == 0 {
		return nil
	}
	job = c.jobs[fmt.Sprintf("%016x", 1+random.IntN(c.number))]
	if job == nil || !job.accepted || job.cancelled {
		return nil
	}
	return job
}

func (c *callers) cancel(client *http.Client, e *entry, random *rand.Rand) {
	job := c.pick(random)
	if job == nil {
		return
	}
	c.mutex.Lock()
	job.cancelled = true
	c.mutex.Unlock()
	_, _, _ = c.call(client, e, http.MethodDelete, job.path, nil) // also a cancellation without answer may take effect
}

// look asks for a job's state: one that was accepted is known, and one that was completed stays so.
func (c *callers) look(client *http.Client, e *entry, random *rand.Rand) {
	if job := c.pick(random); job != nil {
		c.check(client, e, job)
	}
}

func (c *callers) check(client *http.Client, e *entry, job *submitted) (state string) {
	status, answer, _ := c.call(client, e, http.MethodGet, job.path, nil)
	c.mutex.Lock()
	cancelled := job.cancelled
	was := job.completed
	job.completed = was || answer["state"] == "completed"
	c.mutex.Unlock()
	state, _ = answer["state"].(string)
	switch {
	case status == http.StatusGone && !cancelled:
		c.broken("%s at %s: an accepted job is said not to exist", job.path, e.name)
	case status == http.StatusOK && was && state != "completed":
		c.broken("%s at %s: was completed, is %s", job.path, e.name, state)
	case state == "failed" || (state == "cancelled" && !cancelled):
		c.broken("%s at %s: %s without cause", job.path, e.name, state)
	}
	return state
}

// errNotSent reports that a request has not been written.
var errNotSent = errors.New("not sent")

// call sends a request; a request that an entry cuts while only a planned stop is near breaks a promise.
func (c *callers) call(client *http.Client, e *entry, method, path string, body any) (status int, answer map[string]any, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	var wrote atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(info httptrace.WroteRequestInfo) {
		wrote.Store(wrote.Load() || info.Err == nil)
	}})
	content, err := json.Marshal(body)
	if err != nil {
		return 0, nil, err
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+e.ip+":8624"+path, bytes.NewReader(content))
	if err != nil {
		return 0, nil, err
	}
	request.Host = "a.example"
	request.Header.Set("Acaciatally-Deadline-Ms", fmt.Sprint(patience.Milliseconds()))
	began := time.Now()
	response, err := client.Do(request)
	if err != nil && !wrote.Load() {
		return 0, nil, errNotSent
	}
	if err != nil {
		if ctx.Err() == nil && e.calm(began) {
			c.broken("%s %s at %s: cut after %s while only a planned stop was near: %v", method, path, e.name, time.Since(began), err)
		}
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if err = json.NewDecoder(response.Body).Decode(&answer); err != nil && response.StatusCode == http.StatusOK {
		return 0, nil, err
	}
	return response.StatusCode, answer, nil
}
