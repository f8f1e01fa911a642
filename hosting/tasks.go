package hosting

import (
	"context"
	"time"

	"github.com/samber/oops"

	"github.com/acaciatally/acaciatally"
)

// Start starts an attempt of a task. It may be repeated for the same attempt after ErrUnknownCommit.
func (c *Client) Start(ctx context.Context, lease acaciatally.TaskLease) (err error) {
	defer func() { err = oops.In("platform").With("task", lease.Task).Wrapf(err, "start task") }()
	return c.call(ctx, StartPath, lease, &Empty{})
}

// Renew extends the lease of an attempt. It fails with ErrLeaseExpired if the lease has expired.
func (c *Client) Renew(ctx context.Context, task string, attempt int, expires time.Time) (err error) {
	return c.sendTaskOrder(ctx, RenewPath, TaskOrder{Task: task, Attempt: attempt, Expires: expires})
}

// Checkpoint requests that an attempt writes its state to the object store.
func (c *Client) Checkpoint(ctx context.Context, task string, attempt int) (err error) {
	return c.sendTaskOrder(ctx, CheckpointPath, TaskOrder{Task: task, Attempt: attempt})
}

// Throttle limits an attempt to a share of its processors, between 0 and 1.
func (c *Client) Throttle(ctx context.Context, task string, attempt int, share float64) (err error) {
	return c.sendTaskOrder(ctx, ThrottlePath, TaskOrder{Task: task, Attempt: attempt, Share: share})
}

// Stop stops an attempt.
func (c *Client) Stop(ctx context.Context, task string, attempt int) (err error) {
	return c.sendTaskOrder(ctx, StopPath, TaskOrder{Task: task, Attempt: attempt})
}

func (c *Client) sendTaskOrder(ctx context.Context, path string, order TaskOrder) (err error) {
	defer func() { err = oops.In("platform").With("task", order.Task).Wrapf(err, "order %s", path) }()
	return c.call(ctx, path, order, &Empty{})
}

// Usage returns the reports on all attempts on the given workers. The reports lag behind the actual state.
func (c *Client) Usage(ctx context.Context, workers ...acaciatally.InstanceID) (usage []acaciatally.TaskUsage, err error) {
	defer func() { err = oops.In("platform").Wrapf(err, "read usage") }()
	var response UsageResponse
	err = c.read(ctx, UsagePath, UsageRequest{Workers: workers}, &response)
	return response.Usage, err
}
