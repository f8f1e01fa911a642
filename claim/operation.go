package claim

// Operation is one write of a claim row. A row in state Claimed claims the request; any other state settles a claim that this entry
// holds.
type Operation struct {
	ID      string
	Row     Row
	Version uint64 // expected version of the current row; 0 if the row must be absent

	abandoned     bool // the caller has left, so the claim must be released
	mayTakeEffect bool // an earlier commit of the claim has an unknown outcome and may still take effect
}

func (o *Operation) isClaim() bool { return o.Row.State == Claimed }

// Status is the result of trying to claim a request.
type Status string

// The statuses of a claim; only Won permits the entry to send the request.
const (
	Won         Status = "Won"
	Exists      Status = "Exists"      // another claim exists; Result.Row is its row
	Unavailable Status = "Unavailable" // the table service did not accept the claim
)

// Result reports how a claim ended; Row has an empty State if the existing row could not be decoded.
type Result struct {
	Operation *Operation
	Status    Status
	Row       Row
	Version   uint64
}
