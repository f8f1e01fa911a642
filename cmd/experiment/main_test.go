package main

import (
	"bytes"
	"context"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestRun guards against wrong exit codes, and against usage errors that start an hour of experiments.
func TestRun(t *testing.T) {
	tests := map[string]struct {
		arguments []string
		stopped   bool
		code      int
		out       string
		errOutput string
	}{
		"help":             {arguments: []string{"-help"}, out: "Examples:"},
		"version":          {arguments: []string{"-version"}, out: "experiment "},
		"list":             {arguments: []string{"-list"}, out: "Routing\nFlood\nFailingWorker\nFailingTeam\n"},
		"unknown flag":     {arguments: []string{"-nothing"}, code: 2, errOutput: "not defined"},
		"unknown name":     {arguments: []string{"-only", "nothing"}, code: 2, errOutput: `unknown experiment "nothing"`},
		"stray argument":   {arguments: []string{"flood"}, code: 2, errOutput: `unexpected argument "flood"`},
		"negative seed":    {arguments: []string{"-seed", "-1"}, code: 2, errOutput: "invalid value"},
		"interrupted":      {arguments: []string{"-only", "FailingWorker"}, stopped: true, code: 1, errOutput: "context canceled"},
		"one experiment":   {arguments: []string{"-only", "FailingWorker"}, out: "Measure=FailingWorkerShare Deployment=Authority Policy=SlotHome"},
		"another seed too": {arguments: []string{"-only", "FailingWorker", "-seed", "3"}, out: "Seed=3"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			if test.stopped {
				cancel()
			}
			var out, errOutput bytes.Buffer
			require.Equal(t, test.code, run(ctx, test.arguments, &out, &errOutput))
			require.Contains(t, out.String(), test.out)
			require.Contains(t, errOutput.String(), test.errOutput)
		})
	}
}
