package interference

import "fmt"

// Mode tells what the leader does about interference.
type Mode string

// The modes. The zero value is ModeOff.
const (
	ModeOff     Mode = "off"     // nothing is collected
	ModeObserve Mode = "observe" // evidence and verdicts are kept and logged, but have no influence on placement
	ModeAvoid   Mode = "avoid"   // kinds with a verdict are kept apart where there is room
)

// ParseMode returns the mode with a name.
func ParseMode(name string) (mode Mode, err error) {
	switch mode = Mode(name); mode {
	case ModeOff, ModeObserve, ModeAvoid:
		return mode, nil
	}
	return ModeOff, fmt.Errorf("%q is not one of off, observe and avoid", name)
}
