package standin

import (
	"context"
	"time"

	"github.com/acaciatally/acaciatally"
)

// Put stores an object with injected faults.
func (f *Faults) Put(ctx context.Context, name string, content []byte) (err error) {
	return f.call(ctx, true, func() error {
		f.countRowsWritten([]acaciatally.Write{{Key: name, Value: content}})
		return f.config.Objects.Put(ctx, name, content)
	})
}

// Get reads an object with injected faults.
func (f *Faults) Get(ctx context.Context, name string) (content []byte, err error) {
	err = f.call(ctx, false, func() (err error) {
		content, err = f.config.Objects.Get(ctx, name)
		f.countRowsRead([]acaciatally.Row{{Key: name, Value: content}})
		return err
	})
	return content, err
}

// List lists object names with injected faults.
func (f *Faults) List(ctx context.Context, prefix string) (names []string, err error) {
	err = f.call(ctx, false, func() (err error) {
		names, err = f.config.Objects.List(ctx, prefix)
		return err
	})
	return names, err
}

// Instances reads the instance list with injected faults.
func (f *Faults) Instances(ctx context.Context) (instances []acaciatally.ListedInstance, err error) {
	err = f.call(ctx, false, func() (err error) {
		instances, err = f.config.List.Instances(ctx)
		return err
	})
	return instances, err
}

// Drain starts a drain with injected faults.
func (f *Faults) Drain(ctx context.Context, operation string, instance acaciatally.InstanceID) (err error) {
	return f.call(ctx, true, func() error { return f.config.Control.Drain(ctx, operation, instance) })
}

// Reboot starts a reboot with injected faults.
func (f *Faults) Reboot(ctx context.Context, operation string, instance acaciatally.InstanceID) (err error) {
	return f.call(ctx, true, func() error { return f.config.Control.Reboot(ctx, operation, instance) })
}

// Undrain starts an undrain with injected faults.
func (f *Faults) Undrain(ctx context.Context, operation string, instance acaciatally.InstanceID) (err error) {
	return f.call(ctx, true, func() error { return f.config.Control.Undrain(ctx, operation, instance) })
}

// Operation reads the state of an operation with injected faults.
func (f *Faults) Operation(ctx context.Context, operation string) (state acaciatally.OperationState, err error) {
	err = f.call(ctx, false, func() (err error) {
		state, err = f.config.Control.Operation(ctx, operation)
		return err
	})
	return state, err
}

// Start starts an attempt with injected faults.
func (f *Faults) Start(ctx context.Context, lease acaciatally.TaskLease) (err error) {
	return f.call(ctx, true, func() error { return f.config.Leases.Start(ctx, lease) })
}

// Renew extends a lease with injected faults.
func (f *Faults) Renew(ctx context.Context, task string, attempt int, expires time.Time) (err error) {
	return f.call(ctx, true, func() error { return f.config.Leases.Renew(ctx, task, attempt, expires) })
}

// Checkpoint requests a checkpoint with injected faults.
func (f *Faults) Checkpoint(ctx context.Context, task string, attempt int) (err error) {
	return f.call(ctx, true, func() error { return f.config.Leases.Checkpoint(ctx, task, attempt) })
}

// Throttle limits an attempt's processors with injected faults.
func (f *Faults) Throttle(ctx context.Context, task string, attempt int, share float64) (err error) {
	return f.call(ctx, true, func() error { return f.config.Leases.Throttle(ctx, task, attempt, share) })
}

// Stop ends an attempt with injected faults.
func (f *Faults) Stop(ctx context.Context, task string, attempt int) (err error) {
	return f.call(ctx, true, func() error { return f.config.Leases.Stop(ctx, task, attempt) })
}

// Usage reads the usage reports of attempts with injected faults.
func (f *Faults) Usage(ctx context.Context, workers ...acaciatally.InstanceID) (usage []acaciatally.TaskUsage, err error) {
	err = f.call(ctx, false, func() (err error) {
		usage, err = f.config.Leases.Usage(ctx, workers...)
		return err
	})
	return usage, err
}
