package flood

import (
	"context"
	"encoding/base64"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/stretchr/testify/require"
)

const (
	taskClients    = 16
	tasksPerClient = 200
	// commandBytes is the size of a command close to the largest legal one. All commands together have 190 MB.
	commandBytes = 60 << 10
)

// TestTasks guards against clients that end an entry with tasks that are all valid, and wait since no worker runs them.
func TestTasks(t *testing.T) {
	p := startServe(t)
	stop := p.watch()
	var clients sync.WaitGroup
	for range taskClients {
		clients.Go(func() {
			sender := &http.Client{Transport: &http.Transport{}, Timeout: 30 * time.Second}
			defer sender.CloseIdleConnections()
			for range tasksPerClient {
				submitTask(t.Context(), sender, p.callers, ulid.Make().String())
			}
		})
	}
	clients.Wait()
	time.Sleep(holdTime)
	status, content := p.request(http.MethodPost, p.callers, "/coating/strip", "mirror 7")
	requireBounded(t, p, stop())
	require.Equal(t, http.StatusOK, status, content)
}

// TestTaskStates guards against clients that ask at the same time for the state of a task with a large command, each of which took copies of it.
func TestTaskStates(t *testing.T) {
	const clients, perClient = 300, 10
	p := startServe(t)
	id := ulid.Make().String()
	submitTask(t.Context(), http.DefaultClient, p.callers, id)
	stop := p.watch()
	var asking sync.WaitGroup
	for range clients {
		asking.Go(func() {
			for range perClient {
				p.request(http.MethodGet, p.callers, "/tasks/"+id, "")
			}
		})
	}
	asking.Wait()
	status, content := p.request(http.MethodGet, p.callers, "/tasks/"+id, "")
	requireBounded(t, p, stop())
	require.Equal(t, http.StatusOK, status, content)
}

func submitTask(ctx context.Context, sender *http.Client, address, id string) {
	body := fmt.Sprintf(`{"ID":%q,"Pool":"coating","Kind":"strip","Idempotent":true,"Processors":0.1,"Memory":1048576,"Command":%q}`,
		id, base64.StdEncoding.EncodeToString(make([]byte, commandBytes)))
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/tasks", strings.NewReader(body))
	if err != nil {
		return
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Acaciatally-Team", "shops")
	response, err := sender.Do(request)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
}
