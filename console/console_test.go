package console_test

import (
	"bytes"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/labstack/echo/v5"
	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally/audit"
	"github.com/acaciatally/acaciatally/changelog"
	"github.com/acaciatally/acaciatally/command"
	"github.com/acaciatally/acaciatally/console"
	"github.com/acaciatally/acaciatally/fleet"
	"github.com/acaciatally/acaciatally/standin"
)

// startServer starts a server for operator statements whose changelog contains one team.
func startServer(t *testing.T) (address string) {
	t.Helper()
	table := standin.NewTable()
	log := changelog.New(changelog.Config{Table: table})
	_, err := log.Commit(t.Context(), changelog.Proposal{CommandID: "load", Decide: func(*fleet.State) ([]fleet.Change, error) {
		return []fleet.Change{{PutTeam: &fleet.Team{Name: "drivers", Quota: 4}}}, nil
	}})
	require.NoError(t, err)
	evaluator := command.New(command.Config{Log: log, Audit: audit.New(audit.Config{Table: table})})
	routes := echo.New()
	command.NewServer(evaluator, []command.Operator{{Name: "maria", Token: "secret"}}).Register(routes)
	server := httptest.NewServer(routes)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// TestRun guards against wrong exit codes and against output that does not name the error.
func TestRun(t *testing.T) {
	address := startServer(t)
	broken := filepath.Join(t.TempDir(), "broken.yaml")
	require.NoError(t, os.WriteFile(broken, []byte("Deploymnt: x\n"), 0o600))
	tests := map[string]struct {
		arguments string
		input     string
		code      int
		output    string
	}{
		"no subcommand":      {arguments: "", code: console.ExitUsage, output: "usage:"},
		"help":               {arguments: "-help", code: console.ExitSuccess, output: "examples:"},
		"help of subcommand": {arguments: "do|-help", code: console.ExitSuccess, output: "examples:"},
		"version":            {arguments: "-version", code: console.ExitSuccess, output: "acaciatally"},
		"unknown subcommand": {arguments: "sreve", code: console.ExitUsage, output: "unknown subcommand"},
		"unknown mode":       {arguments: "attend|-interference|on", code: console.ExitUsage, output: `"on" is not one of off, observe and avoid`},
		"unknown flag":       {arguments: "do|-addrss|x", code: console.ExitUsage, output: "flag provided but not defined"},
		"serve without file": {arguments: "serve", code: console.ExitUsage, output: "needs -settings"},
		"check valid files":  {arguments: "check|../examples/authority.yaml|../examples/cavalcanti.yaml", code: console.ExitSuccess, output: "ok"},
		"check broken file":  {arguments: "check|" + broken, code: console.ExitFailure, output: "did you mean Deployment?"},
		"query":              {arguments: "do|-address|" + address + "|-token|secret|show teams", code: console.ExitSuccess, output: "drivers  4"},
		"query as JSON":      {arguments: "do|-address|" + address + "|-token|secret|-json|show teams", code: console.ExitSuccess, output: `{"Name": "drivers", "Quota": 4`},
		"wrong token":        {arguments: "do|-address|" + address + "|-token|wrong|show teams", code: console.ExitFailure, output: "token is missing or wrong"},
		"syntax error":       {arguments: "do|-address|" + address + "|-token|secret|shwo teams", code: console.ExitUsage, output: "shwo teams\n^"},
		"refused change":     {arguments: "do|-address|" + address + "|-token|secret|remove team merchants", code: console.ExitUsage, output: "no team"},
		"statements from input": {
			arguments: "do|-address|" + address + "|-token|secret", input: "# comment\nshow teams\nset quota garden 3\n",
			code: console.ExitSuccess, output: "accepted at version 2",
		},
		"entry unreachable": {arguments: "do|-address|127.0.0.1:1|show teams", code: console.ExitFailure, output: "refused"},
		"completion":        {arguments: "complete|-address|" + address + "|-token|secret|show te", code: console.ExitSuccess, output: "teams"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var output bytes.Buffer
			var arguments []string
			if test.arguments != "" {
				arguments = strings.Split(test.arguments, "|")
			}
			code := console.Run(console.Config{
				Arguments: arguments, Input: strings.NewReader(test.input), Output: &output, Errors: &output,
				Getenv: func(string) string { return "" },
			})
			require.Contains(t, output.String(), test.output)
			require.Equal(t, test.code, code)
		})
	}
}
