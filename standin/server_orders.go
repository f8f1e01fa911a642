package standin

import (
	"context"

	"github.com/labstack/echo/v5"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/platform"
)

func serveInstances(server *echo.Echo, list acaciatally.InstanceList, control acaciatally.InstanceControl) {
	server.POST(platform.InstancesPath, func(c *echo.Context) error {
		instances, err := list.Instances(c.Request().Context())
		return answer(c, platform.InstancesResponse{Instances: instances}, err)
	})
	if control == nil {
		return
	}
	orders := map[string]func(ctx context.Context, operation string, instance acaciatally.InstanceID) error{
		platform.DrainPath: control.Drain, platform.RebootPath: control.Reboot, platform.UndrainPath: control.Undrain,
	}
	for path, order := range orders {
		server.POST(path, func(c *echo.Context) error {
			var request platform.InstanceOrder
			if err := c.Bind(&request); err != nil {
				return err
			}
			return answer(c, platform.Empty{}, order(c.Request().Context(), request.Operation, request.Instance))
		})
	}
	server.POST(platform.OperationPath, func(c *echo.Context) error {
		var request platform.InstanceOrder
		if err := c.Bind(&request); err != nil {
			return err
		}
		state, err := control.Operation(c.Request().Context(), request.Operation)
		return answer(c, platform.OperationResponse{State: state}, err)
	})
}

func serveTasks(server *echo.Echo, leases acaciatally.TaskLeases) {
	server.POST(platform.StartPath, func(c *echo.Context) error {
		var lease acaciatally.TaskLease
		if err := c.Bind(&lease); err != nil {
			return err
		}
		return answer(c, platform.Empty{}, leases.Start(c.Request().Context(), lease))
	})
	orders := map[string]func(ctx context.Context, order platform.TaskOrder) error{
		platform.RenewPath: func(ctx context.Context, order platform.TaskOrder) error {
			return leases.Renew(ctx, order.Task, order.Attempt, order.Expires)
		},
		platform.CheckpointPath: func(ctx context.Context, order platform.TaskOrder) error {
			return leases.Checkpoint(ctx, order.Task, order.Attempt)
		},
		platform.ThrottlePath: func(ctx context.Context, order platform.TaskOrder) error {
			return leases.Throttle(ctx, order.Task, order.Attempt, order.Share)
		},
		platform.StopPath: func(ctx context.Context, order platform.TaskOrder) error {
			return leases.Stop(ctx, order.Task, order.Attempt)
		},
	}
	for path, order := range orders {
		server.POST(path, func(c *echo.Context) error {
			var request platform.TaskOrder
			if err := c.Bind(&request); err != nil {
				return err
			}
			return answer(c, platform.Empty{}, order(c.Request().Context(), request))
		})
	}
	server.POST(platform.UsagePath, func(c *echo.Context) error {
		var request platform.UsageRequest
		if err := c.Bind(&request); err != nil {
			return err
		}
		usage, err := leases.Usage(c.Request().Context(), request.Workers...)
		return answer(c, platform.UsageResponse{Usage: usage}, err)
	})
}
