package entry_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/labstack/echo/v5"
	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally/entry"
	"github.com/acaciatally/acaciatally/fleet"
	"github.com/acaciatally/acaciatally/standin"
	"github.com/acaciatally/acaciatally/task"
)

const validTask = `{"ID":"a","Pool":"chamber","Urgency":"Urgent","Processors":1,"Memory":1024}`

func newTaskServer(t *testing.T) (*standin.Faults, http.Handler) {
	t.Helper()
	faults := standin.NewFaults(standin.FaultsConfig{Table: standin.NewTable(), Leases: standin.NewTasks(standin.TasksConfig{})})
	frontend := task.NewFrontend(task.FrontendConfig{Table: faults, Leases: faults})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { _ = frontend.Run(ctx); close(ended) }()
	t.Cleanup(func() { cancel(); <-ended })
	state := fleet.New()
	state.Pools["chamber"] = fleet.Pool{Name: "chamber"}
	server := echo.New()
	entry.ServeTasks(server, frontend, func() *fleet.State { return state })
	return faults, server
}

func send(t *testing.T, handler http.Handler, method, path, team, body string) *httptest.ResponseRecorder {
	t.Helper()
	request := httptest.NewRequestWithContext(t.Context(), method, path, strings.NewReader(body))
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Acaciatally-Team", team)
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, request)
	return recorder
}

// TestTaskPaths guards against a submission that is answered with a wrong status or outcome.
func TestTaskPaths(t *testing.T) {
	tests := map[string]struct {
		team, body string
		down       bool
		status     int
		outcome    string
	}{
		"accepted":        {team: "survey", body: validTask, status: http.StatusAccepted},
		"no team":         {body: validTask, status: http.StatusBadRequest, outcome: "NotRun"},
		"not JSON":        {team: "survey", body: "{", status: http.StatusBadRequest, outcome: "NotRun"},
		"unknown pool":    {team: "survey", body: `{"ID":"a","Pool":"cellar"}`, status: http.StatusNotFound, outcome: "NotRun"},
		"unknown urgency": {team: "survey", body: strings.Replace(validTask, "Urgent", "Soon", 1), status: http.StatusBadRequest, outcome: "NotRun"},
		"no memory":       {team: "survey", body: strings.Replace(validTask, "1024", "0", 1), status: http.StatusBadRequest, outcome: "NotRun"},
		"too large":       {team: "survey", body: validTask + strings.Repeat(" ", 97<<10) + "{}", status: http.StatusBadRequest, outcome: "NotRun"},
		"table down":      {team: "survey", body: validTask, down: true, status: http.StatusServiceUnavailable, outcome: "NotRun"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			faults, server := newTaskServer(t)
			faults.Set(standin.Switches{Down: test.down})
			answer := send(t, server, http.MethodPost, "/tasks", test.team, test.body)
			require.Equal(t, test.status, answer.Code, answer.Body)
			require.Equal(t, test.outcome, answer.Header().Get("Acaciatally-Outcome"))
		})
	}
}

// TestTaskVisibilityAndCancellation guards against a task that another team can read or cancel, and against a cancelled task that is
// not shown as cancelled.
func TestTaskVisibilityAndCancellation(t *testing.T) {
	_, server := newTaskServer(t)
	require.Equal(t, http.StatusAccepted, send(t, server, http.MethodPost, "/tasks", "survey", validTask).Code)
	require.Equal(t, http.StatusAccepted, send(t, server, http.MethodPost, "/tasks", "survey", validTask).Code)
	other := strings.Replace(validTask, "1024", "2048", 1)
	require.Equal(t, http.StatusUnprocessableEntity, send(t, server, http.MethodPost, "/tasks", "survey", other).Code)
	require.Equal(t, http.StatusNotFound, send(t, server, http.MethodGet, "/tasks/a", "archive", "").Code)
	require.Equal(t, http.StatusNotFound, send(t, server, http.MethodDelete, "/tasks/a", "archive", "").Code)
	answer := send(t, server, http.MethodDelete, "/tasks/a", "survey", "")
	require.Equal(t, http.StatusOK, answer.Code)
	answer = send(t, server, http.MethodGet, "/tasks/a", "survey", "")
	var view entry.TaskView
	require.NoError(t, json.Unmarshal(answer.Body.Bytes(), &view))
	require.Equal(t, task.Cancelled, view.Phase)
	require.Equal(t, "cancelled by its team", view.Reason)
}
