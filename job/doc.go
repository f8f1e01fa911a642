// Package job defines accepted jobs and their progress, and the tables, keys and encoding with which both are stored in the record
// store.
package job
