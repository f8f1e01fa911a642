package standin

import "time"

// Switches configures the faults that Faults injects; the zero value injects none.
type Switches struct {
	Down              bool          // every call fails with ErrUnavailable and is not executed
	Delay             time.Duration // added to every call, half before and half after it is executed
	LoseCommitAnswers int           // number of upcoming commits that are executed but whose response is lost
	LossShare         float64       // fraction of calls that fail at random; for half of them the call is executed and only the response is lost
	LateCommits       bool          // a commit whose context ended during the delay before it is still executed
	ReadsPerSecond    int           // rate limit of reads; calls above it wait; 0 means no limit
	WritesPerSecond   int           // rate limit of writes; calls above it wait; 0 means no limit
}

// Counters counts the calls that went through Faults and the rows and bytes that they transferred.
type Counters struct {
	Reads       int // read calls to any of the services
	Writes      int // commits, object puts, instance operations and task operations
	RowsRead    int
	RowsWritten int
	BytesRead   int
	BytesWrite  int
	Refused     int // calls that failed because of Down, LossShare or LoseCommitAnswers
}

// Sub returns the difference between c and an earlier reading.
func (c Counters) Sub(earlier Counters) Counters {
	return Counters{
		Reads: c.Reads - earlier.Reads, Writes: c.Writes - earlier.Writes,
		RowsRead: c.RowsRead - earlier.RowsRead, RowsWritten: c.RowsWritten - earlier.RowsWritten,
		BytesRead: c.BytesRead - earlier.BytesRead, BytesWrite: c.BytesWrite - earlier.BytesWrite,
		Refused: c.Refused - earlier.Refused,
	}
}
