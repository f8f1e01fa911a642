package hosting

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"

	"github.com/acaciatally/acaciatally"
)

const (
	// MaxResponseSize is the maximum size of a response in bytes. Snapshots are the largest responses.
	MaxResponseSize = 64 << 20
	// MaxItems is the maximum number of rows, names, instances or reports in one response.
	MaxItems = 200_000
	// maxErrorMessage is the number of bytes of an error response's message that are kept.
	maxErrorMessage = 256
)

var errResponseTooLarge = errors.New("response too large")

// readLimited reads the whole body. It fails if the body is larger than MaxResponseSize.
func readLimited(body io.Reader) (content []byte, err error) {
	content, err = io.ReadAll(io.LimitReader(body, MaxResponseSize+1))
	if err != nil {
		return nil, err
	}
	if len(content) > MaxResponseSize {
		return nil, errResponseTooLarge
	}
	return content, nil
}

// Decode decodes the JSON of one of the response types of this package. Its errors wrap ErrUnknownCommit, since the outcome of a call
// is unknown if its response cannot be decoded.
func Decode(content []byte, response any) (err error) {
	if len(content) > MaxResponseSize {
		return errors.Join(acaciatally.ErrUnknownCommit, errResponseTooLarge)
	}
	if err = json.Unmarshal(content, response); err != nil {
		return errors.Join(acaciatally.ErrUnknownCommit, err)
	}
	if items := countItems(response); items > MaxItems {
		return errors.Join(acaciatally.ErrUnknownCommit, fmt.Errorf("response has %d items, maximum is %d", items, MaxItems))
	}
	return nil
}

func countItems(response any) int {
	switch response := response.(type) {
	case *RowsResponse:
		return len(response.Rows)
	case *ListResponse:
		return len(response.Names)
	case *InstancesResponse:
		return len(response.Instances)
	case *UsageResponse:
		return len(response.Usage)
	}
	return 0
}

// notSent wraps the error of a call that was not sent.
func notSent(err error) error {
	return errors.Join(acaciatally.ErrUnavailable, err)
}

// transportError wraps ErrUnavailable if dialling failed, and ErrUnknownCommit if the call may have reached the platform.
func transportError(err error) error {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return notSent(err)
	}
	return errors.Join(acaciatally.ErrUnknownCommit, err)
}

// responseError returns the error for a response with a status other than 200.
func responseError(status int, content []byte) error {
	var response ErrorResponse
	if json.Unmarshal(content, &response) != nil {
		response = ErrorResponse{}
	}
	response.Message = response.Message[:min(len(response.Message), maxErrorMessage)]
	statusErr := fmt.Errorf("platform responded with status %d %s", status, response.Message)
	switch response.Code {
	case CodeUnavailable:
		return errors.Join(acaciatally.ErrUnavailable, statusErr)
	case CodeRejected:
		return errors.Join(acaciatally.ErrRejected, statusErr)
	case CodeLeaseExpired:
		return errors.Join(acaciatally.ErrLeaseExpired, statusErr)
	case CodeNoObject:
		return errors.Join(acaciatally.ErrNoObject, statusErr)
	}
	if status == http.StatusBadRequest || status == http.StatusNotFound || status == http.StatusRequestEntityTooLarge {
		return errors.Join(acaciatally.ErrUnavailable, statusErr)
	}
	return errors.Join(acaciatally.ErrUnknownCommit, statusErr)
}
