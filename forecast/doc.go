// Package forecast predicts the demand of one pool from its history. It finds the period of recurring bursts, which may drift, by
// autocorrelation.
package forecast
