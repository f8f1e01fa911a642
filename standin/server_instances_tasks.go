package standin

import (
	"context"

	"github.com/labstack/echo/v5"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/hosting"
)

func registerInstanceRoutes(server *echo.Echo, list acaciatally.InstanceList, control acaciatally.InstanceControl) {
	server.POST(hosting.InstancesPath, func(c *echo.Context) error {
		instances, err := list.Instances(c.Request().Context())
		return respond(c, hosting.InstancesResponse{Instances: instances}, err)
	})
	if control == nil {
		return
	}
	actions := map[string]func(ctx context.Context, operation string, instance acaciatally.InstanceID) error{
		hosting.DrainPath: control.Drain, hosting.RebootPath: control.Reboot, hosting.UndrainPath: control.Undrain,
	}
	for path, action := range actions {
		server.POST(path, func(c *echo.Context) error {
			var request hosting.InstanceOrder
			if err := c.Bind(&request); err != nil {
				return err
			}
			return respond(c, hosting.Empty{}, action(c.Request().Context(), request.Operation, request.Instance))
		})
	}
	server.POST(hosting.OperationPath, func(c *echo.Context) error {
		var request hosting.InstanceOrder
		if err := c.Bind(&request); err != nil {
			return err
		}
		state, err := control.Operation(c.Request().Context(), request.Operation)
		return respond(c, hosting.OperationResponse{State: state}, err)
	})
}

func registerTaskRoutes(server *echo.Echo, leases acaciatally.TaskLeases) {
	server.POST(hosting.StartPath, func(c *echo.Context) error {
		var lease acaciatally.TaskLease
		if err := c.Bind(&lease); err != nil {
			return err
		}
		return respond(c, hosting.Empty{}, leases.Start(c.Request().Context(), lease))
	})
	actions := map[string]func(ctx context.Context, order hosting.TaskOrder) error{
		hosting.RenewPath: func(ctx context.Context, order hosting.TaskOrder) error {
			return leases.Renew(ctx, order.Task, order.Attempt, order.Expires)
		},
		hosting.CheckpointPath: func(ctx context.Context, order hosting.TaskOrder) error {
			return leases.Checkpoint(ctx, order.Task, order.Attempt)
		},
		hosting.ThrottlePath: func(ctx context.Context, order hosting.TaskOrder) error {
			return leases.Throttle(ctx, order.Task, order.Attempt, order.Share)
		},
		hosting.StopPath: func(ctx context.Context, order hosting.TaskOrder) error {
			return leases.Stop(ctx, order.Task, order.Attempt)
		},
	}
	for path, action := range actions {
		server.POST(path, func(c *echo.Context) error {
			var request hosting.TaskOrder
			if err := c.Bind(&request); err != nil {
				return err
			}
			return respond(c, hosting.Empty{}, action(c.Request().Context(), request))
		})
	}
	server.POST(hosting.UsagePath, func(c *echo.Context) error {
		var request hosting.UsageRequest
		if err := c.Bind(&request); err != nil {
			return err
		}
		usage, err := leases.Usage(c.Request().Context(), request.Workers...)
		return respond(c, hosting.UsageResponse{Usage: usage}, err)
	})
}
