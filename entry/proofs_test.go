package entry_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var (
	testReference = regexp.MustCompile("`([a-z/]+)\\.(Test[A-Za-z]+)`")
	tableRow      = regexp.MustCompile(`(?m)^\| (kill|freeze|cut|platform|commit|lease|whole|conflicting|wave|worker|flood|lagging|any)[^|]*\|([^|]*)\|([^|]*)\|$`)
)

const (
	guaranteeCount = 9
	failureCount   = 16
)

// TestProofsExist guards against a docs/PROOFS.md that names a test that does not exist, misses a combination of guarantee and
// failure, or claims a proof without naming a test.
func TestProofsExist(t *testing.T) {
	content, err := os.ReadFile(filepath.Join("..", "docs", "PROOFS.md"))
	require.NoError(t, err)
	known := findTests(t)
	for _, named := range testReference.FindAllStringSubmatch(string(content), -1) {
		require.True(t, known[named[1]+"."+named[2]], "test %s does not exist", named[0])
	}
	rows := tableRow.FindAllStringSubmatch(string(content), -1)
	require.Len(t, rows, guaranteeCount*failureCount)
	for _, row := range rows {
		proof := strings.TrimSpace(row[2])
		exempt := strings.HasPrefix(proof, "not proved") || strings.HasPrefix(proof, "does not apply")
		require.True(t, exempt || testReference.MatchString(proof), "%s names no test", row[0])
	}
}

// findTests returns the names of the tests in all packages in the form directory.TestName.
func findTests(t *testing.T) map[string]bool {
	t.Helper()
	known := map[string]bool{}
	walk := func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		directory := strings.TrimPrefix(filepath.ToSlash(filepath.Dir(path)), "../")
		for _, declaration := range file.Decls {
			if name, found := testName(declaration); found {
				known[directory+"."+name] = true
			}
		}
		return nil
	}
	require.NoError(t, filepath.WalkDir("..", walk))
	return known
}

func testName(declaration ast.Decl) (name string, found bool) {
	function, found := declaration.(*ast.FuncDecl)
	if !found || function.Recv != nil {
		return "", false
	}
	return function.Name.Name, strings.HasPrefix(function.Name.Name, "Test")
}
