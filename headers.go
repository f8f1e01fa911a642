package acaciatally

// The headers of callers' requests and of the responses to them.
const (
	RequestIDHeader  = "Acaciatally-Request-Id"
	TeamHeader       = "Acaciatally-Team"
	UrgencyHeader    = "Acaciatally-Urgency"
	DeadlineHeader   = "Acaciatally-Deadline"
	IdempotentHeader = "Acaciatally-Idempotent"
	OutcomeHeader    = "Acaciatally-Outcome"
	AnswerHeader     = "Acaciatally-Answer"
)

// The values of AnswerHeader, which marks the response to a repeated request.
const (
	AnswerRecorded = "Recorded" // the stored response of the only run of the request
	AnswerNotKept  = "NotKept"  // the request ran, but only the status of its response was stored
)
