// Package observation collects what the traffic of all entries shows about demand and instances.
package observation
