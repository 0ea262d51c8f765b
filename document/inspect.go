package document

import (
	"bytes"
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
)

// Allower is implemented by field types that describe the values they accept, for the Allowed text of a Problem.
type Allower interface{ Allowed() string }

// Hider is implemented by field types whose values are secret and must not appear in problems.
type Hider interface{ Hidden() }

// maxValueBytes is the number of bytes after which the value in a problem is truncated.
const maxValueBytes = 80

var (
	unmarshaler     = reflect.TypeFor[json.Unmarshaler]()
	textUnmarshaler = reflect.TypeFor[encoding.TextUnmarshaler]()
)

// inspector compares a well-formed document with the Go type that it is decoded into, and collects all differences.
type inspector struct {
	decoder  *json.Decoder
	problems Problems
}

// inspect returns the problems of well-formed data with the type that target points to.
func inspect(data []byte, target any) Problems {
	i := &inspector{decoder: json.NewDecoder(bytes.NewReader(data))}
	i.decoder.UseNumber()
	i.inspectValue("", reflect.TypeOf(target).Elem())
	return i.problems
}

// inspectValue reads the next value and compares it with a type. A nil type accepts any value.
func (i *inspector) inspectValue(path string, want reflect.Type) {
	for want != nil && want.Kind() == reflect.Pointer {
		want = want.Elem()
	}
	if want != nil && (reflect.PointerTo(want).Implements(unmarshaler) || reflect.PointerTo(want).Implements(textUnmarshaler)) {
		i.inspectUnmarshaler(path, want)
		return
	}
	token, err := i.decoder.Token()
	if err != nil {
		i.addProblem(path, want, "unreadable value", "a JSON value")
		return
	}
	switch token {
	case json.Delim('{'):
		i.inspectObject(path, want)
	case json.Delim('['):
		i.inspectArray(path, want)
	default:
		i.inspectScalar(path, want, token)
	}
}

// inspectUnmarshaler reads the next value and tries to unmarshal it into a type with its own JSON or text decoding.
func (i *inspector) inspectUnmarshaler(path string, want reflect.Type) {
	var raw json.RawMessage
	if err := i.decoder.Decode(&raw); err != nil {
		i.addProblem(path, want, "unreadable value", "a JSON value")
		return
	}
	target := reflect.New(want)
	err := json.Unmarshal(raw, target.Interface())
	if err == nil && string(raw) != "null" {
		return
	}
	allowed := "a value that is not null"
	if err != nil {
		allowed = err.Error()
	}
	if allower, ok := target.Interface().(Allower); ok {
		allowed = allower.Allowed()
	}
	i.addProblem(path, want, string(raw), allowed)
}

// inspectObject reads the fields of an object up to its closing brace.
func (i *inspector) inspectObject(path string, want reflect.Type) {
	fields, elementType := map[string]reflect.Type(nil), reflect.Type(nil)
	switch {
	case want == nil || want.Kind() == reflect.Interface:
	case want.Kind() == reflect.Struct:
		fields = fieldsOf(want)
	case want.Kind() == reflect.Map:
		elementType = want.Elem()
	default:
		i.addProblem(path, want, "an object", describeType(want))
	}
	seen := map[string]bool{}
	for i.decoder.More() {
		token, err := i.decoder.Token()
		if err != nil {
			return
		}
		name, _ := token.(string)
		fieldPath := joinPath(path, name)
		if seen[name] {
			i.addProblem(fieldPath, nil, "a second field of this name", "each field once")
		}
		seen[name] = true
		fieldType := elementType
		if fields != nil {
			known := false
			if fieldType, known = fields[name]; !known {
				i.addProblem(fieldPath, nil, fmt.Sprintf("the unknown field %q", name), "one of "+sortedNames(fields))
			}
		}
		i.inspectValue(fieldPath, fieldType)
	}
	i.decoder.Token() // the closing brace
}

// inspectArray reads the elements of an array up to its closing bracket.
func (i *inspector) inspectArray(path string, want reflect.Type) {
	var elementType reflect.Type
	switch {
	case want == nil || want.Kind() == reflect.Interface:
	case want.Kind() == reflect.Slice:
		elementType = want.Elem()
	default:
		i.addProblem(path, want, "an array", describeType(want))
	}
	for index := 0; i.decoder.More(); index++ {
		i.inspectValue(fmt.Sprintf("%s[%d]", path, index), elementType)
	}
	i.decoder.Token() // the closing bracket
}

// inspectScalar compares a string, number, boolean or null with a type.
func (i *inspector) inspectScalar(path string, want reflect.Type, token json.Token) {
	if want == nil || want.Kind() == reflect.Interface || fitsKind(want.Kind(), token) {
		return
	}
	shown := fmt.Sprint(token)
	if text, ok := token.(string); ok {
		shown = strconv.Quote(text)
	}
	if token == nil {
		shown = "null"
	}
	i.addProblem(path, want, shown, describeType(want))
}

// addProblem records a problem, without the value if the type is a Hider.
func (i *inspector) addProblem(path string, want reflect.Type, value, allowed string) {
	if want != nil && reflect.PointerTo(want).Implements(reflect.TypeFor[Hider]()) {
		value = "(hidden)"
	}
	i.problems = append(i.problems, Problem{Path: path, Value: truncate(value), Allowed: allowed})
}

// fitsKind reports whether a scalar can be decoded into a type of a kind.
func fitsKind(kind reflect.Kind, token json.Token) bool {
	switch value := token.(type) {
	case string:
		return kind == reflect.String
	case bool:
		return kind == reflect.Bool
	case json.Number:
		var err error
		switch kind {
		case reflect.Int, reflect.Int64:
			_, err = strconv.ParseInt(string(value), 10, 64)
		case reflect.Uint, reflect.Uint64:
			_, err = strconv.ParseUint(string(value), 10, 64)
		case reflect.Float64:
			_, err = strconv.ParseFloat(string(value), 64)
		default:
			return false
		}
		return err == nil
	}
	return false
}

// describeType describes the values that a type accepts.
func describeType(want reflect.Type) string {
	switch want.Kind() {
	case reflect.Struct, reflect.Map:
		return "an object"
	case reflect.Slice:
		return "an array"
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int64:
		return "a whole number"
	case reflect.Uint, reflect.Uint64:
		return "a whole number, 0 or more"
	case reflect.Float64:
		return "a number"
	}
	return "a value of type " + want.String()
}

// fieldsOf returns the types of a struct's fields by their JSON names. It does not support embedded structs; no document
// type has any.
func fieldsOf(want reflect.Type) map[string]reflect.Type {
	fields := map[string]reflect.Type{}
	for n := range want.NumField() {
		field := want.Field(n)
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		if name == "-" || !field.IsExported() {
			continue
		}
		if name == "" {
			name = field.Name
		}
		fields[name] = field.Type
	}
	return fields
}

// sortedNames returns the names of the fields in alphabetical order, separated by commas.
func sortedNames(fields map[string]reflect.Type) string {
	list := make([]string, 0, len(fields))
	for name := range fields {
		list = append(list, name)
	}
	slices.Sort(list)
	return strings.Join(list, ", ")
}

// joinPath returns the path of a field of the object at path.
func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// truncate shortens a value to maxValueBytes and an ellipsis.
func truncate(value string) string {
	if len(value) <= maxValueBytes {
		return value
	}
	return strings.ToValidUTF8(value[:maxValueBytes], "") + "…"
}
