package command

import (
	"errors"
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"

	"github.com/acaciatally/acaciatally/spelling"
)

// Statement is one parsed statement; exactly one field is set.
type Statement struct {
	Show        *Show        `parser:"  @@"`
	Explain     *Explain     `parser:"| @@"`
	Move        *Move        `parser:"| @@"`
	SetPhase    *SetPhase    `parser:"| @@"`
	Set         *Set         `parser:"| @@"`
	CreatePool  *CreatePool  `parser:"| @@"`
	AddInstance *AddInstance `parser:"| @@"`
	Remove      *Remove      `parser:"| @@"`
	Wave        *Wave        `parser:"| @@"`
	Cancel      *Cancel      `parser:"| @@"`
	Help        bool         `parser:"| @'help'"`
}

// Name is a word of the statement and its position.
type Name struct {
	Pos   lexer.Position
	Value string `parser:"@(Ident | String | Number | Address)"`
}

// Show queries the rows of one table.
type Show struct {
	Table Name          `parser:"'show' @@"`
	Where *OrExpression `parser:"('where' @@)?"`
	Sort  *Sort         `parser:"@@?"`
	Limit int           `parser:"('limit' @Number)?"`
}

// OrExpression matches a row if one of its alternatives does.
type OrExpression struct {
	Alternatives []AndExpression `parser:"@@ ('or' @@)*"`
}

// AndExpression matches a row if all its comparisons do.
type AndExpression struct {
	Comparisons []Comparison `parser:"@@ ('and' @@)*"`
}

// Comparison compares a column with a value; the operator ~ tests whether the column contains it.
type Comparison struct {
	Column   Name   `parser:"@@"`
	Operator string `parser:"@Operator"`
	Value    Name   `parser:"@@"`
}

// Sort sorts the rows by a column.
type Sort struct {
	Column     Name `parser:"'sort' 'by' @@"`
	Descending bool `parser:"@'descending'?"`
}

// Explain requests a description of an object's state and its reasons.
type Explain struct {
	Kind Name `parser:"'explain' @@"`
	Name Name `parser:"@@"`
}

// Move moves instances to another pool.
type Move struct {
	Instances []Name `parser:"'move' @@ (',' @@)*"`
	To        Name   `parser:"'to' @@"`
}

// SetPhase changes the phase of instances.
type SetPhase struct {
	Verb      string `parser:"@('drain' | 'undrain' | 'reboot' | 'quarantine')"`
	Instances []Name `parser:"@@ (',' @@)*"`
}

// Set changes a quota, a budget or an option.
type Set struct {
	Quota  *SetQuota  `parser:"'set' ( @@"`
	Budget *SetBudget `parser:"| @@"`
	Option *SetOption `parser:"| @@ )"`
}

// SetQuota changes a team's quota of slots.
type SetQuota struct {
	Team  Name `parser:"'quota' @@"`
	Slots int  `parser:"@Number"`
}

// SetBudget changes a pool's availability budget.
type SetBudget struct {
	Pool           Name `parser:"'budget' @@"`
	MaxUnavailable int  `parser:"'unavailable' @Number"`
	MinAvailable   int  `parser:"'available' @Number"`
}

// SetOption overrides a setting at run time; without a value it restores the value of the settings file.
type SetOption struct {
	Option Name  `parser:"'option' @@"`
	Value  *Name `parser:"@@?"`
}

// CreatePool creates an empty pool with an availability budget.
type CreatePool struct {
	Pool           Name `parser:"'create' 'pool' @@"`
	MaxUnavailable int  `parser:"'unavailable' @Number"`
	MinAvailable   int  `parser:"'available' @Number"`
}

// AddInstance adds an instance to a pool.
type AddInstance struct {
	Instance   Name `parser:"'add' 'instance' @@"`
	Pool       Name `parser:"'to' @@"`
	Address    Name `parser:"'at' @@"`
	DataCentre Name `parser:"'in' @@"`
	Rack       Name `parser:"'rack' @@"`
}

// Remove deletes a pool, a team or an instance.
type Remove struct {
	Kind Name `parser:"'remove' @@"`
	Name Name `parser:"@@"`
}

// Wave starts, stops or resumes a maintenance wave.
type Wave struct {
	Verb  string `parser:"@('start' | 'stop' | 'resume') 'wave'"`
	ID    Name   `parser:"@@"`
	Pools []Name `parser:"('over' @@ (',' @@)*)?"`
}

// Cancel cancels tasks.
type Cancel struct {
	Tasks []Name `parser:"'cancel' ('task' | 'tasks') @@ (',' @@)*"`
}

var statementLexer = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "String", Pattern: `"[^"]*"`},
	{Name: "Address", Pattern: `[0-9]+\.[0-9]+\.[0-9]+\.[0-9]+:[0-9]+`},
	{Name: "Number", Pattern: `[0-9]+(\.[0-9]+)?\b`},
	{Name: "Ident", Pattern: `[A-Za-z0-9_][A-Za-z0-9_.:\-]*`},
	{Name: "Operator", Pattern: `!=|<=|>=|=|<|>|~`},
	{Name: "Comma", Pattern: `,`},
	{Name: "Space", Pattern: `\s+`},
})

var statementParser = participle.MustBuild[Statement](
	participle.Lexer(statementLexer),
	participle.Elide("Space"),
	participle.Unquote("String"),
	participle.CaseInsensitive("Ident"),
	participle.UseLookahead(2),
)

const maxStatementBytes = 4096

// SyntaxError reports an invalid word of a statement; Offset is its position in bytes and Nearest the closest valid word, if any.
type SyntaxError struct {
	Text    string
	Offset  int
	Message string
	Nearest string
}

// Error returns the message with the nearest valid word.
func (e *SyntaxError) Error() string {
	if e.Nearest != "" {
		return e.Message + "; did you mean " + e.Nearest + "?"
	}
	return e.Message
}

// Pointer returns the statement with a caret below the invalid word.
func (e *SyntaxError) Pointer() string {
	offset := min(max(e.Offset, 0), len(e.Text))
	return e.Text + "\n" + strings.Repeat(" ", offset) + "^"
}

// verbs are the words with which a statement can start.
var verbs = []string{
	"show", "explain", "move", "drain", "undrain", "reboot", "quarantine", "set", "create", "add", "remove",
	"start", "stop", "resume", "cancel", "help",
}

var keywords = append([]string{
	"where", "sort", "by", "descending", "limit", "and", "or", "to", "quota", "budget", "unavailable", "available", "option",
	"pool", "instance", "team", "wave", "at", "in", "rack", "over", "task", "tasks",
}, verbs...)

// Parse parses one statement; it fails with *SyntaxError.
func Parse(text string) (statement *Statement, err error) {
	text = strings.TrimSpace(text)
	if len(text) > maxStatementBytes {
		return nil, &SyntaxError{Text: text[:40], Message: "statement is too long"}
	}
	first, _, _ := strings.Cut(text, " ")
	if !containsFold(verbs, first) {
		return nil, &SyntaxError{Text: text, Message: "unknown verb \"" + first + "\"", Nearest: spelling.Nearest(first, verbs)}
	}
	statement, err = statementParser.ParseString("", text)
	if err != nil {
		return nil, syntaxError(text, err)
	}
	return statement, nil
}

func syntaxError(text string, err error) error {
	var parse participle.Error
	if !errors.As(err, &parse) {
		return &SyntaxError{Text: text, Message: err.Error()}
	}
	result := &SyntaxError{Text: text, Offset: parse.Position().Offset, Message: parse.Message()}
	var unexpected *participle.UnexpectedTokenError
	if errors.As(err, &unexpected) && !unexpected.Unexpected.EOF() {
		result.Nearest = spelling.Nearest(unexpected.Unexpected.Value, keywords)
	}
	return result
}

func containsFold(words []string, word string) bool {
	for _, known := range words {
		if strings.EqualFold(known, word) {
			return true
		}
	}
	return false
}
