package hosting

import (
	"context"
	"errors"

	"github.com/samber/oops"

	"github.com/acaciatally/acaciatally"
)

// Read returns the rows that exist among keys.
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

// Commit applies a transaction; it fails with ErrUnavailable only when the transaction certainly had no effect.
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
		return 0, errors.Join(acaciatally.ErrUnknownCommit, errors.New("answer carries no version"))
	}
	return response.Version, nil
}

// read calls a service that changes nothing, so that every loss is ErrUnavailable.
func (c *Client) read(ctx context.Context, path string, request, response any) error {
	err := c.call(ctx, path, request, response)
	if errors.Is(err, acaciatally.ErrUnknownCommit) {
		return &readError{cause: err}
	}
	return err
}

// readError is the loss of a read's answer; it hides that a write of the same kind would have an unknown outcome.
type readError struct{ cause error }

func (e *readError) Error() string { return "read failed: " + e.cause.Error() }

func (e *readError) Is(target error) bool { return target == acaciatally.ErrUnavailable }
