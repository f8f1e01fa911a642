// Package assessment judges the health of instances from what several entries and the platform's list saw of them.
package assessment
