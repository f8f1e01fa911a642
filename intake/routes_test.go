package intake_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/intake"
)

// TestFind checks that a request goes to the queue of its host with the longest matching prefix.
func TestFind(t *testing.T) {
	routes := intake.NewRoutes(&acaciatally.Configuration{Queues: []acaciatally.Queue{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/x/"},
	}})
	tests := map[string]struct {
		host, path string
		queue      acaciatally.QueueName
		rest       string
	}{
		"short":         {"a.example", "/x/1", "short", "1"},
		"longest first": {"a.example", "/x/y/1", "long", "1"},
		"with port":     {"a.example:8080", "/x/1", "short", "1"},
		"upper case":    {"A.Example", "/x/1", "short", "1"},
		"other host":    {"b.example", "/x/y/1", "other", "y/1"},
		"unknown host":  {"c.example", "/x/1", "", ""},
		"unknown path":  {"a.example", "/z", "", ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			queue, rest, found := routes.Find(test.host, test.path)
			require.Equal(t, test.queue != "", found)
			require.Equal(t, test.queue, queue.Name)
			require.Equal(t, test.rest, rest)
		})
	}
}
