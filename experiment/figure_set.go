package experiment

import (
	"fmt"
	"time"

	"github.com/acaciatally/acaciatally/model"
	"github.com/acaciatally/acaciatally/trace"
)

// deployments are the prefixes of the names of the load traces.
var deployments = []string{"authority", "cavalcanti"}

// Units of figures.
const (
	unitShare      = "share"
	unitSeconds    = "s"
	unitPerRequest = "per-request"
	unitIndex      = "index"
)

// figureSet collects the figures of one policy on one deployment.
type figureSet struct {
	deployment string
	policy     string
	seed       uint64
	figures    []Figure
}

func newFigureSet(loadTrace *trace.Trace, policy model.Policy, seed uint64) *figureSet {
	return &figureSet{deployment: loadTrace.Deployment, policy: string(policy), seed: seed}
}

func (s *figureSet) add(measure string, value float64, unit string) {
	s.figures = append(s.figures, Figure{
		Measure: measure, Deployment: s.deployment, Policy: s.policy, Value: value, Unit: unit, Seed: s.seed,
	})
}

func (s *figureSet) addTime(measure string, value time.Duration) {
	s.add(measure, value.Seconds(), unitSeconds)
}

func (s *figureSet) addRatio(measure string, part, whole int, unit string) {
	if whole == 0 {
		return
	}
	s.add(measure, float64(part)/float64(whole), unit)
}

// simulate runs the model and returns an error if a request ended without a counted outcome.
func simulate(config model.Config) (result model.Result, err error) {
	result, err = model.Run(config)
	if err == nil && result.Unfinished > 0 {
		err = fmt.Errorf("simulation lost %d requests", result.Unfinished)
	}
	return result, err
}
