package standin

import "time"

// Switches are the faults that are active; the zero value injects none.
type Switches struct {
	Down              bool          // every call fails with ErrUnavailable and has no effect
	Delay             time.Duration // added to every call, half before and half after its effect
	LoseCommitAnswers int           // answers of the next commits that are lost after the effect
	LossShare         float64       // share of calls lost at random, half of them after the effect
	LateCommits       bool          // a commit whose caller gave up during the delay still takes effect
	ReadsPerSecond    int           // calls beyond it wait; 0 is no limit
	WritesPerSecond   int           // calls beyond it wait; 0 is no limit
}

// Counters count what passed through Faults.
type Counters struct {
	Reads       int // calls that read the table, the objects or the lists
	Writes      int // commits, object puts and orders to instances or tasks
	RowsRead    int
	RowsWritten int
	BytesRead   int
	BytesWrite  int
	Refused     int // calls that failed because of a switch
}

// Sub returns the counts since an earlier reading.
func (c Counters) Sub(earlier Counters) Counters {
	return Counters{
		Reads: c.Reads - earlier.Reads, Writes: c.Writes - earlier.Writes,
		RowsRead: c.RowsRead - earlier.RowsRead, RowsWritten: c.RowsWritten - earlier.RowsWritten,
		BytesRead: c.BytesRead - earlier.BytesRead, BytesWrite: c.BytesWrite - earlier.BytesWrite,
		Refused: c.Refused - earlier.Refused,
	}
}
