package settings

import (
	"encoding"
	"fmt"
	"reflect"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"

	"github.com/acaciatally/acaciatally/spelling"
)

var (
	durationType = reflect.TypeFor[time.Duration]()
	textType     = reflect.TypeFor[encoding.TextUnmarshaler]()
)

// decoder decodes a YAML syntax tree into a value. It continues after an error, so that one run finds all errors.
type decoder struct {
	problems *problems
}

func decode(node ast.Node, target any, problems *problems) {
	d := decoder{problems: problems}
	d.value(node, reflect.ValueOf(target).Elem(), "")
}

func (d decoder) value(node ast.Node, target reflect.Value, path string) {
	line := node.GetToken().Position.Line
	if _, known := d.problems.lines[path]; !known {
		d.problems.lines[path] = line
	}
	switch {
	case isScalar(target):
		d.scalar(node, target, path)
	case target.Kind() == reflect.Struct:
		d.mapping(node, target, path)
	case target.Kind() == reflect.Slice:
		d.sequence(node, target, path)
	default:
		d.scalar(node, target, path)
	}
}

func isScalar(target reflect.Value) bool {
	return target.Type() == durationType || target.Addr().Type().Implements(textType)
}

func (d decoder) scalar(node ast.Node, target reflect.Value, path string) {
	line := node.GetToken().Position.Line
	switch node.(type) {
	case *ast.MappingNode, *ast.MappingValueNode, *ast.SequenceNode:
		d.problems.add(path, line, "want a scalar value")
		return
	}
	if target.Type() == durationType {
		d.duration(node, target, path)
		return
	}
	if target.Addr().Type().Implements(textType) {
		text := []byte(strings.Trim(node.String(), `"'`))
		if err := target.Addr().Interface().(encoding.TextUnmarshaler).UnmarshalText(text); err != nil {
			d.problems.add(path, line, "%s", err)
		}
		return
	}
	if err := yaml.NodeToValue(node, target.Addr().Interface()); err != nil {
		d.problems.add(path, line, "want %s, found %q", kindName(target), node.String())
	}
}

func (d decoder) duration(node ast.Node, target reflect.Value, path string) {
	text := strings.Trim(node.String(), `"'`)
	duration, err := time.ParseDuration(text)
	if err != nil {
		d.problems.add(path, node.GetToken().Position.Line, "want a duration such as 1.5s, found %q", text)
		return
	}
	target.SetInt(int64(duration))
}

func kindName(target reflect.Value) string {
	switch target.Kind() {
	case reflect.Int, reflect.Int64:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	case reflect.Bool:
		return "true or false"
	default:
		return "a string"
	}
}

func (d decoder) mapping(node ast.Node, target reflect.Value, path string) {
	line := node.GetToken().Position.Line
	var entries []*ast.MappingValueNode
	switch mapping := node.(type) {
	case *ast.MappingNode:
		entries = mapping.Values
	case *ast.MappingValueNode:
		entries = []*ast.MappingValueNode{mapping}
	case *ast.NullNode:
		return
	default:
		d.problems.add(path, line, "want a mapping")
		return
	}
	for _, entry := range entries {
		key := entry.Key.GetToken().Value
		field, found := fieldByKey(target, key)
		child := strings.TrimPrefix(path+"."+key, ".")
		keyLine := entry.Key.GetToken().Position.Line
		if !found {
			d.unknownKey(target, child, key, keyLine)
			continue
		}
		d.problems.lines[child] = keyLine
		d.value(entry.Value, field, child)
	}
}

func (d decoder) unknownKey(target reflect.Value, path, key string, line int) {
	message := fmt.Sprintf("unknown key %q", key)
	if nearest := spelling.Nearest(key, keys(target)); nearest != "" {
		message += ", did you mean " + nearest + "?"
	}
	d.problems.add(path, line, "%s", message)
}

func keys(target reflect.Value) (names []string) {
	for i := range target.NumField() {
		names = append(names, target.Type().Field(i).Tag.Get("yaml"))
	}
	return names
}

func fieldByKey(target reflect.Value, key string) (field reflect.Value, found bool) {
	for i := range target.NumField() {
		if target.Type().Field(i).Tag.Get("yaml") == key {
			return target.Field(i), true
		}
	}
	return reflect.Value{}, false
}

func (d decoder) sequence(node ast.Node, target reflect.Value, path string) {
	sequence, ok := node.(*ast.SequenceNode)
	if !ok {
		if _, null := node.(*ast.NullNode); !null {
			d.problems.add(path, node.GetToken().Position.Line, "want a list")
		}
		return
	}
	list := reflect.MakeSlice(target.Type(), len(sequence.Values), len(sequence.Values))
	for i, value := range sequence.Values {
		d.value(value, list.Index(i), fmt.Sprintf("%s[%d]", path, i))
	}
	target.Set(list)
}
