// Package model simulates workers, callers and the network in virtual time and runs the real decisions of the traffic path on
// them. It models the served system for measurements; it does not simulate the processes of acaciatally.
package model
