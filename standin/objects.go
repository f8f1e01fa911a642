package standin

import (
	"context"
	"slices"
	"strings"
	"sync"

	"github.com/acaciatally/acaciatally"
)

// Objects is an in-memory object store; it is safe for concurrent use.
type Objects struct {
	mu      sync.Mutex
	objects map[string][]byte
}

// NewObjects returns an empty object store.
func NewObjects() *Objects {
	return &Objects{objects: map[string][]byte{}}
}

// Put stores an object and replaces an existing one of the same name.
func (o *Objects) Put(_ context.Context, name string, content []byte) (err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.objects[name] = slices.Clone(content)
	return nil
}

// Get returns an object's content; it fails with ErrNoObject if the object does not exist.
func (o *Objects) Get(_ context.Context, name string) (content []byte, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	content, found := o.objects[name]
	if !found {
		return nil, acaciatally.ErrNoObject
	}
	return slices.Clone(content), nil
}

// List returns the names that start with the prefix, sorted.
func (o *Objects) List(_ context.Context, prefix string) (names []string, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for name := range o.objects {
		if strings.HasPrefix(name, prefix) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names, nil
}
