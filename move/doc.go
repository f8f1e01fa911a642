// Package move plans which instances change pools: ahead of bursts, from the spare pool first, with hysteresis and weighted costs.
package move
