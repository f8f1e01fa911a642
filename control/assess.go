package control

import (
	"context"

	"github.com/acaciatally/acaciatally/assessment"
)

// Assess derives findings on the health of instances from the observations.
type Assess struct {
	assessor *assessment.Assessor
}

// NewAssess returns the assess step.
func NewAssess(assessor *assessment.Assessor) *Assess {
	return &Assess{assessor: assessor}
}

// String returns the step's name.
func (a *Assess) String() string { return "assess" }

// Run assesses the serving and draining instances.
func (a *Assess) Run(_ context.Context, round *Round) (err error) {
	round.Findings = a.assessor.Assess(round.Now, round.State)
	return nil
}
