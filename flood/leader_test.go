package flood

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally/platform/emulator"
)

// Size of the deployment that an entry leads, and of its usual load.
const (
	leaderWorkers   = 300
	leaderJobs      = 150
	tasksPerJob     = 16
	runTime         = 3 * time.Second
	workerProcessor = 16_000 // thousandths of a core
	maxLeaseMS      = 10_000
)

// smallestMachine is the smallest machine of the users' platform.
var smallestMachine = machine{memoryMB: 184, descriptors: 4100}

// startWorkers starts workers in the test process and registers them in the store.
func startWorkers(t *testing.T, store *emulator.Store) {
	t.Helper()
	runs := &emulator.RunLog{}
	for number := range leaderWorkers {
		var worker *emulator.Worker
		server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) { worker.ServeHTTP(writer, request) }))
		t.Cleanup(server.Close)
		worker = emulator.NewWorker(emulator.WorkerConfig{
			ID: fmt.Sprintf("i-%03d", number), Address: server.Listener.Addr().String(), Pool: "intake", Instance: fmt.Sprintf("m-%03d", number),
			Zone: "hall-a", Rack: fmt.Sprintf("r-%d", number/8), CPU: workerProcessor, Memory: 64 << 10, MaxLeaseMS: maxLeaseMS, RunLog: runs,
			Behaviour: emulator.Behaviour{Duration: func(string) time.Duration { return runTime }},
		})
		store.Put("servers", worker.ID(), worker.Record())
	}
}

// usualLoad submits jobs again and again until the test ends, and returns when the first tasks run.
func usualLoad(t *testing.T, p *process) {
	t.Helper()
	body := fmt.Sprintf(`{"spec":"work","steps":[{"count":%d,"cpu":2000,"memMb":100,"estimateMs":3000}]}`, tasksPerJob)
	stopped := make(chan struct{})
	var load sync.WaitGroup
	load.Go(func() {
		for number := 0; ; number++ {
			p.request(http.MethodPost, p.callers, fmt.Sprintf("/plans/%016x", number), body)
			if number < leaderJobs {
				continue
			}
			select {
			case <-stopped:
				return
			case <-time.After(runTime / leaderJobs):
			}
		}
	})
	t.Cleanup(func() {
		close(stopped)
		load.Wait()
	})
	require.Eventually(t, func() bool {
		_, state := p.request(http.MethodGet, p.callers, "/plans/0000000000000000", "")
		return state != "" && state != "{\"state\":\"queued\"}\n"
	}, time.Minute, 50*time.Millisecond)
}

// TestCrowdAtLeader guards against a crowd at an entry whose memory is in use already, since it leads a deployment of hundreds of workers.
func TestCrowdAtLeader(t *testing.T) {
	legal := crowds("POST /quotes/%d")
	tests := map[string]func(t *testing.T, p *process){
		"whole bodies":       func(t *testing.T, p *process) { legal[0].send(t, p.callers) },
		"piece by piece":     func(t *testing.T, p *process) { legal[1].send(t, p.callers) },
		"large chunks":       func(t *testing.T, p *process) { legal[2].send(t, p.callers) },
		"unfinished headers": func(t *testing.T, p *process) { legal[4].send(t, p.callers) },
		"unread responses":   func(t *testing.T, p *process) { openUnread(t, p.metrics, metricsRequest) },
		"large jobs": func(t *testing.T, p *process) {
			submitters{clients: 64, perClient: backlogJobs / 64, queues: []string{"quotes"}, body: padded(largeJob(100))}.submit(t, p.callers)
		},
		"bodies, then jobs": func(t *testing.T, p *process) {
			legal[0].send(t, p.callers)
			time.Sleep(holdTime)
			submitters{clients: 64, perClient: backlogJobs / 64, queues: []string{"quotes"}, body: padded(largeJob(1))}.submit(t, p.callers)
		},
	}
	for name, crowd := range tests {
		t.Run(name, func(t *testing.T) {
			store := emulator.NewStore()
			store.Put("op", "config", configuration())
			startWorkers(t, store)
			p := startAttendOn(t, store, emulator.NewFaults(), smallestMachine)
			usualLoad(t, p)
			stop := p.watch()
			crowd(t, p)
			time.Sleep(holdTime)
			status, content := p.request(http.MethodPost, p.callers, "/slots/00000000ffffffff", ordinaryJob)
			requireBounded(t, p, stop())
			require.Equal(t, http.StatusOK, status, content)
		})
	}
}

// TestCrowdAtAllEntries guards against entries that together accept more than the leader has memory for, and against the end of the leader or of
// its successor.
func TestCrowdAtAllEntries(t *testing.T) {
	const entries = 4
	store := emulator.NewStore()
	store.Put("op", "config", configuration())
	var processes []*process
	var stops []func() usage
	for range entries {
		p := startAttendOn(t, store, emulator.NewFaults(), smallMachine)
		processes = append(processes, p)
		stops = append(stops, p.watch())
	}
	var crowd sync.WaitGroup
	for number, p := range processes {
		jobs := submitters{clients: 16, perClient: backlogJobs / 16, queues: []string{"quotes"}, body: largeJob(1)}
		for client := range jobs.clients {
			crowd.Go(func() { jobs.run(t.Context(), p.callers, 100*number+client, &atomic.Value{}) })
		}
	}
	crowd.Wait()
	time.Sleep(holdTime)
	for number, p := range processes {
		counted, count := p.request(http.MethodGet, p.callers, "/quotes/", "")
		status, content := p.request(http.MethodPost, p.callers, fmt.Sprintf("/slots/%016x", number), ordinaryJob)
		requireBounded(t, p, stops[number]())
		require.Equal(t, http.StatusOK, counted, count)
		require.Contains(t, []int{http.StatusOK, http.StatusTooManyRequests}, status, content)
	}
}

// TestCrowdDuringRestart guards against a leader that ends when it takes over a large backlog and a crowd comes at the same time.
func TestCrowdDuringRestart(t *testing.T) {
	store := emulator.NewStore()
	store.Put("op", "config", configuration())
	putBacklog(t, store)
	p := startAttendOn(t, store, emulator.NewFaults(), smallMachine)
	crowds("POST /quotes/%d")[0].send(t, p.callers)
	p.restart()
	stop := p.watch()
	crowds("POST /quotes/%d")[2].send(t, p.callers)
	time.Sleep(5 * holdTime)
	p.awaitReady("/-/ready")
	state, shown := p.request(http.MethodGet, p.callers, "/quotes/0000000000000000", "")
	requireBounded(t, p, stop())
	require.Equal(t, http.StatusOK, state, shown)
}
