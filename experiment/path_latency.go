package experiment

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/phuslu/log"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/entry"
	"github.com/acaciatally/acaciatally/settings"
	"github.com/acaciatally/acaciatally/standin"
)

const (
	pathSlots       = 8                    // of the only worker
	pathCallers     = pathSlots / 2        // concurrent callers; they use half of the slots
	pathServiceTime = 5 * time.Millisecond // at half load
)

// PathLatency measures the latency and the CPU time that an entry adds to a direct call, over TCP on loopback.
type PathLatency struct {
	Rounds           int // policies alternate in each round, so that other load on the machine affects both
	HalfLoadRequests int // per round and policy, at half load
	FullLoadRequests int // per round and policy, without service time
}

// String returns the experiment's name.
func (PathLatency) String() string { return "PathLatency" }

// path is a request path from a caller to the worker with its measurements.
type path struct {
	policy    string
	urls      []string // assigned to the callers in turn
	latencies []time.Duration
	cpu       time.Duration // CPU time of the whole process without service time
	requests  int
}

// Run measures the latency at half load and the CPU time without service time; the two policies alternate.
func (l PathLatency) Run(ctx context.Context, seed uint64) (figures []Figure, err error) {
	defer entry.TuneGarbageCollector()()
	withService, stopWithService, err := startPaths(ctx, seed, pathServiceTime)
	if err != nil {
		return nil, err
	}
	defer stopWithService()
	withoutService, stopWithoutService, err := startPaths(ctx, seed, 0)
	if err != nil {
		return nil, err
	}
	defer stopWithoutService()
	for round := range l.Rounds + 1 {
		for i := range withService {
			if err = l.measure(ctx, withService[i], withoutService[i], round > 0); err != nil { // round 0 only opens connections
				return nil, err
			}
		}
	}
	return pathFigures(withService, withoutService, seed), nil
}

func (l PathLatency) measure(ctx context.Context, withService, withoutService *path, record bool) error {
	latencies, err := withService.load(ctx, pathCallers, l.HalfLoadRequests)
	if err != nil {
		return err
	}
	before := cpuTime()
	if _, err = withoutService.load(ctx, pathCallers, l.FullLoadRequests); err != nil {
		return err
	}
	if record {
		withService.latencies = append(withService.latencies, latencies...)
		withoutService.cpu += cpuTime() - before
		withoutService.requests += l.FullLoadRequests
	}
	return nil
}

// load sends requests from concurrent callers, each with one request in flight, and returns the latency of each request.
func (p *path) load(ctx context.Context, callers, requests int) (latencies []time.Duration, err error) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
	defer client.CloseIdleConnections()
	latencies = make([]time.Duration, requests)
	failures := make([]error, callers)
	var group sync.WaitGroup
	for caller := range callers {
		group.Go(func() {
			for i := caller; i < requests && failures[caller] == nil; i += callers {
				start := time.Now()
				failures[caller] = p.call(ctx, client, p.urls[caller%len(p.urls)])
				latencies[i] = time.Since(start)
			}
		})
	}
	group.Wait()
	for _, err = range failures {
		if err != nil {
			return nil, err
		}
	}
	return latencies, nil
}

func (p *path) call(ctx context.Context, client *http.Client, url string) (err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if _, err = io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s returned status %d", p.policy, response.StatusCode)
	}
	return nil
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// startPaths starts a worker and two entries in front of it, and returns the direct path and the path through the entries. Only one
// of the entries is the pool's slot home, so half of the requests acquire their slot from the other entry.
func startPaths(ctx context.Context, seed uint64, serviceTime time.Duration) (paths []*path, stop func(), err error) {
	listeners := &boundListeners{byAddress: map[string]net.Listener{}}
	address, err := listeners.open(ctx)
	if err != nil {
		return nil, nil, err
	}
	worker := &http.Server{
		Handler:           standin.NewWorker(standin.WorkerConfig{ID: "w", Slots: pathSlots, ServiceTime: serviceTime}),
		ReadHeaderTimeout: time.Minute,
	}
	listener := listeners.byAddress[address.String()]
	go func() { _ = worker.Serve(listener) }()
	deployment, err := pathSettings(ctx, address, listeners)
	if err != nil {
		return nil, nil, err
	}
	table := standin.NewTable()
	direct := &path{policy: "BaselineDirect", urls: []string{"http://" + address.String() + "/coating/"}}
	viaEntry := &path{policy: "Entry"}
	stops := []func(){func() { _ = worker.Close() }}
	for _, self := range deployment.Entries {
		viaEntry.urls = append(viaEntry.urls, "http://"+self.CallerAddress.String()+"/coating/")
		stops = append(stops, startPathEntry(ctx, entry.Config{
			Settings: deployment, Entry: self, Table: table, Seed: seed, Listen: listeners.listen,
			Logger: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
		}))
	}
	stop = func() {
		for _, end := range slices.Backward(stops) {
			end()
		}
	}
	return []*path{direct, viaEntry}, stop, waitForPath(ctx, viaEntry)
}

// boundListeners holds listeners that are opened before the entries start, because the settings must contain their addresses.
type boundListeners struct{ byAddress map[string]net.Listener }

func (l *boundListeners) open(ctx context.Context) (address netip.AddrPort, err error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return address, err
	}
	address = listener.Addr().(*net.TCPAddr).AddrPort()
	l.byAddress[address.String()] = listener
	return address, nil
}

func (l *boundListeners) listen(_ context.Context, _, address string) (net.Listener, error) {
	listener, found := l.byAddress[address]
	if !found {
		return nil, fmt.Errorf("no open listener for %s", address)
	}
	return listener, nil
}

func pathSettings(ctx context.Context, worker netip.AddrPort, listeners *boundListeners) (deployment *settings.Settings, err error) {
	deployment = &settings.Settings{
		Deployment: "Loopback",
		Peers:      settings.Peers{Key: "0123456789abcdef"},
		Pools:      []settings.Pool{{Name: "coating", Instances: []settings.Instance{{ID: "w", Address: worker, Slots: pathSlots}}}},
	}
	for _, id := range []acaciatally.EntryID{"e1", "e2"} {
		self := settings.Entry{ID: id}
		for _, address := range []*netip.AddrPort{&self.CallerAddress, &self.OperatorAddress, &self.PeerAddress} {
			if *address, err = listeners.open(ctx); err != nil {
				return nil, err
			}
		}
		deployment.Entries = append(deployment.Entries, self)
	}
	deployment.Default()
	return deployment, nil
}

func startPathEntry(ctx context.Context, config entry.Config) (stop func()) {
	server := entry.New(config)
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Run(ctx) // if the entry fails, the measured calls fail too
	}()
	return func() {
		cancel()
		<-done
	}
}

func waitForPath(ctx context.Context, viaEntry *path) (err error) {
	for _, url := range viaEntry.urls {
		for range 250 {
			if err = viaEntry.call(ctx, http.DefaultClient, url); err == nil {
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func pathFigures(withService, withoutService []*path, seed uint64) (figures []Figure) {
	figure := func(measure, policy string, value float64, unit string) {
		figures = append(figures, Figure{Measure: measure, Deployment: "Loopback", Policy: policy, Value: value, Unit: unit, Seed: seed})
	}
	direct, viaEntry := withService[0], withService[1]
	for _, percentile := range []struct {
		name string
		q    float64
	}{{"P50", 0.5}, {"P99", 0.99}} {
		directLatency, entryLatency := quantile(direct.latencies, percentile.q), quantile(viaEntry.latencies, percentile.q)
		figure("PathLatency"+percentile.name, direct.policy, milliseconds(directLatency), "ms")
		figure("PathLatency"+percentile.name, viaEntry.policy, milliseconds(entryLatency), "ms")
		figure("PathLatencyAdded"+percentile.name, viaEntry.policy, milliseconds(entryLatency-directLatency), "ms")
	}
	for _, p := range withoutService {
		figure("RequestsPerCoreAndSecond", p.policy, float64(p.requests)/p.cpu.Seconds(), "1/s")
	}
	entryCPU := withoutService[1].cpu - withoutService[0].cpu
	figure("RequestsPerCoreAndSecondOfEntryAlone", viaEntry.policy, float64(withoutService[1].requests)/entryCPU.Seconds(), "1/s")
	return figures
}

func quantile(latencies []time.Duration, q float64) time.Duration {
	sorted := slices.Sorted(slices.Values(latencies))
	return sorted[int(q*float64(len(sorted)-1))]
}

func milliseconds(d time.Duration) float64 { return d.Seconds() * 1000 }
