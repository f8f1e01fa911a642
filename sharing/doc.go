// Package sharing divides scarce capacity between accounts by weight: which share of the fleet each one is entitled to, and which jobs are
// beyond its rate.
package sharing
