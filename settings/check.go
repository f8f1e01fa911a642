package settings

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// Problem is one error in a settings file; Path is the path of the key, for example Pools[0].Name.
type Problem struct {
	Path    string
	Line    int
	Message string
}

// String returns the line, the path and the message.
func (p Problem) String() string {
	return fmt.Sprintf("line %d: %s: %s", p.Line, p.Path, p.Message)
}

// ProblemsError holds all errors of a settings file, sorted by line.
type ProblemsError struct {
	Problems []Problem
}

// Error returns one line for each problem.
func (e *ProblemsError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, problem := range e.Problems {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// Parse decodes settings from YAML, sets defaults and validates the result; it fails with a *ProblemsError that holds all errors.
func Parse(content []byte) (settings *Settings, err error) {
	settings = &Settings{}
	problems := &problems{lines: map[string]int{}}
	file, err := parser.ParseBytes(content, 0)
	if err != nil {
		problems.add("file", syntaxLine(err), "%s", syntaxMessage(err))
		return nil, problems.err()
	}
	root := rootNode(file)
	if root == nil {
		problems.add("file", 1, "is empty")
		return nil, problems.err()
	}
	decode(root, settings, problems)
	settings.Default()
	settings.check(problems)
	if err = problems.err(); err != nil {
		return nil, err
	}
	return settings, nil
}

func rootNode(file *ast.File) ast.Node {
	if len(file.Docs) == 0 {
		return nil
	}
	return file.Docs[0].Body
}

func syntaxLine(err error) int {
	var located yaml.Error
	if errors.As(err, &located) && located.GetToken() != nil {
		return located.GetToken().Position.Line
	}
	return 1
}

func syntaxMessage(err error) string {
	var located yaml.Error
	if errors.As(err, &located) {
		return located.GetMessage()
	}
	line, _, _ := strings.Cut(err.Error(), "\n")
	return line
}

// problems collects errors and holds the line of each path in the file.
type problems struct {
	list  []Problem
	lines map[string]int
}

func (p *problems) add(path string, line int, format string, args ...any) {
	p.list = append(p.list, Problem{Path: path, Line: line, Message: fmt.Sprintf(format, args...)})
}

// addAt adds a problem at the line of the path or, if the file does not contain it, of its closest parent.
func (p *problems) addAt(path, format string, args ...any) {
	for parent := path; ; {
		if line, found := p.lines[parent]; found {
			p.add(path, line, format, args...)
			return
		}
		cut := strings.LastIndexAny(parent, ".[")
		if cut < 0 {
			p.add(path, 1, format, args...)
			return
		}
		parent = parent[:cut]
	}
}

func (p *problems) err() error {
	if len(p.list) == 0 {
		return nil
	}
	slices.SortStableFunc(p.list, func(a, b Problem) int { return a.Line - b.Line })
	return &ProblemsError{Problems: p.list}
}
