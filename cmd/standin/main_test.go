package main

import (
	"bytes"
	"flag"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally/standin"
)

// TestUsage guards against usage errors that are reported as failures.
func TestUsage(t *testing.T) {
	tests := map[string]struct {
		arguments []string
		want      error
	}{
		"no command":        {want: errUsage},
		"unknown command":   {arguments: []string{"serve"}, want: errUsage},
		"unknown flag":      {arguments: []string{"platform", "-listne", "x"}, want: errUsage},
		"worker without id": {arguments: []string{"worker"}, want: errUsage},
		"call without url":  {arguments: []string{"call"}, want: errUsage},
		"help":              {arguments: []string{"call", "-help"}, want: flag.ErrHelp},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var output, errOutput bytes.Buffer
			require.ErrorIs(t, run(t.Context(), test.arguments, &output, &errOutput), test.want)
		})
	}
}

// TestCall guards against a caller that counts a rejected request as a success.
func TestCall(t *testing.T) {
	worker := standin.NewWorker(standin.WorkerConfig{ID: "coating-1", Slots: 8})
	server := httptest.NewServer(worker)
	defer server.Close()
	var output bytes.Buffer
	arguments := []string{"call", "-url", server.URL + "/strip", "-count", "20", "-at-once", "4"}
	require.NoError(t, run(t.Context(), arguments, &output, &output))
	require.Equal(t, "Outcome=Done Requests=20\n", output.String())
	worker.Drain()
	require.Error(t, run(t.Context(), arguments, &output, &output))
}
