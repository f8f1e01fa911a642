package hosting

import (
	"context"
	"errors"

	"github.com/samber/oops"

	"github.com/acaciatally/acaciatally"
)

// Read returns the existing rows among the keys.
func (c *Client) Read(ctx context.Context, keys ...string) (rows []acaciatally.Row, err error) {
	defer func() { err = oops.In("platform").Wrapf(err, "read rows") }()
	var response RowsResponse
	err = c.read(ctx, ReadPath, ReadRequest{Keys: keys}, &response)
	return response.Rows, err
}

// Scan returns up to limit rows with the prefix and a key greater than after, in key order.
func (c *Client) Scan(ctx context.Context, prefix, after string, limit int) (rows []acaciatally.Row, err error) {
	defer func() { err = oops.In("platform").Wrapf(err, "scan rows") }()
	var response RowsResponse
	err = c.read(ctx, ScanPath, ScanRequest{Prefix: prefix, After: after, Limit: limit}, &response)
	return response.Rows, err
}

// Commit applies a transaction and returns its version. It fails with ErrUnavailable only if the transaction certainly had no effect, and
// with *ConflictError if a condition failed.
func (c *Client) Commit(ctx context.Context, transaction acaciatally.Transaction) (version uint64, err error) {
	defer func() { err = oops.In("platform").Wrapf(err, "commit transaction") }()
	var response CommitResponse
	if err = c.call(ctx, CommitPath, transaction, &response); err != nil {
		return 0, err
	}
	if len(response.Conflict) > 0 {
		return 0, &acaciatally.ConflictError{Keys: response.Conflict}
	}
	if response.Version == 0 {
		return 0, errors.Join(acaciatally.ErrUnknownCommit, errors.New("response has no version"))
	}
	return response.Version, nil
}

// read calls a read-only service, for which ErrUnknownCommit is replaced by ErrUnavailable.
func (c *Client) read(ctx context.Context, path string, request, response any) error {
	err := c.call(ctx, path, request, response)
	if errors.Is(err, acaciatally.ErrUnknownCommit) {
		return &readError{cause: err}
	}
	return err
}

// readError is the error of a read whose response was lost or invalid. It matches ErrUnavailable and not ErrUnknownCommit, since a read
// has no effect.
type readError struct{ cause error }

func (e *readError) Error() string { return "read failed: " + e.cause.Error() }

func (e *readError) Is(target error) bool { return target == acaciatally.ErrUnavailable }
