// Package experiment measures the decisions of the system against simple baselines on modelled load.
package experiment
