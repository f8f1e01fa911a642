package control

import (
	"context"

	"github.com/acaciatally/acaciatally/lifecycle"
)

// Apply carries out the platform's operations; they are idempotent by an id derived from instance and version.
type Apply struct {
	config *Config
}

// NewApply returns the step.
func NewApply(config *Config) *Apply {
	return &Apply{config: config}
}

// String returns the step's name.
func (a *Apply) String() string { return "apply" }

// Run calls the platform for instances that are still at the version for which the call was planned.
func (a *Apply) Run(ctx context.Context, round *Round) (err error) {
	for _, operation := range round.Calls {
		if _, may := a.config.MayAct(); !may {
			return nil
		}
		instance, found := a.config.Log.State().Instances[operation.Instance]
		if !found || lifecycle.OperationOf(instance) != operation {
			continue
		}
		if err = a.call(ctx, operation); err != nil {
			return err
		}
		round.Called++
	}
	return nil
}

func (a *Apply) call(ctx context.Context, operation lifecycle.Operation) (err error) {
	switch operation.Kind {
	case lifecycle.Drain:
		return a.config.Instances.Drain(ctx, operation.ID, operation.Instance)
	case lifecycle.Reboot:
		return a.config.Instances.Reboot(ctx, operation.ID, operation.Instance)
	case lifecycle.Undrain:
		return a.config.Instances.Undrain(ctx, operation.ID, operation.Instance)
	case lifecycle.NoOperation:
	}
	return nil
}
