package standin

import (
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/acaciatally/acaciatally"
)

// Mode is how a worker responds to the requests that it runs.
type Mode string

// The modes of a worker; their values are set through ModePath.
const (
	ModeHealthy         Mode = ""                // 200 after the service time
	ModeFastErrors      Mode = "FastErrors"      // 500 without delay
	ModeSlow            Mode = "Slow"            // ten times the service time
	ModeTruncatedAnswer Mode = "TruncatedAnswer" // the connection is closed before the whole body is sent
	ModeOversizedAnswer Mode = "OversizedAnswer" // a body larger than any entry buffers
	ModeHang            Mode = "Hang"            // no response until the caller cancels
)

// The paths under which a worker is monitored and controlled.
const (
	HealthPath  = "/standin/health"
	DrainPath   = "/standin/drain"
	UndrainPath = "/standin/undrain"
	BusyPath    = "/standin/busy"
	ModePath    = "/standin/mode"
)

// defaultHealthPath is the health path of the example deployments. It has its own route because a probe must not occupy a slot.
const defaultHealthPath = "/healthz"

const (
	slowFactor         = 10
	oversizedResponse  = 2 << 20 // bytes; twice the 1 MiB that an entry buffers
	maxBody            = 64 << 20
	maxCountedRequests = 1 << 16 // bounds the memory of Runs
)

// WorkerConfig configures a Worker.
type WorkerConfig struct {
	ID          acaciatally.InstanceID
	Slots       int64         // requests that may run at once
	ServiceTime time.Duration // mean
	Spread      float64       // standard deviation of the logarithm of the service time; 0 makes it constant
	Seed        uint64        // seed for the service times
}

// Worker is a simulated endpoint that responds with 429 when all its slots are in use; it is safe for concurrent use.
type Worker struct {
	config   WorkerConfig
	routes   *http.ServeMux
	mu       sync.Mutex
	random   *rand.Rand
	mode     Mode
	draining bool
	busy     int64
	counts   WorkerCounts
	runs     map[string]int
}

// WorkerCounts counts the requests that a worker received.
type WorkerCounts struct {
	Started         int // requests that occupied a slot
	RefusedFull     int // requests refused because all slots were in use
	RefusedDraining int // requests refused because the worker was draining
	Canceled        int // requests whose caller cancelled them while they ran
	MaxBusy         int // largest number of slots in use at once
}

// NewWorker returns a worker in ModeHealthy without requests in progress.
func NewWorker(config WorkerConfig) *Worker {
	w := &Worker{
		config: config,
		random: rand.New(rand.NewPCG(config.Seed, config.Seed)),
		runs:   map[string]int{},
		routes: http.NewServeMux(),
	}
	w.routes.HandleFunc("GET "+HealthPath, w.handleHealth)
	w.routes.HandleFunc("GET "+defaultHealthPath, w.handleHealth)
	w.routes.HandleFunc("POST "+DrainPath, func(http.ResponseWriter, *http.Request) { w.Drain() })
	w.routes.HandleFunc("POST "+UndrainPath, func(http.ResponseWriter, *http.Request) { w.Undrain() })
	w.routes.HandleFunc("GET "+BusyPath, w.handleBusy)
	w.routes.HandleFunc("POST "+ModePath, func(_ http.ResponseWriter, r *http.Request) { w.SetMode(Mode(r.FormValue("Mode"))) })
	w.routes.HandleFunc("/", w.handleRequest)
	return w
}

// ServeHTTP runs one request, or refuses it with 429 if all slots are in use or with 503 if the worker is draining.
func (w *Worker) ServeHTTP(response http.ResponseWriter, request *http.Request) {
	w.routes.ServeHTTP(response, request)
}

// SetMode sets the mode for requests that start from now on.
func (w *Worker) SetMode(mode Mode) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.mode = mode
}

// Drain makes the worker refuse new requests and fail its health checks.
func (w *Worker) Drain() { w.setDraining(true) }

// Undrain makes the worker accept requests again.
func (w *Worker) Undrain() { w.setDraining(false) }

func (w *Worker) setDraining(draining bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.draining = draining
}

// Busy returns the number of requests in progress.
func (w *Worker) Busy() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return int(w.busy)
}

// Counts returns the counts since NewWorker.
func (w *Worker) Counts() WorkerCounts {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.counts
}

// Runs returns how often a request with the ID started here; IDs are counted until 65536 of them are known.
func (w *Worker) Runs(request string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[request]
}

// acquireSlot occupies a slot; status is 0 if the request may run, and the status of the refusal otherwise.
func (w *Worker) acquireSlot(request string) (status int, mode Mode, serviceTime time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.draining {
		w.counts.RefusedDraining++
		return http.StatusServiceUnavailable, mode, 0
	}
	if w.busy >= w.config.Slots {
		w.counts.RefusedFull++
		return http.StatusTooManyRequests, mode, 0
	}
	w.busy++
	w.counts.Started++
	w.counts.MaxBusy = max(w.counts.MaxBusy, int(w.busy))
	if request != "" && len(w.runs) < maxCountedRequests {
		w.runs[request]++
	}
	return 0, w.mode, w.serviceTime()
}

func (w *Worker) releaseSlot(canceled bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.busy--
	if canceled {
		w.counts.Canceled++
	}
}

// serviceTime draws a service time from a log-normal distribution with the configured mean.
func (w *Worker) serviceTime() time.Duration {
	if w.config.Spread == 0 {
		return w.config.ServiceTime
	}
	exponent := w.config.Spread*w.random.NormFloat64() - w.config.Spread*w.config.Spread/2
	return time.Duration(float64(w.config.ServiceTime) * math.Exp(exponent))
}
