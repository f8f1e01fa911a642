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
	provingTest = regexp.MustCompile("`([a-z/]+)\\.(Test[A-Za-z]+)`")
	promiseRow  = regexp.MustCompile(`(?m)^\| (kill|freeze|cut|platform|commit|lease|whole|conflicting|wave|worker|flood|lagging|any)[^|]*\|([^|]*)\|([^|]*)\|$`)
)

const (
	promises = 9
	failures = 16
)

// TestProofsExist guards against a page of proofs that names tests which are gone, leaves out a failure, or claims without a test.
func TestProofsExist(t *testing.T) {
	content, err := os.ReadFile(filepath.Join("..", "docs", "PROOFS.md"))
	require.NoError(t, err)
	known := testsOfTree(t)
	for _, named := range provingTest.FindAllStringSubmatch(string(content), -1) {
		require.True(t, known[named[1]+"."+named[2]], "%s is not in the tree", named[0])
	}
	rows := promiseRow.FindAllStringSubmatch(string(content), -1)
	require.Len(t, rows, promises*failures)
	for _, row := range rows {
		proof := strings.TrimSpace(row[2])
		open := strings.HasPrefix(proof, "not proved") || strings.HasPrefix(proof, "does not apply")
		require.True(t, open || provingTest.MatchString(proof), "%s names no test", row[0])
	}
}

// testsOfTree returns the tests of all packages as directory.TestName.
func testsOfTree(t *testing.T) map[string]bool {
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
