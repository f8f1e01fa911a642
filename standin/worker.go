package standin

import (
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/acaciatally/acaciatally"
)

// Mode is how a worker answers the requests that it runs.
type Mode string

// The modes of a worker.
const (
	ModeWell            Mode = ""
	ModeFastErrors      Mode = "FastErrors"      // 500 at once
	ModeSlow            Mode = "Slow"            // ten times the service time
	ModeTruncatedAnswer Mode = "TruncatedAnswer" // the connection breaks off within the body
	ModeOversizedAnswer Mode = "OversizedAnswer" // more than any entry buffers
	ModeHang            Mode = "Hang"            // no answer until the caller gives up
)

// The paths under which a worker is observed and controlled.
const (
	HealthPath  = "/standin/health"
	DrainPath   = "/standin/drain"
	UndrainPath = "/standin/undrain"
	BusyPath    = "/standin/busy"
	ModePath    = "/standin/mode"
)

// usualHealthPath is the health path in the example deployments; a probe must not take a slot.
const usualHealthPath = "/healthz"

const (
	slowFactor      = 10
	oversizedAnswer = 2 << 20 // bytes; twice the 1 MiB that an entry buffers
	maxBody         = 64 << 20
	maxRunsKept     = 1 << 16 // request ids whose runs are counted
)

// WorkerConfig is what a Worker needs.
type WorkerConfig struct {
	ID          acaciatally.InstanceID
	Slots       int64
	ServiceTime time.Duration // mean
	Spread      float64       // standard deviation of the logarithm of the service time; 0 is constant
	Seed        uint64
}

// Worker is a simulated endpoint that refuses work beyond its slots with 429; it is safe for concurrent use.
type Worker struct {
	config  WorkerConfig
	routes  *http.ServeMux
	mu      sync.Mutex
	random  *rand.Rand
	mode    Mode
	leaving bool
	busy    int64
	counts  WorkerCounts
	runs    map[string]int
}

// WorkerCounts count what a worker did.
type WorkerCounts struct {
	Run      int // requests that took a slot
	Full     int // requests refused because every slot was taken
	Leaving  int // requests refused because the worker was leaving
	Canceled int // requests whose caller went away while they ran
	MostBusy int // most slots taken at once
}

// NewWorker returns an idle worker.
func NewWorker(config WorkerConfig) *Worker {
	w := &Worker{
		config: config,
		random: rand.New(rand.NewPCG(config.Seed, config.Seed)),
		runs:   map[string]int{},
		routes: http.NewServeMux(),
	}
	w.routes.HandleFunc("GET "+HealthPath, w.health)
	w.routes.HandleFunc("GET "+usualHealthPath, w.health)
	w.routes.HandleFunc("POST "+DrainPath, func(http.ResponseWriter, *http.Request) { w.Drain() })
	w.routes.HandleFunc("POST "+UndrainPath, func(http.ResponseWriter, *http.Request) { w.Undrain() })
	w.routes.HandleFunc("GET "+BusyPath, w.showBusy)
	w.routes.HandleFunc("POST "+ModePath, func(_ http.ResponseWriter, r *http.Request) { w.SetMode(Mode(r.FormValue("Mode"))) })
	w.routes.HandleFunc("/", w.run)
	return w
}

// ServeHTTP runs one request, or refuses it when all slots are busy or the worker is leaving.
func (w *Worker) ServeHTTP(response http.ResponseWriter, request *http.Request) {
	w.routes.ServeHTTP(response, request)
}

// SetMode changes how the worker answers from now on.
func (w *Worker) SetMode(mode Mode) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.mode = mode
}

// Drain makes the worker refuse new requests and report itself leaving.
func (w *Worker) Drain() { w.setLeaving(true) }

// Undrain makes the worker accept requests again.
func (w *Worker) Undrain() { w.setLeaving(false) }

func (w *Worker) setLeaving(leaving bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving = leaving
}

// Busy returns the number of requests in progress.
func (w *Worker) Busy() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return int(w.busy)
}

// Counts returns what the worker did so far.
func (w *Worker) Counts() WorkerCounts {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.counts
}

// Runs returns how often a request with the id began to run here.
func (w *Worker) Runs(request string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[request]
}

// enter takes a slot; status is 0 when the request may run.
func (w *Worker) enter(request string) (status int, mode Mode, serviceTime time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.leaving {
		w.counts.Leaving++
		return http.StatusServiceUnavailable, mode, 0
	}
	if w.busy >= w.config.Slots {
		w.counts.Full++
		return http.StatusTooManyRequests, mode, 0
	}
	w.busy++
	w.counts.Run++
	w.counts.MostBusy = max(w.counts.MostBusy, int(w.busy))
	if request != "" && len(w.runs) < maxRunsKept {
		w.runs[request]++
	}
	return 0, w.mode, w.serviceTime()
}

func (w *Worker) leave(canceled bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.busy--
	if canceled {
		w.counts.Canceled++
	}
}

// serviceTime draws from a log-normal distribution with the configured mean.
func (w *Worker) serviceTime() time.Duration {
	if w.config.Spread == 0 {
		return w.config.ServiceTime
	}
	exponent := w.config.Spread*w.random.NormFloat64() - w.config.Spread*w.config.Spread/2
	return time.Duration(float64(w.config.ServiceTime) * math.Exp(exponent))
}
