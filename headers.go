package acaciatally

// The headers of callers' requests and of the answers to them.
const (
	RequestIDHeader  = "Acaciatally-Request-Id"
	TeamHeader       = "Acaciatally-Team"
	UrgencyHeader    = "Acaciatally-Urgency"
	DeadlineHeader   = "Acaciatally-Deadline"
	IdempotentHeader = "Acaciatally-Idempotent"
	OutcomeHeader    = "Acaciatally-Outcome"
	AnswerHeader     = "Acaciatally-Answer"
)

// The values of AnswerHeader, which marks the answer to a repeated request.
const (
	AnswerRecorded = "Recorded" // the answer of the one run of the request
	AnswerNotKept  = "NotKept"  // the request ran; only the status of its answer is kept
)
