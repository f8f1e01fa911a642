// Package experiment measures the system on simulated load and compares it with simple baselines.
package experiment
