// Package fleet holds the control state, which is computed deterministically from the ordered log of changes.
package fleet
