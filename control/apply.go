package control

import (
	"context"

	"github.com/acaciatally/acaciatally/lifecycle"
)

// Apply starts the planned operations on the platform. Each carries an id derived from the instance and its version, which makes it
// idempotent.
type Apply struct {
	config *Config
}

// NewApply returns the apply step.
func NewApply(config *Config) *Apply {
	return &Apply{config: config}
}

// String returns the step's name.
func (a *Apply) String() string { return "apply" }

// Run starts the operations whose instance is still at the version for which they were planned. It stops at the first error, or when
// this entry may no longer act.
func (a *Apply) Run(ctx context.Context, round *Round) (err error) {
	for _, operation := range round.PlannedOperations {
		if _, may := a.config.MayAct(); !may {
			return nil
		}
		instance, found := a.config.Log.State().Instances[operation.Instance]
		if !found || lifecycle.OperationOf(instance) != operation {
			continue
		}
		if err = a.start(ctx, operation); err != nil {
			return err
		}
		round.StartedOperations++
	}
	return nil
}

func (a *Apply) start(ctx context.Context, operation lifecycle.Operation) (err error) {
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
