package control

import (
	"context"

	"github.com/acaciatally/acaciatally/assessment"
)

// Assess turns the observations into verdicts.
type Assess struct {
	assessor *assessment.Assessor
}

// NewAssess returns the step.
func NewAssess(assessor *assessment.Assessor) *Assess {
	return &Assess{assessor: assessor}
}

// String returns the step's name.
func (a *Assess) String() string { return "assess" }

// Run judges the instances.
func (a *Assess) Run(_ context.Context, round *Round) (err error) {
	round.Verdicts = a.assessor.Assess(round.Now, round.State)
	return nil
}
