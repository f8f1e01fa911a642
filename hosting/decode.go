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
	// MaxAnswer is the size in bytes up to which an answer is read; a snapshot is the largest.
	MaxAnswer = 64 << 20
	// MaxItems is the number of rows, names or reports that one answer may carry.
	MaxItems = 200_000
	// maxMessage bounds the text of an error answer that is kept.
	maxMessage = 256
)

var errOversized = errors.New("answer too large")

// readBounded reads at most MaxAnswer bytes and fails when there are more.
func readBounded(body io.Reader) (content []byte, err error) {
	content, err = io.ReadAll(io.LimitReader(body, MaxAnswer+1))
	if err != nil {
		return nil, err
	}
	if len(content) > MaxAnswer {
		return nil, errOversized
	}
	return content, nil
}

// Decode reads one of the package's responses from JSON; an answer that cannot be read leaves the outcome of the call unknown.
func Decode(content []byte, response any) (err error) {
	if len(content) > MaxAnswer {
		return errors.Join(acaciatally.ErrUnknownCommit, errOversized)
	}
	if err = json.Unmarshal(content, response); err != nil {
		return errors.Join(acaciatally.ErrUnknownCommit, err)
	}
	if items := countItems(response); items > MaxItems {
		return errors.Join(acaciatally.ErrUnknownCommit, fmt.Errorf("answer carries %d items, at most %d are accepted", items, MaxItems))
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

// notSent marks an error of a call that never left this process.
func notSent(err error) error {
	return errors.Join(acaciatally.ErrUnavailable, err)
}

// transportError tells a call that cannot have reached the platform from one that may have.
func transportError(err error) error {
	var network *net.OpError
	if errors.As(err, &network) && network.Op == "dial" {
		return notSent(err)
	}
	return errors.Join(acaciatally.ErrUnknownCommit, err)
}

// answerError returns the typed error that an answer with a status other than 200 stands for.
func answerError(status int, content []byte) error {
	var response ErrorResponse
	if json.Unmarshal(content, &response) != nil {
		response = ErrorResponse{}
	}
	response.Message = response.Message[:min(len(response.Message), maxMessage)]
	described := fmt.Errorf("platform answered %d %s", status, response.Message)
	switch response.Code {
	case CodeUnavailable:
		return errors.Join(acaciatally.ErrUnavailable, described)
	case CodeRejected:
		return errors.Join(acaciatally.ErrRejected, described)
	case CodeLeaseExpired:
		return errors.Join(acaciatally.ErrLeaseExpired, described)
	case CodeNoObject:
		return errors.Join(acaciatally.ErrNoObject, described)
	}
	if status == http.StatusBadRequest || status == http.StatusNotFound || status == http.StatusRequestEntityTooLarge {
		return errors.Join(acaciatally.ErrUnavailable, described)
	}
	return errors.Join(acaciatally.ErrUnknownCommit, described)
}
