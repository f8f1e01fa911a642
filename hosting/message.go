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

// Code names an error of the platform in its answers.
type Code string

// The codes of errors that a caller can tell apart.
const (
	CodeUnavailable  Code = "Unavailable" // the call had no effect
	CodeRejected     Code = "Rejected"
	CodeLeaseExpired Code = "LeaseExpired"
	CodeNoObject     Code = "NoObject"
	CodeUnknown      Code = "Unknown" // the call may have had an effect
)

// ErrorResponse is the body of every answer with a status other than 200.
type ErrorResponse struct {
	Code    Code
	Message string
}

// ReadRequest asks for rows by key.
type ReadRequest struct{ Keys []string }

// ScanRequest asks for a range of rows.
type ScanRequest struct {
	Prefix string
	After  string
	Limit  int
}

// RowsResponse carries rows.
type RowsResponse struct{ Rows []acaciatally.Row }

// CommitResponse carries the version of a commit, or the keys whose conditions failed.
type CommitResponse struct {
	Version  uint64
	Conflict []string `json:",omitempty"`
}

// Object is a named object; requests for its content or a list leave Content out.
type Object struct {
	Name    string
	Content []byte `json:",omitempty"`
}

// ListResponse carries object names.
type ListResponse struct{ Names []string }

// InstancesResponse carries the instance list.
type InstancesResponse struct{ Instances []acaciatally.ListedInstance }

// InstanceOrder asks for an operation on an instance, or for the state of one.
type InstanceOrder struct {
	Operation string
	Instance  acaciatally.InstanceID
}

// OperationResponse carries the state of an operation.
type OperationResponse struct{ State acaciatally.OperationState }

// TaskOrder is an order to one attempt of a task.
type TaskOrder struct {
	Task    string
	Attempt int
	Expires time.Time // of Renew
	Share   float64   // of Throttle
}

// UsageRequest asks for the reports of the attempts on workers.
type UsageRequest struct{ Workers []acaciatally.InstanceID }

// UsageResponse carries reports on attempts.
type UsageResponse struct{ Usage []acaciatally.TaskUsage }

// Empty is the body of an answer without content.
type Empty struct{}
