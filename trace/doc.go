// Package trace holds recorded load traces and the outcomes that the decisions of the traffic path owe on them.
package trace
