package hosting

import (
	"context"

	"github.com/samber/oops"
)

// Put stores an object atomically. It may be repeated after ErrUnknownCommit.
func (c *Client) Put(ctx context.Context, name string, content []byte) (err error) {
	defer func() { err = oops.In("platform").With("object", name).Wrapf(err, "put object") }()
	return c.call(ctx, PutPath, Object{Name: name, Content: content}, &Empty{})
}

// Get returns the content of an object. It fails with ErrNoObject if there is none.
func (c *Client) Get(ctx context.Context, name string) (content []byte, err error) {
	defer func() { err = oops.In("platform").With("object", name).Wrapf(err, "get object") }()
	var response Object
	err = c.read(ctx, GetPath, Object{Name: name}, &response)
	return response.Content, err
}

// List returns the sorted names of the objects that start with the prefix.
func (c *Client) List(ctx context.Context, prefix string) (names []string, err error) {
	defer func() { err = oops.In("platform").Wrapf(err, "list objects") }()
	var response ListResponse
	err = c.read(ctx, ListPath, Object{Name: prefix}, &response)
	return response.Names, err
}
