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

// Problem is one error in a settings file.
type Problem struct {
	Path    string
	Line    int
	Message string
}

// String returns the line, the path and the message.
func (p Problem) String() string {
	return fmt.Sprintf("line %d: %s: %s", p.Line, p.Path, p.Message)
}

// ProblemsError holds every error of a settings file, in order of lines.
type ProblemsError struct {
	Problems []Problem
}

// Error returns one line a problem.
func (e *ProblemsError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, problem := range e.Problems {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// Parse reads settings from YAML, fills in defaults and checks them; it fails with *ProblemsError that holds all errors at once.
func Parse(content []byte) (settings *Settings, err error) {
	settings = &Settings{}
	problems := &problems{lines: map[string]int{}}
	file, err := parser.ParseBytes(content, 0)
	if err != nil {
		problems.add("file", syntaxLine(err), "%s", firstLine(err))
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

func firstLine(err error) string {
	var located yaml.Error
	if errors.As(err, &located) {
		return located.GetMessage()
	}
	line, _, _ := strings.Cut(err.Error(), "\n")
	return line
}

// problems collects errors and remembers the line of each path.
type problems struct {
	list  []Problem
	lines map[string]int
}

func (p *problems) add(path string, line int, format string, args ...any) {
	p.list = append(p.list, Problem{Path: path, Line: line, Message: fmt.Sprintf(format, args...)})
}

// at reports a problem at the line of the path, or of its closest parent that the file holds.
func (p *problems) at(path, format string, args ...any) {
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
