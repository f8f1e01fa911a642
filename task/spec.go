package task

import (
	"fmt"
	"math"
	"regexp"

	"github.com/acaciatally/acaciatally"
)

// Limits on submitted tasks.
const (
	MaxCommand      = 64 << 10 // bytes
	maxKindBytes    = 64       // bytes
	maxProcessors   = 1 << 16  // cores
	maxAccelerators = 1 << 10
)

var validName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// InvalidSpecError reports what is wrong with a submitted task.
type InvalidSpecError struct{ Reason string }

// Error returns the message with the reason.
func (e *InvalidSpecError) Error() string { return "invalid task: " + e.Reason }

func invalid(format string, args ...any) error {
	return &InvalidSpecError{Reason: fmt.Sprintf(format, args...)}
}

// Validate returns an *InvalidSpecError if the task cannot be accepted.
func (s Spec) Validate() (err error) {
	switch {
	case !validName.MatchString(s.ID):
		return invalid("ID %.70q, want 1 to 64 letters, digits, dots, dashes or underscores", s.ID)
	case s.Team == "":
		return invalid("Team is missing")
	case !validName.MatchString(string(s.Pool)):
		return invalid("Pool %.70q", s.Pool)
	case len(s.Kind) > maxKindBytes:
		return invalid("Kind is longer than %d bytes", maxKindBytes)
	case s.Urgency < acaciatally.Urgent || s.Urgency > acaciatally.Background:
		return invalid("Urgency %d", s.Urgency)
	case len(s.Command) > MaxCommand:
		return invalid("Command is larger than %d bytes", MaxCommand)
	}
	return validResources(s.Declared)
}

func validResources(declared acaciatally.Resources) error {
	switch {
	case math.IsNaN(declared.Processors) || declared.Processors <= 0 || declared.Processors > maxProcessors:
		return invalid("Processors %v", declared.Processors)
	case declared.Memory <= 0:
		return invalid("Memory %d", declared.Memory)
	case declared.Accelerators < 0 || declared.Accelerators > maxAccelerators:
		return invalid("Accelerators %d", declared.Accelerators)
	}
	return nil
}
