// Package observation measures the demand of pools and the results of attempts on instances, and shares both between entries.
package observation
