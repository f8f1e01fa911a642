package entry

import (
	"github.com/acaciatally/acaciatally/assessment"
	"github.com/acaciatally/acaciatally/control"
)

// NewControl returns the control pipeline in the order in which its steps run.
func NewControl(config control.Config) *control.Controller {
	config.SetDefaults()
	assessor := assessment.New(assessment.Config{})
	return control.New(
		&config,
		control.NewObserve(&config, assessor),
		control.NewAssess(assessor),
		control.NewPlan(&config),
		control.NewApprove(&config),
		control.NewApply(&config),
		control.NewRecord(&config),
	)
}
