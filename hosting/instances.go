package hosting

import (
	"context"

	"github.com/samber/oops"

	"github.com/acaciatally/acaciatally"
)

// Instances returns the platform's instance list.
func (c *Client) Instances(ctx context.Context) (instances []acaciatally.ListedInstance, err error) {
	defer func() { err = oops.In("platform").Wrapf(err, "list instances") }()
	var response InstancesResponse
	err = c.read(ctx, InstancesPath, Empty{}, &response)
	return response.Instances, err
}

// Drain tells the instance to finish its requests in progress and accept no new ones. Calls with the same operation ID are idempotent.
func (c *Client) Drain(ctx context.Context, operation string, instance acaciatally.InstanceID) (err error) {
	return c.sendInstanceOrder(ctx, DrainPath, operation, instance)
}

// Reboot restarts a drained instance. Calls with the same operation ID are idempotent.
func (c *Client) Reboot(ctx context.Context, operation string, instance acaciatally.InstanceID) (err error) {
	return c.sendInstanceOrder(ctx, RebootPath, operation, instance)
}

// Undrain returns a drained instance to service without a reboot. Calls with the same operation ID are idempotent.
func (c *Client) Undrain(ctx context.Context, operation string, instance acaciatally.InstanceID) (err error) {
	return c.sendInstanceOrder(ctx, UndrainPath, operation, instance)
}

func (c *Client) sendInstanceOrder(ctx context.Context, path, operation string, instance acaciatally.InstanceID) (err error) {
	defer func() { err = oops.In("platform").With("instance", instance).Wrapf(err, "order %s", path) }()
	return c.call(ctx, path, InstanceOrder{Operation: operation, Instance: instance}, &Empty{})
}

// Operation returns the state of an operation.
func (c *Client) Operation(ctx context.Context, operation string) (state acaciatally.OperationState, err error) {
	defer func() { err = oops.In("platform").Wrapf(err, "read operation") }()
	var response OperationResponse
	err = c.read(ctx, OperationPath, InstanceOrder{Operation: operation}, &response)
	return response.State, err
}
