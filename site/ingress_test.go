package site

import (
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/eventlog"
	"github.com/acaciatally/acaciatally/intake"
)

// TestHeaderTimeout guards against a time limit of headers in the operators' configuration that is not applied.
func TestHeaderTimeout(t *testing.T) {
	p := New(Config{
		Name: "e", EventLog: eventlog.New(io.Discard, "e"),
		NewJobAPI: func(acaciatally.JobService, func() bool) JobAPI { return nil },
	})
	require.Zero(t, p.headerTimeout(), "the default applies before the first configuration")
	p.watcher.routes.Store(intake.NewRoutes(&acaciatally.Configuration{Limits: acaciatally.RequestLimits{HeaderTimeout: time.Second}}))
	require.Equal(t, time.Second, p.headerTimeout())
}
