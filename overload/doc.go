// Package overload decides which new jobs of client accounts are refused while their results would come too late to be of use. The Controller
// of the leader determines the share of each account's jobs that is admitted and when the others may return; State is what it publishes, by
// which each entry decides on a job without asking another. Without accounts under pressure nothing is published and nothing is refused.
package overload
