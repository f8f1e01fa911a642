package move

import (
	"cmp"
	"time"
)

// Config tunes the planner; zero values are replaced by the defaults.
type Config struct {
	Reserve  float64       // weight of an instance-second above the need, default 1
	Moves    float64       // weight of a move, default 1
	HoldTime time.Duration // time before a move may be reversed, default 30 s
	LeadTime time.Duration // time from planning a move until the instance serves in the new pool, default 4 s
	Margin   float64       // share of the demand kept free, default 0.03, since short queues absorb noise in the demand
	// MoveCost is the instance time that one move is worth at equal weights, default 10 s.
	MoveCost time.Duration
	// MaxPayback bounds the payback time of a move, within which a forecast need keeps instances in a pool, default 3 min.
	MaxPayback time.Duration
}

func (c *Config) setDefaults() {
	c.Reserve = cmp.Or(c.Reserve, defaultWeight)
	c.Moves = cmp.Or(c.Moves, defaultWeight)
	c.HoldTime = cmp.Or(c.HoldTime, defaultHoldTime)
	c.LeadTime = cmp.Or(c.LeadTime, defaultLeadTime)
	c.Margin = cmp.Or(c.Margin, defaultMargin)
	c.MoveCost = cmp.Or(c.MoveCost, defaultMoveCost)
	c.MaxPayback = cmp.Or(c.MaxPayback, defaultMaxPayback)
}

const (
	defaultWeight     = 1
	defaultHoldTime   = 30 * time.Second
	defaultLeadTime   = 4 * time.Second
	defaultMoveCost   = 10 * time.Second
	defaultMaxPayback = 3 * time.Minute
	defaultMargin     = 0.03
	minMargin         = 0.01
)

// Margin returns the share of the demand to keep free for the weights of protection and of reserve. It never exceeds the default: a
// higher margin costs more reserve and more moves, but protects no more work.
func Margin(protection, reserve float64) float64 {
	if protection <= 0 || reserve <= 0 {
		return defaultMargin
	}
	return min(max(defaultMargin*protection/reserve, minMargin), defaultMargin)
}

// payback returns the idle time above which moving an instance away and back costs less than keeping it, at most MaxPayback.
func (c Config) payback() time.Duration {
	return min(c.MaxPayback, time.Duration(2*float64(c.MoveCost)*c.Moves/c.Reserve))
}
