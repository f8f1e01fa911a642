package flood

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/job"
	"github.com/acaciatally/acaciatally/platform"
	"github.com/acaciatally/acaciatally/platform/emulator"
)

const (
	// maxRefusalsInRow is the number of refusals in a row after which a client gives up.
	maxRefusalsInRow = 100
	// refusalPause is how long a client waits after a refusal, whatever time the refusal names.
	refusalPause = 20 * time.Millisecond
	// payloadBytes is the size of a payload close to the largest legal one.
	payloadBytes = 3900
	// largestJob is the number of tasks of the largest legal job.
	largestJob = 2000
	// startedJobs is the number of large jobs that have begun under an earlier leader with more memory.
	startedJobs = 40
	// endedJobs is the number of ended jobs whose state is kept; the leader before had more memory.
	endedJobs = 140_000
	// backlogJobs is the number of large jobs in a backlog. Together they take more than 500 MB of a process that holds them all.
	backlogJobs = 600
)

// submitters is a crowd whose every request is whole and valid: each client submits jobs, one after the other.
type submitters struct {
	clients   int
	perClient int
	queues    []string // to which each job is submitted in turn
	body      string
	key       string
	cancel    bool // each job is cancelled after its submission
}

// submit runs all clients against an address until they are done, and returns the path of a job that was accepted.
func (s submitters) submit(t *testing.T, address string) (accepted string) {
	t.Helper()
	var first atomic.Value
	var clients sync.WaitGroup
	for client := range s.clients {
		clients.Go(func() { s.run(t.Context(), address, client, &first) })
	}
	clients.Wait()
	accepted, _ = first.Load().(string)
	require.NotEmpty(t, accepted, "no job was accepted")
	return accepted
}

// run is one client.
func (s submitters) run(ctx context.Context, address string, client int, first *atomic.Value) {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	sender := &http.Client{Transport: transport, Timeout: 30 * time.Second}
	refusals := 0
	for number := range s.perClient {
		for _, queue := range s.queues {
			path := fmt.Sprintf("/%s/%08x%08x", queue, client, number)
			if s.send(ctx, sender, http.MethodPost, address+path, s.body) != http.StatusOK {
				refusals++
				time.Sleep(refusalPause)
				continue
			}
			refusals = 0
			if s.cancel {
				s.send(ctx, sender, http.MethodDelete, address+path, "")
			}
			first.CompareAndSwap(nil, path)
		}
		if refusals >= maxRefusalsInRow {
			return
		}
	}
}

// send sends one request and returns the status of its response, or 0 without one.
func (s submitters) send(ctx context.Context, sender *http.Client, method, url, body string) (status int) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+url, strings.NewReader(body))
	if err != nil {
		return 0
	}
	request.Host = "a.example"
	request.Header.Set("Acaciatally-Deadline-Ms", "30000")
	request.Header.Set(emulator.KeyHeader, s.key)
	response, err := sender.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// largeJob returns a job with the largest legal number of tasks in the given number of steps.
func largeJob(steps int) string {
	step := fmt.Sprintf(`{"count":%d,"cpu":100,"memMb":10,"estimateMs":100}`, largestJob/steps)
	return fmt.Sprintf(`{"spec":%q,"steps":[%s]}`, strings.Repeat("p", payloadBytes), strings.TrimSuffix(strings.Repeat(step+",", steps), ","))
}

// scheduledJob returns a job of many occurrences that are all due.
func scheduledJob() string {
	return `{"spec":"work","steps":[{"count":1,"cpu":100,"memMb":10,"estimateMs":100}],"repeatCount":100000,"startAtMs":1000000000000,"intervalMs":1}`
}

// jobWithLongText returns a job whose record is nearly as large as the store takes.
func jobWithLongText() string {
	return fmt.Sprintf(`{"spec":"work","steps":[{"count":1,"cpu":100,"memMb":10,"estimateMs":100,"requirements":%q}]}`, strings.Repeat("l", 50<<10))
}

// padded returns a body of the largest legal size.
func padded(body string) string { return body + strings.Repeat(" ", maxBody-len(body)) }

// TestBacklog guards against clients that end a leader with jobs that are all valid: what is accepted has to be kept, and takes memory.
func TestBacklog(t *testing.T) {
	quotes := []string{"quotes"}
	tests := map[string]submitters{
		"large jobs one after the other": {clients: 1, perClient: backlogJobs, queues: quotes, body: largeJob(1)},
		"jobs of many steps":             {clients: 1, perClient: backlogJobs, queues: quotes, body: largeJob(100)},
		"small jobs":                     {clients: 64, perClient: 1500, queues: quotes, body: ordinaryJob},
		"jobs with long texts":           {clients: 64, perClient: 50, queues: quotes, body: jobWithLongText()},
		"scheduled jobs":                 {clients: 1, perClient: backlogJobs, queues: quotes, body: scheduledJob()},
		"cancelled jobs":                 {clients: 64, perClient: 200, queues: quotes, body: ordinaryJob, cancel: true},
		"IDs in use in two queues":       {clients: 1, perClient: backlogJobs / 2, queues: []string{"quotes", "plans"}, body: largeJob(1)},
		"many clients at once":           {clients: crowdClients, perClient: 4, queues: quotes, body: padded(largeJob(100))},
	}
	for name, crowd := range tests {
		t.Run(name, func(t *testing.T) {
			p := startAttend(t)
			stop := p.watch()
			accepted := crowd.submit(t, p.callers)
			time.Sleep(holdTime)
			state, shown := p.request(http.MethodGet, p.callers, accepted, "")
			status, content := p.request(http.MethodPost, p.callers, "/slots/00000000ffffffff", ordinaryJob)
			requireBounded(t, p, stop())
			require.Equal(t, http.StatusOK, state, shown)
			require.Equal(t, http.StatusOK, status, content)
		})
	}
}

// TestBacklogOfAccount guards against an account whose jobs keep those of others out.
func TestBacklogOfAccount(t *testing.T) {
	store := emulator.NewStore()
	store.Put("op", "config", emulator.WithAccounts(configuration(), emulator.Account("shops", ordinaryKey), emulator.Account("crowd", crowdKey)))
	p := startAttendOn(t, store, emulator.NewFaults(), smallMachine)
	stop := p.watch()
	crowd := submitters{clients: 8, perClient: backlogJobs / 8, queues: []string{"quotes"}, body: largeJob(1), key: crowdKey}
	crowd.submit(t, p.callers)
	time.Sleep(holdTime)
	status, content := p.request(http.MethodPost, p.callers, "/quotes/00000000ffffffff", ordinaryJob)
	requireBounded(t, p, stop())
	require.Equal(t, http.StatusOK, status, content)
}

// TestBacklogAndStoreFault guards against whole requests that wait for a store that is slow, and against those that come while it is away.
func TestBacklogAndStoreFault(t *testing.T) {
	tests := map[string]func(faults *emulator.Faults){
		"slow":    func(faults *emulator.Faults) { faults.SetDelay(time.Second) },
		"refuses": func(faults *emulator.Faults) { faults.FailWithStatus(http.StatusServiceUnavailable) },
	}
	for name, disturb := range tests {
		t.Run(name, func(t *testing.T) {
			store, faults := emulator.NewStore(), emulator.NewFaults()
			store.Put("op", "config", configuration())
			p := startAttendOn(t, store, faults, smallMachine)
			status, accepted := p.request(http.MethodPost, p.callers, "/quotes/00000000eeeeeeee", ordinaryJob)
			require.Equal(t, http.StatusOK, status, accepted)
			stop := p.watch()
			disturb(faults)
			crowd := submitters{clients: crowdClients, perClient: 2, queues: []string{"quotes"}, body: padded(largeJob(100))}
			var clients sync.WaitGroup
			for client := range crowd.clients {
				clients.Go(func() { crowd.run(t.Context(), p.callers, client, &atomic.Value{}) })
			}
			clients.Wait()
			faults.SetDelay(0)
			faults.FailWithStatus(0)
			p.awaitReady("/-/ready")
			time.Sleep(holdTime)
			state, shown := p.request(http.MethodGet, p.callers, "/quotes/00000000eeeeeeee", "")
			status, content := p.request(http.MethodPost, p.callers, "/slots/00000000ffffffff", ordinaryJob)
			requireBounded(t, p, stop())
			require.Equal(t, http.StatusOK, state, shown)
			require.Equal(t, http.StatusOK, status, content)
		})
	}
}

// TestInheritedBacklog guards against a leader that ends when it takes over a backlog that is larger than its memory, as from a leader with more of
// it or from many entries that accept at the same time.
func TestInheritedBacklog(t *testing.T) {
	store := emulator.NewStore()
	store.Put("op", "config", configuration())
	putBacklog(t, store)
	p := startAttendOn(t, store, emulator.NewFaults(), smallMachine)
	stop := p.watch()
	time.Sleep(5 * holdTime)
	first, shownFirst := p.request(http.MethodGet, p.callers, "/quotes/0000000000000000", "")
	last, shownLast := p.request(http.MethodGet, p.callers, fmt.Sprintf("/quotes/%016x", backlogJobs-1), "")
	status, content := p.request(http.MethodPost, p.callers, "/slots/00000000ffffffff", ordinaryJob)
	requireBounded(t, p, stop())
	require.Equal(t, http.StatusOK, first, shownFirst)
	require.Equal(t, http.StatusOK, last, shownLast)
	require.Contains(t, []int{http.StatusOK, http.StatusTooManyRequests}, status, content)
}

// TestInheritedEndedJobs guards against a leader that ends because it takes over many ended jobs, whose states are still shown.
func TestInheritedEndedJobs(t *testing.T) {
	store := emulator.NewStore()
	store.Put("op", "config", configuration())
	ended, err := job.EncodeProgress(job.Progress{State: acaciatally.JobCompleted, Digest: 1})
	require.NoError(t, err)
	for number := range endedJobs {
		key := job.ProgressKey("quotes", acaciatally.JobID(fmt.Sprintf("%016x", number)))
		store.PutRaw(emulator.Row{Table: key.Table, Part: key.Partition, Key: key.Key, Value: ended})
	}
	p := startAttendOn(t, store, emulator.NewFaults(), smallMachine)
	stop := p.watch()
	time.Sleep(5 * holdTime)
	state, shown := p.request(http.MethodGet, p.callers, "/quotes/0000000000000000", "")
	status, content := p.request(http.MethodPost, p.callers, "/slots/00000000ffffffff", ordinaryJob)
	requireBounded(t, p, stop())
	require.Equal(t, http.StatusOK, state, shown)
	require.Contains(t, []int{http.StatusOK, http.StatusTooManyRequests}, status, content)
}

// putBacklog writes the records of large jobs, some of which have begun.
func putBacklog(t *testing.T, store *emulator.Store) {
	t.Helper()
	for number := range backlogJobs {
		putJob(t, store, acaciatally.JobID(fmt.Sprintf("%016x", number)), number < startedJobs)
	}
}

// putJob writes the records of a large job of the queue "quotes". If it has started, its first task has a run on a worker that is gone.
func putJob(t *testing.T, store *emulator.Store, id acaciatally.JobID, started bool) {
	t.Helper()
	spec, err := platform.DecodeJob([]byte(largeJob(1)))
	require.NoError(t, err)
	queue := acaciatally.Queue{Name: "quotes", Host: "a.example", Prefix: "/quotes/", Pool: "intake", Attempts: 3}
	accepted, err := job.EncodeAccepted(job.Accepted{Spec: spec, Queue: queue, Received: time.Now().UTC()})
	require.NoError(t, err)
	progress := job.Progress{State: acaciatally.JobQueued, Digest: job.Digest(spec)}
	if started {
		progress.State = acaciatally.JobRunning
		progress.Begin(spec).Steps[0][0] = job.Task{Phase: job.Assigned, Attempt: 1, Worker: "gone"}
	}
	recorded, err := job.EncodeProgress(progress)
	require.NoError(t, err)
	put := func(key acaciatally.RecordKey, value []byte) {
		store.PutRaw(emulator.Row{Table: key.Table, Part: key.Partition, Key: key.Key, Value: value})
	}
	put(job.AcceptedKey(queue.Name, id), accepted)
	put(job.ProgressKey(queue.Name, id), recorded)
	if !started {
		put(job.WaitingKey(queue.Name, id), job.MarkerValue)
	}
}
