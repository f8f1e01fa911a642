// Package rhythm forecasts the demand of one pool from its own history, whose bursts may recur with an unknown, drifting period.
package rhythm
