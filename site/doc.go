// Package site runs one entry of a deployment that dispatches jobs to workers: the job API, the leader election, the dispatching and the
// management of instances.
package site
