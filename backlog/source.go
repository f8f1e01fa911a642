package backlog

import "github.com/acaciatally/acaciatally"

// Source is what jobs are counted by: the account of a job, or the queue of a job without an account.
type Source struct {
	Account acaciatally.AccountName `json:",omitempty"`
	Queue   acaciatally.QueueName   `json:",omitempty"`
}

// SourceOf returns the source of the jobs that an account submits to a queue; the account may be empty.
func SourceOf(queue acaciatally.QueueName, account acaciatally.AccountName) Source {
	if account != "" {
		return Source{Account: account}
	}
	return Source{Queue: queue}
}
