package scripts_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// quietGrepInPipe matches a pipe into a grep that closes it at the first match.
var quietGrepInPipe = regexp.MustCompile(`\|\s*grep\s+-[a-zA-Z]*q`)

// TestPipesAreReadToTheEnd guards against a check that fails by chance: with pipefail, a command fails whose output is no longer read, and a quiet
// grep stops reading at the first match.
func TestPipesAreReadToTheEnd(t *testing.T) {
	files, err := filepath.Glob("*.sh")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range append(files, "../.ci/run") {
		t.Run(file, func(t *testing.T) {
			content, err := os.ReadFile(file)
			require.NoError(t, err)
			require.Contains(t, string(content), "pipefail")
			for number, line := range strings.Split(string(content), "\n") {
				require.False(t, quietGrepInPipe.MatchString(line), "line %d: %s", number+1, line)
			}
		})
	}
}
