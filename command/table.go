package command

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/acaciatally/acaciatally/spelling"
)

// Value is one cell of a table: its text, and its number if the cell is numeric.
type Value struct {
	Text    string
	Number  float64
	Numeric bool
}

// MarshalJSON encodes a numeric cell as a number and any other as a string.
func (v Value) MarshalJSON() ([]byte, error) {
	if v.Numeric {
		return []byte(v.Text), nil
	}
	return json.Marshal(v.Text)
}

// UnmarshalJSON decodes a number or a string.
func (v *Value) UnmarshalJSON(content []byte) (err error) {
	if len(content) > 0 && content[0] == '"' {
		return json.Unmarshal(content, &v.Text)
	}
	v.Text, v.Numeric = string(content), true
	v.Number, err = strconv.ParseFloat(v.Text, 64)
	return err
}

func text(value string) Value { return Value{Text: value} }

func number(value int) Value {
	return Value{Text: strconv.Itoa(value), Number: float64(value), Numeric: true}
}

func version(value uint64) Value {
	return Value{Text: strconv.FormatUint(value, 10), Number: float64(value), Numeric: true}
}

func timestamp(value time.Time) Value {
	if value.IsZero() {
		return Value{}
	}
	return text(value.UTC().Format(time.RFC3339))
}

// Table is the result of a query.
type Table struct {
	Columns []string
	Rows    [][]Value
}

func (t *Table) addRow(values ...Value) {
	t.Rows = append(t.Rows, values)
}

func (t *Table) columnIndex(name Name, statement string) (index int, err error) {
	for i, column := range t.Columns {
		if strings.EqualFold(column, name.Value) {
			return i, nil
		}
	}
	return 0, &SyntaxError{
		Text: statement, Offset: name.Pos.Offset, Message: fmt.Sprintf("unknown column %q", name.Value),
		Nearest: spelling.Nearest(name.Value, t.Columns),
	}
}

// applyQuery applies the filter, the sort order and the limit of a query to the rows.
func (t *Table) applyQuery(show *Show, statement string) (err error) {
	if show.Where != nil {
		if err = t.filter(show.Where, statement); err != nil {
			return err
		}
	}
	if show.Sort != nil {
		if err = t.sort(show.Sort, statement); err != nil {
			return err
		}
	}
	if show.Limit > 0 && len(t.Rows) > show.Limit {
		t.Rows = t.Rows[:show.Limit]
	}
	return nil
}

func (t *Table) filter(where *OrExpression, statement string) error {
	for _, alternative := range where.Alternatives {
		for _, comparison := range alternative.Comparisons {
			if _, err := t.columnIndex(comparison.Column, statement); err != nil {
				return err
			}
		}
	}
	t.Rows = slices.DeleteFunc(t.Rows, func(row []Value) bool { return !t.matches(row, where) })
	return nil
}

func (t *Table) matches(row []Value, where *OrExpression) bool {
	return slices.ContainsFunc(where.Alternatives, func(alternative AndExpression) bool {
		return !slices.ContainsFunc(alternative.Comparisons, func(comparison Comparison) bool {
			index, err := t.columnIndex(comparison.Column, "")
			return err != nil || !comparison.matches(row[index])
		})
	})
}

func (c Comparison) matches(value Value) bool {
	if c.Operator == "~" {
		return strings.Contains(strings.ToLower(value.Text), strings.ToLower(c.Value.Value))
	}
	result := compare(value, c.Value.Value)
	switch c.Operator {
	case "=":
		return result == 0
	case "!=":
		return result != 0
	case "<":
		return result < 0
	case "<=":
		return result <= 0
	case ">":
		return result > 0
	default:
		return result >= 0
	}
}

func compare(value Value, other string) int {
	if wanted, err := strconv.ParseFloat(other, 64); err == nil && value.Numeric {
		return cmp.Compare(value.Number, wanted)
	}
	return strings.Compare(strings.ToLower(value.Text), strings.ToLower(other))
}

func (t *Table) sort(order *Sort, statement string) error {
	index, err := t.columnIndex(order.Column, statement)
	if err != nil {
		return err
	}
	slices.SortStableFunc(t.Rows, func(a, b []Value) int {
		result := compareValues(a[index], b[index])
		if order.Descending {
			return -result
		}
		return result
	})
	return nil
}

func compareValues(a, b Value) int {
	if a.Numeric && b.Numeric {
		return cmp.Compare(a.Number, b.Number)
	}
	return strings.Compare(a.Text, b.Text)
}

// WriteText writes the table in aligned columns.
func (t *Table) WriteText(w io.Writer) (err error) {
	aligned := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	writeLine(aligned, t.Columns)
	for _, row := range t.Rows {
		cells := make([]string, len(row))
		for i, value := range row {
			cells[i] = value.Text
			if cells[i] == "" {
				cells[i] = "-"
			}
		}
		writeLine(aligned, cells)
	}
	return aligned.Flush()
}

func writeLine(w io.Writer, cells []string) {
	_, _ = fmt.Fprintln(w, strings.Join(cells, "\t"))
}

// WriteJSON writes the table as an array of objects, with the column names as keys.
func (t *Table) WriteJSON(w io.Writer) (err error) {
	var line strings.Builder
	line.WriteString("[")
	for i, row := range t.Rows {
		if i > 0 {
			line.WriteString(",")
		}
		line.WriteString("\n  {")
		for j, value := range row {
			if j > 0 {
				line.WriteString(", ")
			}
			content, err := json.Marshal(value)
			if err != nil {
				return err
			}
			line.WriteString(strconv.Quote(t.Columns[j]) + ": " + string(content))
		}
		line.WriteString("}")
	}
	line.WriteString("\n]\n")
	_, err = io.WriteString(w, line.String())
	return err
}
