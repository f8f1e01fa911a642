package experiment

import (
	"fmt"
	"time"

	"github.com/acaciatally/acaciatally/model"
	"github.com/acaciatally/acaciatally/trace"
)

// deployments are the prefixes of the recorded traces' names.
var deployments = []string{"authority", "cavalcanti"}

// The units of figures.
const (
	unitShare   = "share"
	unitSeconds = "s"
	unitPer     = "per-request"
	unitIndex   = "index"
)

// series collects the figures of one policy on one deployment.
type series struct {
	deployment string
	policy     string
	seed       uint64
	figures    []Figure
}

func newSeries(recorded *trace.Trace, policy model.Policy, seed uint64) *series {
	return &series{deployment: recorded.Deployment, policy: string(policy), seed: seed}
}

func (s *series) add(measure string, value float64, unit string) {
	s.figures = append(s.figures, Figure{
		Measure: measure, Deployment: s.deployment, Policy: s.policy, Value: value, Unit: unit, Seed: s.seed,
	})
}

func (s *series) addTime(measure string, value time.Duration) {
	s.add(measure, value.Seconds(), unitSeconds)
}

func (s *series) addRatio(measure string, part, whole int, unit string) {
	if whole == 0 {
		return
	}
	s.add(measure, float64(part)/float64(whole), unit)
}

// run replays a configuration and fails when the model lost a request.
func run(config model.Config) (result model.Result, err error) {
	result, err = model.Run(config)
	if err == nil && result.Lost > 0 {
		err = fmt.Errorf("the model lost %d requests", result.Lost)
	}
	return result, err
}
