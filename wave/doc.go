// Package wave plans maintenance waves over all pools at once within budgets, failure domains and the rule that stops on failures.
package wave
