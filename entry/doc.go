// Package entry wires the filters and steps of one process of the system and runs its servers.
package entry
