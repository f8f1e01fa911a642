package standin

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

func (w *Worker) handleHealth(response http.ResponseWriter, _ *http.Request) {
	w.mu.Lock()
	draining := w.draining
	w.mu.Unlock()
	if draining {
		http.Error(response, "leaving", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(response, "ok\n")
}

func (w *Worker) handleBusy(response http.ResponseWriter, _ *http.Request) {
	_, _ = fmt.Fprintln(response, w.Busy())
}

func (w *Worker) handleRequest(response http.ResponseWriter, request *http.Request) {
	status, mode, serviceTime := w.acquireSlot(request.Header.Get("Acaciatally-Request-Id"))
	if status != 0 {
		response.WriteHeader(status)
		return
	}
	defer func() { w.releaseSlot(request.Context().Err() != nil) }()
	body, err := io.ReadAll(http.MaxBytesReader(response, request.Body, maxBody))
	if err != nil {
		return
	}
	response.Header().Set("Worker", string(w.config.ID))
	w.respond(response, request, mode, serviceTime, body)
}

func (w *Worker) respond(response http.ResponseWriter, request *http.Request, mode Mode, serviceTime time.Duration, body []byte) {
	switch mode {
	case ModeFastErrors:
		response.WriteHeader(http.StatusInternalServerError)
		return
	case ModeHang:
		<-request.Context().Done()
		return
	case ModeSlow:
		serviceTime *= slowFactor
	}
	if sleep(request.Context(), serviceTime) != nil {
		return
	}
	content := append([]byte("done by "+string(w.config.ID)+": "), body...)
	switch mode {
	case ModeTruncatedAnswer:
		response.Header().Set("Content-Length", strconv.Itoa(len(content)+1))
	case ModeOversizedAnswer:
		content = make([]byte, oversizedResponse)
	}
	_, _ = response.Write(content)
}

// DefaultDrainDelay is the default time between the drain of a worker that is shutting down and the close of its listener. Its health
// checks fail during this time.
const DefaultDrainDelay = 3 * time.Second
