// Package model models deployments, machines, load and the traffic of requests on a clock of its own.
package model
