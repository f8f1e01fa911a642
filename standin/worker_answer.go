package standin

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

func (w *Worker) health(response http.ResponseWriter, _ *http.Request) {
	w.mu.Lock()
	leaving := w.leaving
	w.mu.Unlock()
	if leaving {
		http.Error(response, "leaving", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(response, "ok\n")
}

func (w *Worker) showBusy(response http.ResponseWriter, _ *http.Request) {
	_, _ = fmt.Fprintln(response, w.Busy())
}

func (w *Worker) run(response http.ResponseWriter, request *http.Request) {
	status, mode, serviceTime := w.enter(request.Header.Get("Acaciatally-Request-Id"))
	if status != 0 {
		response.WriteHeader(status)
		return
	}
	defer func() { w.leave(request.Context().Err() != nil) }()
	body, err := io.ReadAll(http.MaxBytesReader(response, request.Body, maxBody))
	if err != nil {
		return
	}
	response.Header().Set("Worker", string(w.config.ID))
	w.answer(response, request, mode, serviceTime, body)
}

func (w *Worker) answer(response http.ResponseWriter, request *http.Request, mode Mode, serviceTime time.Duration, body []byte) {
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
	answer := append([]byte("done by "+string(w.config.ID)+": "), body...)
	switch mode {
	case ModeTruncatedAnswer:
		response.Header().Set("Content-Length", strconv.Itoa(len(answer)+1))
	case ModeOversizedAnswer:
		answer = make([]byte, oversizedAnswer)
	}
	_, _ = response.Write(answer)
}

// LeaveTime is how long a worker that was told to stop reports itself leaving before it closes its listener.
const LeaveTime = 3 * time.Second
