package hosting

import (
	"time"

	"github.com/acaciatally/acaciatally"
)

// The paths of the platform's services.
const (
	ReadPath       = "/table/read"
	ScanPath       = "/table/scan"
	CommitPath     = "/table/commit"
	PutPath        = "/objects/put"
	GetPath        = "/objects/get"
	ListPath       = "/objects/list"
	InstancesPath  = "/instances/list"
	DrainPath      = "/instances/drain"
	RebootPath     = "/instances/reboot"
	UndrainPath    = "/instances/undrain"
	OperationPath  = "/instances/operation"
	StartPath      = "/tasks/start"
	RenewPath      = "/tasks/renew"
	CheckpointPath = "/tasks/checkpoint"
	ThrottlePath   = "/tasks/throttle"
	StopPath       = "/tasks/stop"
	UsagePath      = "/tasks/usage"
)

// ErrorCode is the error code in an ErrorResponse.
type ErrorCode string

// The error codes of the platform's services.
const (
	CodeUnavailable    ErrorCode = "Unavailable" // the call had no effect
	CodeRejected       ErrorCode = "Rejected"
	CodeLeaseExpired   ErrorCode = "LeaseExpired"
	CodeNoObject       ErrorCode = "NoObject"
	CodeUnknownOutcome ErrorCode = "Unknown" // the call may have had an effect
)

// ErrorResponse is the body of every response with a status other than 200.
type ErrorResponse struct {
	Code    ErrorCode
	Message string
}

// ReadRequest requests rows by key.
type ReadRequest struct{ Keys []string }

// ScanRequest requests up to Limit rows with the prefix and a key greater than After.
type ScanRequest struct {
	Prefix string
	After  string
	Limit  int
}

// RowsResponse is the response to a ReadRequest or ScanRequest.
type RowsResponse struct{ Rows []acaciatally.Row }

// CommitResponse contains the version of the commit, or the keys whose conditions failed.
type CommitResponse struct {
	Version  uint64
	Conflict []string `json:",omitempty"`
}

// Object is a named object. Requests to get an object or list a prefix have no Content.
type Object struct {
	Name    string
	Content []byte `json:",omitempty"`
}

// ListResponse contains object names.
type ListResponse struct{ Names []string }

// InstancesResponse contains the instance list.
type InstancesResponse struct{ Instances []acaciatally.ListedInstance }

// InstanceOrder requests an operation on an instance, or the state of an operation. Operation is the ID of the operation.
type InstanceOrder struct {
	Operation string
	Instance  acaciatally.InstanceID
}

// OperationResponse contains the state of an operation.
type OperationResponse struct{ State acaciatally.OperationState }

// TaskOrder requests a change to one attempt of a task.
type TaskOrder struct {
	Task    string
	Attempt int
	Expires time.Time // set by Renew
	Share   float64   // set by Throttle, between 0 and 1
}

// UsageRequest requests the reports on all attempts on the workers.
type UsageRequest struct{ Workers []acaciatally.InstanceID }

// UsageResponse contains the reports on attempts.
type UsageResponse struct{ Usage []acaciatally.TaskUsage }

// Empty is the body of requests and responses without content.
type Empty struct{}
