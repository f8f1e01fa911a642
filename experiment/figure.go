package experiment

import (
	"context"
	"fmt"
)

// Figure is one measured value.
type Figure struct {
	Measure    string
	Deployment string
	Policy     string
	Value      float64
	Unit       string
	Seed       uint64
}

// String returns the figure as one line of key=value pairs, a format that programs parse.
func (f Figure) String() string {
	return fmt.Sprintf("Measure=%s Deployment=%s Policy=%s Value=%.4g Unit=%s Seed=%d",
		f.Measure, f.Deployment, f.Policy, f.Value, f.Unit, f.Seed)
}

// Experiment is a set of measurements that run together, mostly of the system beside baselines.
type Experiment interface {
	// String returns the name that selects the experiment on the command line.
	String() string
	// Run takes the measurements; the seed determines all random choices.
	Run(ctx context.Context, seed uint64) (figures []Figure, err error)
}
