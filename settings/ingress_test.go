package settings_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally/settings"
)

// TestIngressSettings guards against limits on incoming requests that are not applied, or that would refuse requests within other limits.
func TestIngressSettings(t *testing.T) {
	withEntry := func(fields string) string {
		return strings.Replace(smallest, `"127.0.0.1:3"}`, `"127.0.0.1:3", `+fields+`}`, 1)
	}
	tests := map[string]struct{ content, problem string }{
		"defaults":           {content: smallest},
		"entry":              {content: withEntry("Memory: 184MiB, Descriptors: 4100")},
		"entry too small":    {content: withEntry("Memory: 64MiB"), problem: "Entries[0].Memory: must be at least 83886080 bytes"},
		"small, with memory": {content: withEntry("Memory: 64MiB") + "Ingress: {Memory: 16MiB}\n"},
		"descriptors":        {content: withEntry("Descriptors: -1"), problem: "Entries[0].Descriptors: must not be negative"},
		"memory":             {content: smallest + "Ingress: {Memory: 8MiB}\n", problem: "Ingress.Memory: must be at least 4 times Traffic.MaxBody"},
		"connections":        {content: smallest + "Ingress: {Connections: -1}\n", problem: "Ingress.Connections: must not be negative"},
		"header timeout":     {content: smallest + "Ingress: {HeaderTimeout: 1m}\n", problem: "Ingress.HeaderTimeout: must not be longer than 30s"},
		"negative stall":     {content: smallest + "Ingress: {BodyStall: -1s}\n", problem: "Ingress.BodyStall: must be greater than 0s"},
		"stalls":             {content: smallest + "Ingress: {BodyStall: 1s, PressureStall: 2s}\n", problem: "Ingress.PressureStall: must not be longer than BodyStall 1s"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := settings.Parse([]byte(test.content))
			if test.problem == "" {
				require.NoError(t, err)
				return
			}
			require.ErrorContains(t, err, test.problem)
		})
	}
	parsed, err := settings.Parse([]byte(withEntry("Memory: 184MiB") + "Ingress: {Memory: 32MiB, Connections: 9, BodyRate: 1KiB}\n"))
	require.NoError(t, err)
	limits := parsed.Ingress.Limits()
	require.NoError(t, limits.Validate())
	require.Equal(t, int64(32<<20), limits.Bytes)
	require.Equal(t, 9, limits.Connections)
	require.Equal(t, int64(1024), limits.BodyRate)
	require.Equal(t, 5*time.Second, limits.HeaderTimeout)
	require.Equal(t, 184*settings.MiB, parsed.Entries[0].Memory)
}
