package job

import "github.com/acaciatally/acaciatally"

// DefaultRecordBytes is the size of the largest record where the store's limit is not known.
const DefaultRecordBytes = 64 << 10

// Upper bounds of the parts of an encoded Progress, in bytes.
const (
	maxHeadBytes       = 64 // state, number and digest of the job
	maxOccurrenceBytes = 12 // without its steps
	maxStepBytes       = 5  // without its tasks
	maxTaskBytes       = 22 // without its checkpoint, for up to 2^21 runs of a task and 2^14 workers
	workerOverhead     = 8  // of the ID of a worker, which is stored once, with its start
	accountOverhead    = 4  // of the name of the account
	usualWorkerIDBytes = 12
	usualMaxWorkers    = 1000 // of the pools that run the tasks of one job
)

// MaxProgressBytes returns an upper bound of the size of a job's recorded progress without checkpoints, while the given number of occurrences
// is open. workerBytes is the size of the IDs of all workers that may run its tasks, as returned by WorkerBytes.
func MaxProgressBytes(spec acaciatally.JobSpec, occurrences, workerBytes int) int {
	occurrenceBytes := maxOccurrenceBytes + len(spec.Steps)*maxStepBytes + Tasks(spec)*maxTaskBytes
	return maxHeadBytes + workerBytes + occurrences*occurrenceBytes
}

// WorkerBytes returns the encoded size of a worker's ID.
func WorkerBytes(id acaciatally.WorkerID) int { return len(id) + workerOverhead }

// MaxOccurrenceBytes returns an upper bound of the size of a job's recorded progress without checkpoints while one occurrence is open and
// each of its tasks runs on a worker of its own, in pools of usual size and with IDs of usual length.
func MaxOccurrenceBytes(spec acaciatally.JobSpec) int {
	return MaxProgressBytes(spec, 1, min(Tasks(spec), usualMaxWorkers)*(usualWorkerIDBytes+workerOverhead))
}

// AccountBytes returns an upper bound of the encoded size of the name of a job's account, which the other bounds do not include.
func AccountBytes(account acaciatally.AccountName) int {
	if account == "" {
		return 0
	}
	return len(account) + accountOverhead
}

// Tasks returns the number of tasks of one occurrence.
func Tasks(spec acaciatally.JobSpec) (count int) {
	for _, step := range spec.Steps {
		count += step.Count
	}
	return count
}
