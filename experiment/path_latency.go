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
	pathSlots       = 8                    // of the one worker
	pathHalfLoad    = pathSlots / 2        // callers that keep half of the slots busy
	pathServiceTime = 5 * time.Millisecond // of the half load
)

// PathLatency measures what the path through an entry adds to a direct call, over real sockets on loopback.
type PathLatency struct {
	Rounds   int // the policies take turns, so that other work on the machine meets both
	Requests int // a round and policy at half load
	FullLoad int // a round and policy without service time
}

// String returns the experiment's name.
func (PathLatency) String() string { return "PathLatency" }

// path is a way from a caller to the worker and what was measured on it.
type path struct {
	policy    string
	urls      []string // taken in turn by the callers
	latencies []time.Duration
	processor time.Duration // processor time of the whole process at full load
	requests  int
}

// Run measures the latency at half load and the processor time without service time, for both policies in turns.
func (l PathLatency) Run(ctx context.Context, seed uint64) (figures []Figure, err error) {
	defer entry.TuneMemory()()
	slow, stopSlow, err := startPaths(ctx, seed, pathServiceTime)
	if err != nil {
		return nil, err
	}
	defer stopSlow()
	quick, stopQuick, err := startPaths(ctx, seed, 0)
	if err != nil {
		return nil, err
	}
	defer stopQuick()
	for round := range l.Rounds + 1 {
		for i := range slow {
			if err = l.measure(ctx, slow[i], quick[i], round > 0); err != nil { // round 0 opens connections
				return nil, err
			}
		}
	}
	return pathFigures(slow, quick, seed), nil
}

func (l PathLatency) measure(ctx context.Context, slow, quick *path, count bool) error {
	latencies, err := slow.load(ctx, pathHalfLoad, l.Requests)
	if err != nil {
		return err
	}
	before := processorTime()
	if _, err = quick.load(ctx, pathHalfLoad, l.FullLoad); err != nil {
		return err
	}
	if count {
		slow.latencies = append(slow.latencies, latencies...)
		quick.processor += processorTime() - before
		quick.requests += l.FullLoad
	}
	return nil
}

// load sends requests from several callers, each of which waits for its answer.
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
		return fmt.Errorf("%s answered %d", p.policy, response.StatusCode)
	}
	return nil
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// startPaths starts a worker and two entries in front of it, and returns the direct path and the one through the entries. One
// entry is the slot home of the pool, so half of the requests ask for their slot in another process's place.
func startPaths(ctx context.Context, seed uint64, serviceTime time.Duration) (paths []*path, stop func(), err error) {
	listeners := &openListeners{byAddress: map[string]net.Listener{}}
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
	through := &path{policy: "Entry"}
	stops := []func(){func() { _ = worker.Close() }}
	for _, self := range deployment.Entries {
		through.urls = append(through.urls, "http://"+self.CallerAddress.String()+"/coating/")
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
	return []*path{direct, through}, stop, waitForPath(ctx, through)
}

// openListeners are opened before the settings that name their addresses are made.
type openListeners struct{ byAddress map[string]net.Listener }

func (o *openListeners) open(ctx context.Context) (address netip.AddrPort, err error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return address, err
	}
	address = listener.Addr().(*net.TCPAddr).AddrPort()
	o.byAddress[address.String()] = listener
	return address, nil
}

func (o *openListeners) listen(_ context.Context, _, address string) (net.Listener, error) {
	listener, found := o.byAddress[address]
	if !found {
		return nil, fmt.Errorf("no listener was opened for %s", address)
	}
	return listener, nil
}

func pathSettings(ctx context.Context, worker netip.AddrPort, listeners *openListeners) (deployment *settings.Settings, err error) {
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
	process := entry.New(config)
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = process.Run(ctx) // an entry that does not serve shows in the measured calls
	}()
	return func() {
		cancel()
		<-ended
	}
}

func waitForPath(ctx context.Context, through *path) (err error) {
	for _, url := range through.urls {
		for range 250 {
			if err = through.call(ctx, http.DefaultClient, url); err == nil {
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

func pathFigures(slow, quick []*path, seed uint64) (figures []Figure) {
	figure := func(measure, policy string, value float64, unit string) {
		figures = append(figures, Figure{Measure: measure, Deployment: "Loopback", Policy: policy, Value: value, Unit: unit, Seed: seed})
	}
	direct, through := slow[0], slow[1]
	for _, share := range []struct {
		name string
		of   float64
	}{{"P50", 0.5}, {"P99", 0.99}} {
		base, path := quantile(direct.latencies, share.of), quantile(through.latencies, share.of)
		figure("PathLatency"+share.name, direct.policy, milliseconds(base), "ms")
		figure("PathLatency"+share.name, through.policy, milliseconds(path), "ms")
		figure("PathLatencyAdded"+share.name, through.policy, milliseconds(path-base), "ms")
	}
	for _, p := range quick {
		figure("RequestsPerCoreAndSecond", p.policy, float64(p.requests)/p.processor.Seconds(), "1/s")
	}
	own := quick[1].processor - quick[0].processor
	figure("RequestsPerCoreAndSecondOfEntryAlone", through.policy, float64(quick[1].requests)/own.Seconds(), "1/s")
	return figures
}

func quantile(latencies []time.Duration, share float64) time.Duration {
	sorted := slices.Sorted(slices.Values(latencies))
	return sorted[int(share*float64(len(sorted)-1))]
}

func milliseconds(d time.Duration) float64 { return d.Seconds() * 1000 }
