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

// callTimeout is how long a caller waits for a response.
const callTimeout = 3 * time.Second

// submittedJob is the state of one job as the callers know it.
type submittedJob struct {
	path           string
	accepted       bool // a response with status 200 was received
	outcomeUnknown bool // a response was lost or had status 504
	cancelled      bool // a cancellation was sent
	completed      bool // an entry has reported it as completed
}

// callers send requests over persistent connections and record the responses.
type callers struct {
	d          *deployment
	mutex      sync.Mutex
	jobs       map[string]*submittedJob // by job ID
	violations []string                 // violated guarantees, in the order of detection
	jobCount   int
}

func newCallers(d *deployment) *callers { return &callers{d: d, jobs: map[string]*submittedJob{}} }

func (c *callers) reportViolation(format string, arguments ...any) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.violations = append(c.violations, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, arguments...))
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
			c.checkRandomJob(client, e, random)
		}
		time.Sleep(time.Duration(20+random.IntN(60)) * time.Millisecond)
	}
}

// submit submits a new job, in up to four attempts at random entries until it is accepted.
func (c *callers) submit(ctx context.Context, client *http.Client, random *rand.Rand) {
	queue := []string{"quotes", "plans"}[random.IntN(2)]
	body := emulator.Job(emulator.Step(1+random.IntN(4), 1000))
	if random.IntN(3) == 0 {
		body = emulator.Job(emulator.Step(2, 1000), emulator.StepAfter(0, 2, 1000))
	}
	c.mutex.Lock()
	c.jobCount++
	id := fmt.Sprintf("%016x", c.jobCount)
	job := &submittedJob{path: "/" + queue + "/" + id}
	c.jobs[id] = job
	c.mutex.Unlock()
	for try := 0; try < 4 && ctx.Err() == nil; try++ {
		e := c.d.entries[random.IntN(len(c.d.entries))]
		status, _, err := c.call(client, e, http.MethodPost, job.path, body)
		c.mutex.Lock()
		job.accepted = job.accepted || status == http.StatusOK
		job.outcomeUnknown = job.outcomeUnknown || (status == 0 && !errors.Is(err, errNotSent)) || status == http.StatusGatewayTimeout
		accepted := job.accepted
		c.mutex.Unlock()
		if accepted {
			return
		}
		time.Sleep(time.Duration(100+random.IntN(200)) * time.Millisecond)
	}
}

// randomJob returns a random job, or nil if that job was not accepted or was cancelled.
func (c *callers) randomJob(random *rand.Rand) (job *submittedJob) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.jobCount == 0 {
		return nil
	}
	job = c.jobs[fmt.Sprintf("%016x", 1+random.IntN(c.jobCount))]
	if job == nil || !job.accepted || job.cancelled {
		return nil
	}
	return job
}

func (c *callers) cancel(client *http.Client, e *entry, random *rand.Rand) {
	job := c.randomJob(random)
	if job == nil {
		return
	}
	c.mutex.Lock()
	job.cancelled = true
	c.mutex.Unlock()
	_, _, _ = c.call(client, e, http.MethodDelete, job.path, nil) // a cancellation without a response may take effect too
}

// checkRandomJob checks the state of a random job.
func (c *callers) checkRandomJob(client *http.Client, e *entry, random *rand.Rand) {
	if job := c.randomJob(random); job != nil {
		c.checkJob(client, e, job)
	}
}

// checkJob requires that an accepted job exists, that a completed one stays completed, and that none fails or is cancelled without a request.
// It returns the state that the entry reports.
func (c *callers) checkJob(client *http.Client, e *entry, job *submittedJob) (state string) {
	status, answer, _ := c.call(client, e, http.MethodGet, job.path, nil)
	c.mutex.Lock()
	cancelled := job.cancelled
	wasCompleted := job.completed
	job.completed = wasCompleted || answer["state"] == "completed"
	c.mutex.Unlock()
	state, _ = answer["state"].(string)
	switch {
	case status == http.StatusGone && !cancelled:
		c.reportViolation("%s at %s: an accepted job is reported as not existing", job.path, e.name)
	case status == http.StatusOK && wasCompleted && state != "completed":
		c.reportViolation("%s at %s: state changed from completed to %s", job.path, e.name, state)
	case state == "failed" || (state == "cancelled" && !cancelled):
		c.reportViolation("%s at %s: unexpected state %s", job.path, e.name, state)
	}
	return state
}

// errNotSent reports that no part of a request was sent.
var errNotSent = errors.New("request was not sent")

// call sends a request. A connection that an entry closes before the response is a violation, unless a fault other than a planned stop may
// be the cause.
func (c *callers) call(client *http.Client, e *entry, method, path string, body any) (status int, answer map[string]any, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
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
	request.Header.Set("Acaciatally-Deadline-Ms", fmt.Sprint(callTimeout.Milliseconds()))
	began := time.Now()
	response, err := client.Do(request)
	if err != nil && !wrote.Load() {
		return 0, nil, errNotSent
	}
	if err != nil {
		if ctx.Err() == nil && e.undisturbedSince(began) {
			c.reportViolation("%s %s at %s: connection closed after %s without a fault other than a planned stop: %v", method, path, e.name, time.Since(began), err)
		}
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if err = json.NewDecoder(response.Body).Decode(&answer); err != nil && response.StatusCode == http.StatusOK {
		return 0, nil, err
	}
	return response.StatusCode, answer, nil
}
