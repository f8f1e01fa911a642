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
	"github.com/acaciatally/acaciatally/changelog"
	"github.com/acaciatally/acaciatally/entry"
	"github.com/acaciatally/acaciatally/fleet"
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
	url       string
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
				failures[caller] = p.call(ctx, client)
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

func (p *path) call(ctx context.Context, client *http.Client) (err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, p.url, nil)
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

// startPaths starts a worker and an entry in front of it, and returns the direct path and the one through the entry.
func startPaths(ctx context.Context, seed uint64, serviceTime time.Duration) (paths []*path, stop func(), err error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	worker := &http.Server{
		Handler:           standin.NewWorker(standin.WorkerConfig{ID: "w", Slots: pathSlots, ServiceTime: serviceTime}),
		ReadHeaderTimeout: time.Minute,
	}
	go func() { _ = worker.Serve(listener) }()
	deployment := pathSettings(listener.Addr().(*net.TCPAddr).AddrPort())
	table := standin.NewTable()
	load := changelog.Proposal{CommandID: "load", Decide: func(*fleet.State) ([]fleet.Change, error) { return deployment.Changes(), nil }}
	if _, err = changelog.New(changelog.Config{Table: table}).Commit(ctx, load); err != nil {
		return nil, nil, err
	}
	callers, stopEntry := startPathEntry(ctx, seed, deployment, table)
	stop = func() {
		stopEntry()
		_ = worker.Close()
	}
	direct := &path{policy: "BaselineDirect", url: "http://" + listener.Addr().String() + "/coating/"}
	through := &path{policy: "Entry", url: "http://" + callers + "/coating/"}
	return []*path{direct, through}, stop, waitForPath(ctx, through)
}

func pathSettings(worker netip.AddrPort) *settings.Settings {
	callers, other := netip.MustParseAddrPort("127.0.0.2:0"), netip.MustParseAddrPort("127.0.0.1:0")
	deployment := &settings.Settings{
		Deployment: "Loopback",
		Entries:    []settings.Entry{{ID: "e", CallerAddress: callers, OperatorAddress: other, PeerAddress: other}},
		Peers:      settings.Peers{Key: "0123456789abcdef"},
		Pools:      []settings.Pool{{Name: "coating", Instances: []settings.Instance{{ID: "w", Address: worker, Slots: pathSlots}}}},
	}
	deployment.Default()
	return deployment
}

// startPathEntry returns the callers' address of a running entry.
func startPathEntry(ctx context.Context, seed uint64, deployment *settings.Settings, table acaciatally.TableService) (callers string, stop func()) {
	callersListen := deployment.Entries[0].CallerAddress.String()
	address := make(chan string, 1)
	process := entry.New(entry.Config{
		Settings: deployment, Entry: deployment.Entries[0], Table: table, Seed: seed,
		Logger: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
		Listen: func(ctx context.Context, network, listen string) (net.Listener, error) {
			listener, err := (&net.ListenConfig{}).Listen(ctx, network, listen)
			if err == nil && listen == callersListen {
				address <- listener.Addr().String()
			}
			return listener, err
		},
	})
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = process.Run(ctx) // an entry that does not serve shows in the measured calls
	}()
	stop = func() {
		cancel()
		<-ended
	}
	return <-address, stop
}

func waitForPath(ctx context.Context, through *path) (err error) {
	for range 100 {
		if err = through.call(ctx, http.DefaultClient); err == nil {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return err
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
