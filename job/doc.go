// Package job describes accepted jobs and their recorded progress, and where both stand in the record store.
package job
