package standin

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/acaciatally/acaciatally"
)

// WorkerConfig is what a Worker needs.
type WorkerConfig struct {
	ID          acaciatally.InstanceID
	Slots       int64
	ServiceTime time.Duration
}

// Worker is a simulated endpoint that refuses work beyond its slots with 429.
type Worker struct {
	config WorkerConfig
	busy   atomic.Int64
}

// NewWorker returns an idle worker.
func NewWorker(config WorkerConfig) *Worker {
	return &Worker{config: config}
}

// ServeHTTP runs one request, or refuses it when all slots are busy.
func (w *Worker) ServeHTTP(response http.ResponseWriter, request *http.Request) {
	if w.busy.Add(1) > w.config.Slots {
		w.busy.Add(-1)
		response.WriteHeader(http.StatusTooManyRequests)
		return
	}
	defer w.busy.Add(-1)
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	time.Sleep(w.config.ServiceTime)
	response.Header().Set("Worker", string(w.config.ID))
	_, _ = response.Write(append([]byte("done by "+string(w.config.ID)+": "), body...))
}
