package entry

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v5"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/fleet"
	"github.com/acaciatally/acaciatally/ingress"
	"github.com/acaciatally/acaciatally/task"
)

const (
	// maxTaskBody is the limit of a request body in bytes. It has room for the largest command, which grows by a third in base64.
	maxTaskBody       = 96 << 10
	maxTeamNameLength = 64
	// taskMemoryFactor is how many bytes a submission takes for each byte of its body, beside the body: the decoder's buffer and the command.
	taskMemoryFactor = 2
)

// TaskFrontend submits, shows and cancels tasks.
type TaskFrontend interface {
	// Submit stores the task durably before it returns.
	Submit(ctx context.Context, spec task.Spec) (record task.Record, err error)
	// Show returns the team's task with the id.
	Show(ctx context.Context, team acaciatally.TeamName, id string) (record task.Record, err error)
	// Cancel cancels the team's task with the id, unless it has ended, and returns its record.
	Cancel(ctx context.Context, team acaciatally.TeamName, id string) (record task.Record, err error)
}

// TaskRequest is the JSON body of a request that submits a task.
type TaskRequest struct {
	ID           string
	Pool         acaciatally.PoolName
	Kind         string
	Urgency      string
	Idempotent   bool
	Checkpoints  bool
	Processors   float64
	Memory       int64 // bytes
	Accelerators int
	Command      []byte
}

// TaskView is a task in the JSON body of an answer.
type TaskView struct {
	ID        string
	Pool      acaciatally.PoolName
	Phase     task.Phase
	Accepted  time.Time
	Worker    acaciatally.InstanceID `json:",omitempty"`
	Attempt   int
	Ended     *time.Time `json:",omitempty"` // nil until the task has ended
	Reason    string
	Decisions []task.Decision
}

// ServeTasks registers the task routes on the caller server; state returns the configuration with the pools that exist.
func ServeTasks(server *echo.Echo, frontend TaskFrontend, state func() *fleet.State) {
	server.POST("/tasks", func(c *echo.Context) error { return submitTask(c, frontend, state()) })
	server.GET("/tasks/:id", func(c *echo.Context) error { return handleTask(c, http.StatusOK, frontend.Show) })
	server.DELETE("/tasks/:id", func(c *echo.Context) error { return handleTask(c, http.StatusOK, frontend.Cancel) })
}

func submitTask(c *echo.Context, frontend TaskFrontend, state *fleet.State) error {
	team := c.Request().Header.Get(acaciatally.TeamHeader)
	if team == "" || len(team) > maxTeamNameLength {
		return writeTaskRefusal(c, http.StatusBadRequest, acaciatally.NotRun, "header "+acaciatally.TeamHeader+" is missing or too long")
	}
	c.Request().Body = http.MaxBytesReader(c.Response(), c.Request().Body, maxTaskBody)
	if err := ingress.Extend(c.Request().Context(), taskMemoryFactor*min(max(c.Request().ContentLength, 0), maxTaskBody)); err != nil {
		return writeTaskError(c, err)
	}
	var body TaskRequest
	if err := c.Bind(&body); err != nil {
		var notAccepted *acaciatally.NotAcceptedError
		if errors.As(err, &notAccepted) {
			return writeTaskError(c, err)
		}
		return writeTaskRefusal(c, http.StatusBadRequest, acaciatally.NotRun, "body is not a task or larger than "+strconv.Itoa(maxTaskBody)+" bytes")
	}
	if _, found := state.Pools[body.Pool]; !found {
		return writeTaskRefusal(c, http.StatusNotFound, acaciatally.NotRun, "there is no pool "+strconv.Quote(string(body.Pool)))
	}
	spec, err := body.spec(acaciatally.TeamName(team))
	if err != nil {
		return writeTaskRefusal(c, http.StatusBadRequest, acaciatally.NotRun, err.Error())
	}
	record, err := frontend.Submit(c.Request().Context(), spec)
	if err != nil {
		return writeTaskError(c, err)
	}
	return c.JSON(http.StatusAccepted, newTaskView(record))
}

func (r TaskRequest) spec(team acaciatally.TeamName) (spec task.Spec, err error) {
	urgency := acaciatally.Normal
	if r.Urgency != "" {
		if urgency, err = acaciatally.ParseUrgency(r.Urgency); err != nil {
			return spec, err
		}
	}
	return task.Spec{
		ID: r.ID, Team: team, Pool: r.Pool, Kind: r.Kind, Urgency: urgency, Idempotent: r.Idempotent, Checkpoints: r.Checkpoints,
		Declared: acaciatally.Resources{Processors: r.Processors, Memory: r.Memory, Accelerators: r.Accelerators}, Command: r.Command,
	}, nil
}

type taskOperation func(ctx context.Context, team acaciatally.TeamName, id string) (record task.Record, err error)

func handleTask(c *echo.Context, status int, operation taskOperation) error {
	team := acaciatally.TeamName(c.Request().Header.Get(acaciatally.TeamHeader))
	record, err := operation(c.Request().Context(), team, c.Param("id"))
	if err != nil {
		return writeTaskError(c, err)
	}
	if c.Request().Method == http.MethodDelete && record.Phase != task.Cancelled {
		status = http.StatusConflict
	}
	return c.JSON(status, newTaskView(record))
}

func newTaskView(record task.Record) TaskView {
	view := TaskView{
		ID: record.Spec.ID, Pool: record.Spec.Pool, Phase: record.Phase, Accepted: record.Accepted, Worker: record.Worker,
		Attempt: record.Attempt, Reason: record.Reason, Decisions: record.Decisions,
	}
	if record.Phase.Ended() {
		view.Ended = &record.Ended
	}
	return view
}

func writeTaskError(c *echo.Context, err error) error {
	var notAccepted *acaciatally.NotAcceptedError
	if errors.As(err, &notAccepted) {
		err = &acaciatally.Refusal{
			Outcome: acaciatally.NotRun, Status: http.StatusServiceUnavailable, Reason: notAccepted.Reason, RetryAfter: notAccepted.RetryAfter,
		}
	}
	var refused *acaciatally.Refusal
	var invalid *task.InvalidSpecError
	switch {
	case errors.As(err, &refused):
		seconds := max(1, int(refused.RetryAfter.Seconds()))
		c.Response().Header().Set("Retry-After", strconv.Itoa(seconds))
		return writeTaskRefusal(c, refused.Status, refused.Outcome, refused.Reason)
	case errors.As(err, &invalid):
		return writeTaskRefusal(c, http.StatusBadRequest, acaciatally.NotRun, err.Error())
	case errors.Is(err, task.ErrTaskIDInUse):
		return writeTaskRefusal(c, http.StatusUnprocessableEntity, acaciatally.NotRun, err.Error())
	case errors.Is(err, task.ErrTaskNotFound):
		return c.String(http.StatusNotFound, err.Error()+"\n")
	}
	return c.String(http.StatusServiceUnavailable, "the platform cannot be read now\n")
}

func writeTaskRefusal(c *echo.Context, status int, outcome acaciatally.Outcome, reason string) error {
	c.Response().Header().Set(acaciatally.OutcomeHeader, string(outcome))
	return c.String(status, string(outcome)+": "+reason+"\n")
}
