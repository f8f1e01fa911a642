// Package fleet holds the control state as a deterministic fold of the ordered log of changes.
package fleet
